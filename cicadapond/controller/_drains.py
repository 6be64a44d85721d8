"""Drains that this controller has begun, and whether every process has followed them."""

import abc
import datetime
import typing

import attrs

from cicadapond.drain import drain_number
from cicadapond.kernel import Clock, seconds
from cicadapond.peer import MemberState, Peers

ENTRY_ROLE = "entry"
SELF_LIMIT = seconds(3)


class Drains(abc.ABC):
    """Has every process send a server no new work, and knows when all of them have stopped."""

    @abc.abstractmethod
    def begin(self, server: str) -> None:
        """Begins a drain; one that has begun goes on."""

    @abc.abstractmethod
    def end(self, server: str) -> None:
        """Ends a drain: the server takes new work again, or is gone."""

    @abc.abstractmethod
    def draining(self) -> typing.Collection[str]:
        """Returns the servers that are drained on this controller's word."""

    @abc.abstractmethod
    def may_stop(self, server: str) -> bool:
        """Returns whether each live process has acknowledged the drain and has nothing there."""

    @abc.abstractmethod
    def in_flight(self, server: str) -> int:
        """Returns the requests on a server by the count of all processes."""


@attrs.frozen
class _Drain:
    number: int
    began: datetime.timedelta


class PeerDrains(Drains):
    """Drains told and acknowledged by digests.

    A process that cannot be asked sends nothing to another data centre's servers after SELF_LIMIT
    without a word from there, so that waiting that long stands for its answer.

    Args:
      peers: The other processes.
      clock: Gives the time.
      publish: Is called when the drains to be told have changed, with server to number.
    """

    def __init__(
        self, peers: Peers, clock: Clock, publish: typing.Callable[[dict[str, int]], None]
    ):
        self._peers = peers
        self._clock = clock
        self._publish = publish
        self._drains: dict[str, _Drain] = {}

    def begin(self, server):
        if server in self._drains:
            return
        known = (member.digest.drains.get(server, 0) for member in self._peers.members())
        number = drain_number(self._clock, max(known, default=0))
        self._drains[server] = _Drain(number, self._clock.monotonic())
        self._tell()

    def end(self, server):
        if self._drains.pop(server, None) is not None:
            self._tell()

    def draining(self):
        return self._drains.keys()

    def may_stop(self, server):
        drain = self._drains.get(server)
        if drain is None or self._clock.monotonic() - drain.began < SELF_LIMIT:
            return False
        return all(
            member.digest.drains.get(server, 0) >= drain.number
            and not member.digest.in_flight.get(server, 0)
            for member in self._entries()
        )

    def in_flight(self, server):
        return sum(member.digest.in_flight.get(server, 0) for member in self._entries())

    def _entries(self):
        alive = (MemberState.ALIVE, MemberState.SUSPECT)
        return [
            member
            for member in self._peers.members()
            if member.role == ENTRY_ROLE and member.state in alive
        ]

    def _tell(self):
        self._publish({server: drain.number for server, drain in self._drains.items()})
