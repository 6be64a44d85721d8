"""Records of a soak, made by callers, servers and the platform, on which the checks are run."""

import json
import math
import pathlib

import attrs

from cicadapond.platform.standin import StreamShape

PLAIN, LOOKUP, STREAM = "plain", "lookup", "stream"
# Requests on routes that change: plain ones, streams that cannot be resumed, and lookups on routes
# that are added and removed.
VARYING, LONG, PROBE = "varying", "long", "probe"
# The file in the directory of a run that has its records.
HISTORY_NAME = "history.jsonl"
STREAMS, RUN_ONCE = (STREAM, LONG), (PLAIN, VARYING, LONG)


@attrs.define
class CallRecord:
    """One request of a caller; times are in seconds on the event loop's clock.

    Attributes:
      status: The answer's status, None if none was received.
      is_complete: Whether the answer ended properly, neither cut off nor timed out.
      timed_out: Whether the caller stopped waiting.
      is_correct: Whether the body received belongs to this request, in order.
      resumes: The id of the request that brought the first event of the stream that this one
        continues, None if it begins one.
      versions: The software versions that the events received came from.
      method: Its method.
      target: Its target.
      digest: The SHA-256 digest of its body, None if it is not compared.
      shape: How long its stream is.
      time_limit: The time that it allows, in seconds.
      sent_whole_at: When its last byte was sent, None if not all were.
      has_left: Whether the caller left before the end, or closed its side of the connection, which
        counts as leaving.
    """

    id: str
    kind: str
    key: str
    process: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    is_complete: bool = False
    timed_out: bool = False
    is_correct: bool = True
    resumes: str | None = None
    versions: set[str] = attrs.field(factory=set)
    method: str = "POST"
    target: str = "/"
    digest: bytes | None = None
    shape: StreamShape = StreamShape(4, 0.05)
    time_limit: float = 3.0
    sent_whole_at: float | None = None
    has_left: bool = False

    @property
    def was_given_up(self) -> bool:
        """Whether the caller ended it."""
        return self.timed_out or self.has_left

    @property
    def prefix(self) -> str:
        """The prefix of the route that it is meant for."""
        return f"/{self.target.split('/')[1]}/"


@attrs.frozen
class Run:
    """One request that a server began to run, at a time in seconds on the event loop's clock.

    Attributes:
      service: The server's service.
      is_moved: Whether it goes on with a run that began at another server.
      is_resumed: Whether it begins after the first event.
      content: Method, target and the digest of the body, as they arrived.
    """

    id: str
    server: str
    at: float
    service: str = ""
    is_moved: bool = False
    is_resumed: bool = False
    content: tuple[str, str, bytes] | None = None


@attrs.frozen
class ConfigurationRecord:
    """A configuration, written at a time in seconds on the event loop's clock.

    Attributes:
      services: The services that a route may use, by its prefix.
      timeouts: The routes' time-outs, in seconds.
      keys: The keys of all accounts.
    """

    version: int
    at: float
    services: dict[str, frozenset[str]]
    timeouts: dict[str, float]
    keys: frozenset[str]


@attrs.frozen
class PlannedChange:
    """A change around which no request may be cut, from `begin` to `end`, in seconds.

    Attributes:
      process: The process that it concerns, None for all.
    """

    what: str
    begin: float
    end: float
    process: int | None = None


@attrs.frozen
class Violation:
    """A guarantee that was not met."""

    guarantee: str
    subject: str
    detail: str

    def __str__(self):
        return f"{self.guarantee}: {self.subject}: {self.detail}"


@attrs.frozen
class MemoryExcess:
    """A process held more memory than its machine has, at a time in seconds."""

    process: int
    at: float
    resident_mb: float
    limit_mb: int


@attrs.frozen
class ComparedTimes:
    """The deployment served without costly answers until `middle`, and with them until `end`."""

    begin: float
    middle: float
    end: float


@attrs.frozen
class StatedLimit:
    """A server stated a limit of `rate` requests a second from `begin` to `end`, in seconds."""

    server: str
    rate: float
    begin: float
    end: float


@attrs.frozen
class Cut:
    """A process was cut off from all servers from `begin` to `end`, in seconds."""

    process: int
    begin: float
    end: float


@attrs.frozen
class Partition:
    """Processes were cut off or suspended from `begin` to `end`, in seconds.

    Attributes:
      processes: The processes, none if engines were killed.
      is_excused: Whether they had no path to the store, or did not run.
    """

    what: str
    processes: frozenset[int]
    begin: float
    end: float
    is_excused: bool = False


@attrs.define
class ServingTime:
    """An engine of a service served at a software version from `begin` to `end`, in seconds."""

    service: str
    version: str
    begin: float
    end: float = math.inf


@attrs.frozen
class Hold:
    """A server was silent from `begin` to `end`, in seconds, and went on."""

    server: str
    begin: float
    end: float


@attrs.frozen
class BrittleTime:
    """The servers were brittle from `begin` to `end`, in seconds; `crashes` has when they fell."""

    begin: float
    end: float
    servers: int
    crashes: tuple[float, ...]


@attrs.define
class RolloutRecord:
    """One rollout; times are in seconds on the event loop's clock.

    Attributes:
      duration: The time limit, from the order.
      servers: The servers of the new version.
      outcome: The last state, None if there was none.
      ended_at: When it was seen.
      bad_times: When the version gave bad responses.
    """

    service: str
    to: str
    is_good: bool
    duration: float
    servers: tuple[str, ...]
    ordered_at: float = 0.0
    outcome: str | None = None
    ended_at: float = 0.0
    bad_times: list[float] = attrs.field(factory=list)


