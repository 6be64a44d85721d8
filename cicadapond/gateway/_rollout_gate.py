"""How the steps of a request take part in rollouts; an abstract class, and one for no rollouts."""

import abc
import datetime
import typing

from cicadapond.advisories import Advisory
from cicadapond.placing import Placement
from cicadapond.serving import ServerEntry, ServerOrder

Servers = typing.Sequence[ServerEntry]


class AttemptObserver:
    """Learns what one attempt of a request shows of its server's version; this one does not."""

    def sent(self) -> None:
        """Records that the first byte is about to be sent."""

    def answer_begun(self) -> None:
        """Records the head of an answer that is passed on."""

    def event(self) -> None:
        """Records an event of a stream."""

    def end(self, outcome) -> None:
        """Records the end of the attempt.

        Args:
          outcome: Its outcome; None if it was given up before, by its caller or at its deadline.
        """


class RolloutGate(abc.ABC):
    """The rollouts of this process as the steps of a request see them.

    Attributes:
      takes_part: Whether this process keeps the bounds of rollouts.
    """

    takes_part = True

    @abc.abstractmethod
    def allowed(self, service: str, route: str, servers: Servers) -> list[ServerEntry]:
        """Returns those of some servers that a request of a route may be sent to now."""

    @abc.abstractmethod
    def is_running(self, service: str) -> bool:
        """Returns whether a rollout of a service has no outcome yet."""

    @abc.abstractmethod
    def must_wait(
        self, service: str, route: str, chosen: Servers, left: datetime.timedelta
    ) -> bool:
        """Returns whether a request must wait, as it could not end before its servers stop.

        Args:
          service: The service.
          route: The request's route.
          chosen: Where it may be sent now, as `allowed` returned.
          left: The time to its deadline.
        """

    def without_stopped(self, servers: Servers) -> list[ServerEntry]:
        """Returns some servers of one service without those that `is_stopped` excludes."""
        # Asked once for each version, as a service has hundreds of servers of few versions.
        stopped: dict[str, bool] = {}
        for entry in servers:
            if entry.version not in stopped:
                stopped[entry.version] = self.is_stopped(entry)
        return [entry for entry in servers if not stopped[entry.version]]

    @abc.abstractmethod
    def is_stopped(self, entry: ServerEntry) -> bool:
        """Returns whether nothing may be sent to a server because of its version."""

    @abc.abstractmethod
    def record_request(self, service: str, route: str) -> None:
        """Counts a request that a caller sent to a service; called once for each request."""

    @abc.abstractmethod
    def record_sent(self, entry: ServerEntry, route: str) -> None:
        """Counts a send to a server; called right before its first byte."""

    @abc.abstractmethod
    def observe(self, route: str, placement: Placement) -> AttemptObserver:
        """Returns the observer of an attempt that is about to be made."""

    @abc.abstractmethod
    def crashes_of_version(self, starts: typing.Collection[str]) -> frozenset[str]:
        """Returns those crashed starts of servers whose version is to blame, not a request."""

    @abc.abstractmethod
    def carrying(self, service: str, servers: Servers) -> list[ServerEntry]:
        """Returns those of some servers whose version carries the traffic of their service."""

    @abc.abstractmethod
    def hold_orders(
        self, orders: list[ServerOrder], maxima: typing.Mapping[str, int]
    ) -> list[ServerOrder]:
        """Returns orders of servers that are not lowered while a rollout of their service runs.

        Args:
          orders: The orders that the demand asks for.
          maxima: By service, the most servers in a data centre.
        """

    @abc.abstractmethod
    def reported(self) -> dict[str, tuple[int, ...]]:
        """Returns this run's totals, to report to the other processes."""

    def announced(self) -> dict[str, Advisory]:
        """Returns what earlier builds are to be told on behalf of servers, by server."""
        return {}

    @abc.abstractmethod
    def apply(self, zone: str, totals: typing.Mapping[str, tuple[int, ...]]) -> None:
        """Takes the sum of the totals of a data centre's processes, perhaps with this one's."""

    @abc.abstractmethod
    def state(self) -> dict:
        """Returns the state, for a dump."""


class NoRollouts(RolloutGate):
    """The gate of a deployment without rollouts: all servers of a service are equal."""

    takes_part = False
    _OBSERVER = AttemptObserver()

    def allowed(self, service, route, servers):
        return list(servers)

    def is_running(self, service):
        return False

    def must_wait(self, service, route, chosen, left):
        return False

    def without_stopped(self, servers):
        return servers

    def is_stopped(self, entry):
        return False

    def record_request(self, service, route):
        return None

    def record_sent(self, entry, route):
        return None

    def observe(self, route, placement):
        return self._OBSERVER

    def crashes_of_version(self, starts):
        return frozenset()

    def carrying(self, service, servers):
        return list(servers)

    def hold_orders(self, orders, maxima):
        return orders

    def reported(self):
        return {}

    def apply(self, zone, totals):
        return None

    def state(self):
        return {}
