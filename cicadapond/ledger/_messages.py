"""Events and commands of the ledger's state machine."""

import dataclasses
import datetime

from cicadapond.data import ServiceResponse
from cicadapond.kernel import NotRun, Ok, Unknown
from cicadapond.ledger._row import LedgerRow

# Events: answers of the table service


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row that was read; None if it is absent."""

    row: LedgerRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The write took effect; `version` is the row's new version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The write's condition failed; `row` is the current row, None if it is absent."""

    row: LedgerRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLost:
    """No answer to the write; it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOut:
    """The table service or the object store is unavailable; the row is unchanged."""

    retry_after: datetime.timedelta | None = None


# Events: outcomes of the send


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswered:
    """The backend server returned a complete answer."""

    answer: ServiceResponse


@dataclasses.dataclass(frozen=True, slots=True)
class SendNotRun:
    """No byte was sent, or the backend server states that it did not run the call."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendUnknown:
    """Part of the call may have been sent, and no complete answer was received."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waited:
    """The requested wait has elapsed."""


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
    """Wait for `duration`."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Return the outcome to the caller; later commands run in the background."""

    outcome: Ok[ServiceResponse] | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The attempt is over."""


Command = Put | Read | Send | Wait | Respond | Finish
