"""What a scenario's run is seen to do: observations with their instants, and the record of them."""

import datetime
import typing

import attrs

Instant = datetime.timedelta


@attrs.frozen
class Sent:
    """A caller sent a request; `key` is its idempotency key, empty without one."""

    at: Instant
    request: str
    kind: str
    account: str
    entry: str
    key: str = ""


@attrs.frozen
class Answered:
    """A caller got a final answer, or found its connection broken (`outcome` "broken").

    `outcome` is "ok", "not_run", "failed", "unknown" or "broken"; `wrong` says in what an answer
    differs from the one expected.
    """

    at: Instant
    request: str
    kind: str
    account: str
    outcome: str
    key: str = ""
    first: datetime.timedelta | None = None
    wrong: str = ""
    detail: str = ""


@attrs.frozen
class Accepted:
    """A durable request was accepted."""

    at: Instant
    request: str


@attrs.frozen
class Started:
    """A backend server began to work on a request."""

    at: Instant
    server: str
    request: str
    entry: str


@attrs.frozen
class Ran:
    """A plain service carried out a call that must not repeat."""

    at: Instant
    server: str
    request: str
    key: str


@attrs.frozen
class Noticed:
    """The first notice of a server's reclaim was given, by any source."""

    at: Instant
    server: str


@attrs.frozen
class Crashed:
    """A backend server crashed on a request."""

    at: Instant
    server: str
    request: str


@attrs.frozen
class Ordered:
    """An engine carried out an order of a process, given under a fencing number."""

    at: Instant
    server: str
    process: str
    fencing: int
    order: str


@attrs.frozen
class FinalEngine:
    """An engine that is up at the end, and the model version that it runs."""

    at: Instant
    server: str
    version: str


@attrs.frozen
class InForce:
    """A process took a document revision into force; `life` counts its restarts."""

    at: Instant
    process: str
    life: int
    revision: int


@attrs.frozen
class Began:
    """A process of the system is ready; `life` counts its restarts."""

    at: Instant
    process: str
    life: int


@attrs.frozen
class Ended:
    """A process of the system was killed, has stopped or was paused."""

    at: Instant
    process: str
    life: int


@attrs.frozen
class Edited:
    """An operator's edit, begun at an instant, was accepted as a revision.

    `path` names the field that it set, with dots, and `value` what to.
    """

    at: Instant
    begun: Instant
    revision: int
    mark: str
    path: str = ""
    value: object = None


@attrs.frozen
class FinalDocument:
    """The document as the store has it at the end: values by path."""

    at: Instant
    values: typing.Mapping[str, object]


@attrs.frozen
class Stopping:
    """A process began a planned stop with these requests in flight."""

    at: Instant
    process: str
    requests: tuple[str, ...]


@attrs.frozen
class Fault:
    """A fault began or ended, in words."""

    at: Instant
    text: str


Observation = (
    Sent
    | Answered
    | Accepted
    | Started
    | Ran
    | Noticed
    | Crashed
    | Ordered
    | FinalEngine
    | InForce
    | Began
    | Ended
    | Edited
    | FinalDocument
    | Stopping
    | Fault
)


class Record:
    """The observations of one run, in order."""

    def __init__(self):
        self.seen: list[Observation] = []

    def add(self, observation: Observation) -> None:
        """Appends an observation."""
        self.seen.append(observation)

    def of(self, kind: type) -> list:
        """Returns the observations of one type, in order."""
        return [found for found in self.seen if isinstance(found, kind)]

    def timeline(self) -> list[str]:
        """Returns one line of text per observation."""
        return [_line(found) for found in self.seen]


def _line(observation):
    fields = attrs.asdict(observation, recurse=False)
    at = fields.pop("at").total_seconds()
    words = " ".join(f"{name}={value}" for name, value in fields.items() if value not in ("", None))
    return f"{at:10.3f}  {type(observation).__name__.lower():9} {words}"
