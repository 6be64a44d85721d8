"""Observations made during a run of a scenario, each with its time, and the record of them."""

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
    """A caller got an answer, or its connection broke or timed out (`outcome` "broken").

    `outcome` is "ok", "not_run", "failed", "unknown" or "broken"; `first` is the time from
    sending to the first token; `wrong` describes how the answer differs from the expected one.
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
    """A plain service executed a non-idempotent call."""

    at: Instant
    server: str
    request: str
    key: str


@attrs.frozen
class Noticed:
    """The cloud gave notice that it will reclaim a server's host."""

    at: Instant
    server: str


@attrs.frozen
class Crashed:
    """A backend server crashed; `request` is empty if the request is not known."""

    at: Instant
    server: str
    request: str


@attrs.frozen
class Ordered:
    """An engine accepted an order that a process sent with a fencing number."""

    at: Instant
    server: str
    process: str
    fencing: int
    order: str


@attrs.frozen
class FinalEngine:
    """An engine that is up at the end of the run, and the model version that it runs."""

    at: Instant
    server: str
    version: str


@attrs.frozen
class InForce:
    """A process put a document revision into force; `life` counts the starts of the process."""

    at: Instant
    process: str
    life: int
    revision: int


@attrs.frozen
class Began:
    """A process of the system became ready; `life` counts the starts of the process."""

    at: Instant
    process: str
    life: int


@attrs.frozen
class Ended:
    """A process of the system was killed, was paused or has stopped."""

    at: Instant
    process: str
    life: int


@attrs.frozen
class Edited:
    """An operator's edit, started at `begun`, was accepted as a revision.

    `mark` identifies the edit, `path` is the dotted path of the field, and `value` its new value.
    """

    at: Instant
    begun: Instant
    revision: int
    mark: str
    path: str = ""
    value: object = None


@attrs.frozen
class FinalDocument:
    """The stored document at the end of the run: values by dotted path."""

    at: Instant
    values: typing.Mapping[str, object]


@attrs.frozen
class Stopping:
    """A process started a planned stop with these requests in flight."""

    at: Instant
    process: str
    requests: tuple[str, ...]


@attrs.frozen
class Fault:
    """A fault began or ended, or an edit failed; `text` says which."""

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
        self.observations: list[Observation] = []

    def add(self, observation: Observation) -> None:
        """Appends an observation."""
        self.observations.append(observation)

    def of_type(self, kind: type) -> list:
        """Returns the observations of one type, in order."""
        return [observation for observation in self.observations if isinstance(observation, kind)]

    def timeline(self) -> list[str]:
        """Returns one line of text per observation."""
        return [_line(observation) for observation in self.observations]


def _line(observation):
    fields = attrs.asdict(observation, recurse=False)
    at = fields.pop("at").total_seconds()
    words = " ".join(f"{name}={value}" for name, value in fields.items() if value not in ("", None))
    return f"{at:10.3f}  {type(observation).__name__.lower():9} {words}"
