"""The platform calls that only the lease holder makes, as an abstract class."""

import abc
import dataclasses
import datetime
import typing

import attrs

from cicadapond.kernel import AnswerLost, Ok, Unavailable
from cicadapond.serving import ServerOrder


@attrs.frozen
class Holder:
    """The lease holder that makes a call, and the fencing token of its lease.

    `until` is the monotonic time at which the lease ends: the call must not be sent later.
    """

    name: str
    fencing: int
    until: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The platform declined the call: a newer holder has called, or no servers are available."""

    reason: str


class Cloud(abc.ABC):
    """The platform calls of the duties."""

    @abc.abstractmethod
    async def report_usage(
        self, holder: Holder, window: int, counts: typing.Mapping[str, int]
    ) -> Ok[None] | Declined | Unavailable | AnswerLost:
        """Reports the counts of a window; idempotent."""

    @abc.abstractmethod
    async def order(
        self, holder: Holder, order: ServerOrder
    ) -> Ok[None] | Declined | Unavailable | AnswerLost:
        """Sets how many servers of one kind a service is to have; idempotent."""
