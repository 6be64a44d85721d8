"""What callers, servers and the platform saw during a soak: the facts that checks go by."""

import attrs

PLAIN, LOOKUP, STREAM = "plain", "lookup", "stream"


@attrs.define
class CallRecord:
    """One request of a caller; times are of the event loop's clock, in seconds.

    Attributes:
      status: The answer's status, None if none came.
      is_whole: Whether the answer came to its proper end.
      gave_up: Whether the caller stopped waiting.
      is_own: Whether all that came belongs to this request, in order.
    """

    id: str
    kind: str
    key: str
    process: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    is_whole: bool = False
    gave_up: bool = False
    is_own: bool = True


@attrs.frozen
class Run:
    """One request that a server began to run."""

    id: str
    server: str
    at: float


@attrs.define
class History:
    """Everything that a soak has seen.

    Attributes:
      calls: The callers' requests.
      runs: What servers began to run.
      keys_removed: When the store confirmed that a key is gone, by key.
      drained: When the store confirmed that a server is leaving, by server.
      reports: The accepted usage reports of each window.
      holders: Who called with each fencing number of each subject.
      stops: Planned stops: (process, from, to).
      troubles: Times at which something unplanned was going on: (from, to).
      ends: Processes that ended without being told to: (process, status).
      quiet_from: From when on nothing was injected.
    """

    calls: list[CallRecord] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    keys_removed: dict[str, float] = attrs.field(factory=dict)
    drained: dict[str, float] = attrs.field(factory=dict)
    reports: dict[int, list[dict]] = attrs.field(factory=dict)
    holders: dict[tuple, set[str]] = attrs.field(factory=dict)
    stops: list[tuple[int, float, float]] = attrs.field(factory=list)
    troubles: list[tuple[float, float]] = attrs.field(factory=list)
    ends: list[tuple[int, int]] = attrs.field(factory=list)
    quiet_from: float = 0.0
