"""Which versions of a service a process sends to, from the order and the state of its rollout.

It answers the load of a service during a rollout: the decision for a request takes one pass over
its servers.
"""

import datetime
import hashlib
import heapq
import math
import typing
from collections.abc import Sequence

from cicadapond.rollout._data import Phase, RolloutOrder, RolloutState
from cicadapond.serving import ServerEntry

# An engine of a version that the service did not have before gets nothing for this time, as its
# entry may be heard before the order.
UNKNOWN_VERSION_TIME = datetime.timedelta(seconds=1)
# The load of a canary engine may exceed that of an old one by this part of an engine's load.
CANARY_EXCESS = 0.2
# At low rates the canary engines run this many requests at a time in the mean: spread as widely as
# on the old engines, requests seldom meet, and a version that is bad only under load did not show
# it (11 of 100 drawn bad versions at 10 to 50 requests/s were completed).
CANARY_RUNNING = 0.6


class KnownVersions:
    """The versions of one service that have been seen for long enough."""

    def __init__(self):
        self._established: set[str] = set()
        self._since: dict[str, datetime.timedelta] = {}

    @property
    def established(self) -> frozenset[str]:
        """The versions that were seen for long enough, also those that have left."""
        return frozenset(self._established)

    def permitted(
        self, servers: Sequence[ServerEntry], now: datetime.timedelta
    ) -> Sequence[ServerEntry]:
        """Returns the servers without those of a version first seen just now."""
        versions = {entry.version for entry in servers}
        if versions <= self._established:
            return servers
        if not self._established:
            self._established = versions
            return servers
        for version in versions - self._established:
            if now - self._since.setdefault(version, now) >= UNKNOWN_VERSION_TIME:
                self._established.add(version)
        return [entry for entry in servers if entry.version in self._established] or servers


def barred_versions(order: RolloutOrder | None, state: RolloutState | None) -> frozenset[str]:
    """Returns the versions to which nothing may be sent, by the order and the state in force."""
    barred = set(state.barred) if state is not None else set()
    serving = state.order.to if state is not None and state.phase is Phase.COMPLETED else None
    if state is not None and state.phase is Phase.ROLLED_BACK:
        barred.add(state.order.to)
    if state is not None and not state.phase.has_ended:
        if order is None or not order.asks_the_same(state.order):
            barred.add(state.order.to)
    elif order is not None and order.to != serving:
        barred.add(order.to)
    if order is not None and state is not None and order.to not in (serving, state.order.to):
        barred.add(order.to)
    return frozenset(barred)


def canary_count(old_servers: int, work_share: float, running: float = math.inf) -> int:
    """Returns the number of engines that carry a trial at the load of an old engine.

    They are fewer where an old engine mostly runs no request or one.

    Args:
      old_servers: The number of servers of the old version.
      work_share: The share of the service's work that goes to the new version.
      running: The requests of the trial that run at a time.
    """
    needed = old_servers * work_share - CANARY_EXCESS
    return max(1, math.ceil(min(needed, running / CANARY_RUNNING - 0.5)))


class CanaryChoice:
    """Picks the same few engines in each process.

    Args:
      rollout_id: The rollout; each has other engines.
    """

    def __init__(self, rollout_id: str):
        self._rollout_id = rollout_id
        self._ranks: dict[str, bytes] = {}

    def choose(self, servers: typing.Iterable[ServerEntry], count: int) -> list[ServerEntry]:
        """Returns `count` of the servers, by rendezvous hash."""
        return heapq.nsmallest(count, servers, key=self._rank)

    def _rank(self, entry):
        rank = self._ranks.get(entry.start)
        if rank is None:
            text = f"{self._rollout_id} {entry.start}"
            rank = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._ranks[entry.start] = rank
        return rank
