"""Tickets, decisions, and the abstract class of admission policies."""

import abc
import dataclasses
import datetime
import typing

import attrs

from cicadapond.data import Priority
from cicadapond.document import AccountIntent
from cicadapond.kernel import NotRun, Registry


@attrs.frozen
class Ticket:
    """A request that asks for one slot of a pool.

    Attributes:
      ticket_id: Identifies the request; unique among open tickets.
      pool: The serving pool or service.
      account: The client account.
      priority: How urgent the request is.
      latest_start: The monotonic instant after which a slot is of no use, None if there is none.
    """

    ticket_id: str
    pool: str
    account: str
    priority: Priority = Priority.STANDARD
    latest_start: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The ticket has a slot until it is released."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The ticket gets no slot, and the policy no longer tracks it."""

    ticket: Ticket
    outcome: NotRun


Decision = Admitted | Refused


class AdmissionPolicy(abc.ABC):
    """Decides on tickets; the methods return the decisions that are due now.

    A ticket without a decision waits.  Instants are monotonic and never decrease.
    """

    @abc.abstractmethod
    def configure(self, accounts: typing.Mapping[str, AccountIntent]) -> None:
        """Sets the accounts of the document, with their limits and shares."""

    @abc.abstractmethod
    def set_slots(self, pool: str, slots: int, now: datetime.timedelta) -> list[Decision]:
        """Sets the number of slots of a pool."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: datetime.timedelta) -> list[Decision]:
        """Adds a new ticket."""

    @abc.abstractmethod
    def take_over(self, ticket: Ticket, now: datetime.timedelta) -> None:
        """Adds a ticket that another policy has admitted already."""

    @abc.abstractmethod
    def release(self, ticket: Ticket, now: datetime.timedelta) -> list[Decision]:
        """Takes back the slot of an admitted ticket."""

    @abc.abstractmethod
    def withdraw(self, ticket: Ticket, now: datetime.timedelta) -> list[Decision]:
        """Removes a waiting ticket whose caller has disconnected."""

    @abc.abstractmethod
    def expire(self, now: datetime.timedelta) -> list[Decision]:
        """Refuses the waiting tickets that can no longer start in time."""

    @abc.abstractmethod
    def next_expiry(self) -> datetime.timedelta | None:
        """Returns the instant at which `expire` is due next, None if no ticket can expire."""

    @abc.abstractmethod
    def waiting(self) -> list[Ticket]:
        """Returns the waiting tickets, in order of arrival within each queue."""

    @abc.abstractmethod
    def state(self) -> dict:
        """Returns slots, running and waiting tickets by pool, for a dump."""


# Each policy is created with a random.Random.

admission_policies: Registry[AdmissionPolicy] = Registry("admission policy")
