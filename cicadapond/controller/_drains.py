"""Drains that this controller has begun, and whether every process has acknowledged them."""

import abc
import typing

from cicadapond.drain import LeavingServers, StopDecider
from cicadapond.kernel import Clock
from cicadapond.peer import Digest, MemberState, Peers

SOURCE = "controller"


class Drains(abc.ABC):
    """Makes all processes stop sending new work to a server, and shows when it may stop."""

    @abc.abstractmethod
    def begin(self, server: str) -> None:
        """Begins a drain; no effect if the server is draining already."""

    @abc.abstractmethod
    def end(self, server: str) -> None:
        """Ends a drain: the server accepts new work again, or no longer exists."""

    @abc.abstractmethod
    def draining(self) -> typing.Collection[str]:
        """Returns the names of the servers for which this controller has begun a drain."""

    @abc.abstractmethod
    def may_stop(self, server: str) -> bool:
        """Returns whether each live process acknowledged the drain and has no requests there."""

    @abc.abstractmethod
    def in_flight(self, server: str) -> int:
        """Returns the number of requests on a server, summed over all processes."""

    def forget(self, known: set[str]) -> None:
        """Drops the state of servers that are not in `known`."""
        return None


class PeerDrains(Drains):
    """Drains that are published and acknowledged in peer digests.

    Args:
      zone: The controller's data centre.
      peers: The other processes.
      clock: Gives the time.
      revision: Returns the document revision in force, which the digest includes.
    """

    def __init__(
        self, zone: str, peers: Peers, clock: Clock, revision: typing.Callable[[], int] = int
    ):
        self._peers = peers
        self._revision = revision
        self._begun: set[str] = set()
        self._leaving_servers = LeavingServers(clock)
        self._view = StopDecider(zone, self._leaving_servers, peers, self.digest, clock)
        peers.subscribe(self._merge_digest)

    def digest(self) -> Digest:
        """Returns this process's own digest."""
        return Digest(
            revision=self._revision(),
            leaving=self._leaving_servers.assigned_numbers(),
            drains=self._leaving_servers.numbers_to_acknowledge(),
        )

    def publish(self) -> None:
        """Publishes this process's digest."""
        self._peers.publish(self.digest())

    def begin(self, server):
        self._begun.add(server)
        self._view.begin(server, SOURCE)
        self.publish()

    def end(self, server):
        if server in self._begun:
            self._begun.discard(server)
            self._view.undrain(server)
            self.publish()

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
        self._leaving_servers.forget(known)

    def _merge_digest(self, member):
        numbers = {**member.digest.drains, **member.digest.leaving}
        changed = [
            self._leaving_servers.merge(server, number) for server, number in numbers.items()
        ]
        if any(changed):
            self.publish()
