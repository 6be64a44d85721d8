"""The calls that one process at a time makes to the platform, as an abstract class."""

import abc
import dataclasses
import typing

import attrs

from cicadapond.kernel import AnswerLost, Ok, Unavailable


@attrs.frozen
class Holder:
    """In whose name a call is made, and the fencing number of its right to make it."""

    name: str
    fencing: int


@attrs.frozen(order=True)
class ServerOrder:
    """How many servers of one kind a service is to have in a data centre."""

    service: str
    zone: str
    reclaimable: bool
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The platform did not do it: another holder came later, or there is nothing to be had."""

    reason: str


class Cloud(abc.ABC):
    """The platform's calls for duties."""

    @abc.abstractmethod
    async def report_usage(
        self, holder: Holder, window: int, counts: typing.Mapping[str, int]
    ) -> Ok[None] | Declined | Unavailable | AnswerLost:
        """Reports the counts of a window; repeating the same report is harmless."""

    @abc.abstractmethod
    async def order(
        self, holder: Holder, order: ServerOrder
    ) -> Ok[None] | Declined | Unavailable | AnswerLost:
        """Orders a number of servers; repeating the same order is harmless."""
