"""Tagged outcomes: what a call can come to, as types that a caller matches on.

`NotRun`, `Failed` and `Unknown` are what callers of the product are told; `Unavailable`,
`AnswerLost` and `Conflict` are what the platform's services answer.
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

    `retry_after` is None where a retry makes no sense; `status` is the HTTP status to tell.
    """

    reason: str
    retry_after: datetime.timedelta | None = None
    status: int = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and its answer is this error."""

    reason: str
    status: int = 502


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; only said of non-idempotent calls.

    `retry_after` is set where asking again may tell more, as while the request still runs.
    """

    reason: str
    status: int = 504
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not carry out the call: a write has certainly not taken effect."""

    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The platform's answer was lost: a write may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition of a conditional write did not hold; nothing was written.

    `current` maps (table, key) to the rows as they stand, for the conditions that failed.
    """

    current: typing.Mapping
