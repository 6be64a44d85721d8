"""Outcomes of calls, as types for pattern matching.

`NotRun`, `Failed` and `Unknown` are reported to callers; `Unavailable`, `AnswerLost` and
`Conflict` are outcomes of calls to the platform's services.
"""

import dataclasses
import datetime
import typing

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Ok(typing.Generic[T]):
    """The call succeeded."""

    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run.

    `retry_after` is None if a retry is pointless or no time is known; `status` is the HTTP status
    to report.
    """

    reason: str
    retry_after: datetime.timedelta | None = None
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request has ended without a complete answer, after it ran or may have run."""

    reason: str
    status: int = 502


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the request ran.

    Completions and idempotent calls to services end in `Failed` instead.

    `retry_after` is set if a later query may resolve it, such as while the request still runs.
    """

    reason: str
    status: int = 504
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not execute the call: a write has certainly not taken effect."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The platform's answer was lost: a write may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a conditional write did not hold; nothing was written.

    `current` maps (table, key) to the current row, for each condition that failed.
    """

    current: typing.Mapping
