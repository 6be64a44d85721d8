"""What the ledger's state machine is told, and what it asks for."""

import dataclasses
import datetime

from cicadapond.data import Answer
from cicadapond.kernel import NotRun, Ok, Unknown
from cicadapond.ledger._row import LedgerRow

# Events: answers of the table service


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row as it stands; None if it is absent."""

    row: LedgerRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The write took effect and gave the row this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The write's condition did not hold; this is the row as it stands."""

    row: LedgerRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLost:
    """The write may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOut:
    """The table service did not carry out the request."""

    retry_after: datetime.timedelta | None = None


# Events: what became of the send


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswered:
    """The backend server gave its whole answer."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class SendNotRun:
    """No byte left, or the backend server itself says that it did not run the call."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendUnknown:
    """A byte may have left, and no whole answer came."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waited:
    """The wait that was asked for is over."""


Event = (
    RowRead
    | RowWritten
    | WriteRefused
    | WriteLost
    | StoreOut
    | SendAnswered
    | SendNotRun
    | SendUnknown
    | Waited
)

# Commands


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write the row if it still has version `expected` (0: absent)."""

    row: LedgerRow
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the row."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the call now, once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Let so much time pass."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Tell the caller the outcome; what follows happens behind its back."""

    outcome: Ok[Answer] | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The attempt is over."""


Command = Put | Read | Send | Wait | Tell | Finish
