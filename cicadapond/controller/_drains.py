"""Drains that this controller has begun, and whether every process has followed them."""

import abc
import typing

from cicadapond.drain import DrainView, LeavingBook
from cicadapond.kernel import Clock
from cicadapond.peer import Digest, MemberState, Peers

SOURCE = "controller"


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

    def forget(self, known: set[str]) -> None:
        """Drops what is remembered of servers that are gone."""
        return None


class PeerDrains(Drains):
    """Drains told and acknowledged by digests.

    Args:
      zone: The controller's data centre.
      peers: The other processes.
      clock: Gives the time.
      revision: Returns the document revision in force, which the own digest tells too.
    """

    def __init__(
        self, zone: str, peers: Peers, clock: Clock, revision: typing.Callable[[], int] = int
    ):
        self._peers = peers
        self._revision = revision
        self._begun: set[str] = set()
        self._book = LeavingBook(clock)
        self._view = DrainView(zone, self._book, peers, self.digest, clock)
        peers.subscribe(self._hear)

    def digest(self) -> Digest:
        """Returns this process's own digest."""
        return Digest(
            revision=self._revision(),
            leaving=self._book.originated(),
            drains=self._book.acknowledged(),
        )

    def tell(self) -> None:
        """Publishes the own digest."""
        self._peers.publish(self.digest())

    def begin(self, server):
        self._begun.add(server)
        self._view.begin(server, SOURCE)
        self.tell()

    def end(self, server):
        if server in self._begun:
            self._begun.discard(server)
            self._view.undrain(server)
            self.tell()

    def draining(self):
        return self._begun

    def may_stop(self, server):
        return server in self._begun and self._view.may_stop(server, backend_running=0).allowed

    def in_flight(self, server):
        alive = (MemberState.ALIVE, MemberState.SUSPECT)
        return sum(
            member.digest.in_flight.get(server, 0)
            for member in self._peers.members()
            if member.state in alive
        )

    def forget(self, known):
        self._begun &= known
        self._book.forget(known)

    def _hear(self, member):
        numbers = {**member.digest.drains, **member.digest.leaving}
        news = [self._book.merge(server, number) for server, number in numbers.items()]
        if any(news):
            self.tell()