@attrs.define
class History:
    """Everything recorded during a soak; times are in seconds on the event loop's clock.

    Attributes:
      calls: The callers' requests.
      runs: The requests that servers began to run.
      keys_removed: When the store confirmed the removal of a key, by key.
      drained: When the store confirmed that a server is leaving, by server.
      reports: The accepted usage reports of each window.
      holders: The processes that used a fencing number, by (subject, fencing number).
      limits: The limits that servers stated.
      cuts: Cuts of processes from all servers.
      partitions: Cuts of processes from each other or from the store, and long suspensions.
      serving_times: When engines served, and at which software version.
      holds: Silences of sound servers.
      brittle_times: Times in which the servers were brittle.
      rollouts: The rollouts of versions.
      crashing_ids: The requests whose prompts crash engines.
      crashing_share: The share of prompts that crash engines now.
      prompt_crashes: When engines crashed by them.
      broken_off: The ids of requests whose answers a server broke off or spoiled.
      configurations: The configurations, in order.
      changes: The planned changes.
      limited_keys: The keys of accounts whose quota is below what callers send.
      memory_excesses: When processes held more memory than they may; they were killed then.
      starts: When processes were started: (process, at).
      restored_spans: When the store was restored until its rows were written again: (from, to).
      endless_requests: How many requests were sent to servers that send without end.
      busy_spans: When the machine was too busy for the soak itself or a process: (from, to).
      own_pauses: Those of them in which the soak itself stood still: (from, to).
      peak_mb: The highest resident memory of each process.
      planned_stops: Planned stops: (process, from, to).
      fault_spans: Times during which an unplanned fault may have had an effect: (from, to).
      unexpected_exits: Processes that exited unprompted or by an error: (process, status).
      double_runs: When an engine began a request on which another one went on working.
      moved: How many runs engines moved away.
      restores: How often the store was restored.
      early_changes: How many processes got SIGHUP while they started.
      compared_times: When times with and without costly answers were measured.
      faults_ended_at: When the last injection had ended.
      not_ready: The processes that were not ready at the end.
    """

    calls: list[CallRecord] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    keys_removed: dict[str, float] = attrs.field(factory=dict)
    drained: dict[str, float] = attrs.field(factory=dict)
    reports: dict[int, list[dict]] = attrs.field(factory=dict)
    holders: dict[tuple, set[str]] = attrs.field(factory=dict)
    limits: list[StatedLimit] = attrs.field(factory=list)
    cuts: list[Cut] = attrs.field(factory=list)
    partitions: list[Partition] = attrs.field(factory=list)
    serving_times: list[ServingTime] = attrs.field(factory=list)
    holds: list[Hold] = attrs.field(factory=list)
    brittle_times: list[BrittleTime] = attrs.field(factory=list)
    rollouts: list[RolloutRecord] = attrs.field(factory=list)
    crashing_ids: set[str] = attrs.field(factory=set)
    crashing_share: float = 0.0
    prompt_crashes: list[float] = attrs.field(factory=list)
    broken_off: set[str] = attrs.field(factory=set)
    configurations: list[ConfigurationRecord] = attrs.field(factory=list)
    changes: list[PlannedChange] = attrs.field(factory=list)
    limited_keys: set[str] = attrs.field(factory=set)
    memory_excesses: list[MemoryExcess] = attrs.field(factory=list)
    starts: list[tuple[int, float]] = attrs.field(factory=list)
    restored_spans: list[tuple[float, float]] = attrs.field(factory=list)
    endless_requests: int = 0
    busy_spans: list[tuple[float, float]] = attrs.field(factory=list)
    own_pauses: list[tuple[float, float]] = attrs.field(factory=list)
    peak_mb: dict[int, float] = attrs.field(factory=dict)
    planned_stops: list[tuple[int, float, float]] = attrs.field(factory=list)
    fault_spans: list[tuple[float, float]] = attrs.field(factory=list)
    unexpected_exits: list[tuple[int, int]] = attrs.field(factory=list)
    double_runs: list[tuple[float, str]] = attrs.field(factory=list)
    moved: int = 0
    restores: int = 0
    early_changes: int = 0
    compared_times: list[ComparedTimes] = attrs.field(factory=list)
    faults_ended_at: float = 0.0
    not_ready: list[int] = attrs.field(factory=list)

    def busy_s(self, begin: float, end: float) -> float:
        """Returns for how long the machine was too busy from `begin` to `end`, in seconds."""
        spans = ((max(first, begin), min(last, end)) for first, last in self.busy_spans)
        return sum(max(0.0, last - first) for first, last in spans)

    def write(self, path: pathlib.Path) -> None:
        """Writes everything to a file, one JSON object a line with its kind."""
        with open(path, "w", encoding="utf-8") as file:
            for name, value in attrs.asdict(self, recurse=False).items():
                value = list(value.items()) if isinstance(value, dict) else value
                for each in value if isinstance(value, list) else [value]:
                    found = attrs.asdict(each) if attrs.has(type(each)) else each
                    file.write(json.dumps({"kind": name, "value": found}, default=_plain) + "\n")

    def configurations_between(self, begin: float, end: float) -> list[ConfigurationRecord]:
        """Returns the configurations that were the newest at some time from `begin` to `end`."""
        before = [each for each in self.configurations if each.at <= begin][-1:]
        return before + [each for each in self.configurations if begin < each.at <= end]


def _plain(value):
    if isinstance(value, bytes):
        return value.hex()
    return sorted(value) if isinstance(value, set | frozenset) else str(value)


def overlaps(spans: list[tuple[float, float]], begin: float, end: float) -> bool:
    """Returns whether one of the spans has a moment from `begin` to `end`."""
    return any(first <= end and begin <= last for first, last in spans)
