"""How many servers of a service are ordered in each data centre; no I/O.

For a load that must go on when data centres take their reclaimable servers away, one after the
other, while no others are to be had: reclaimable servers are cheap and carry nearly all of it.  A
small on-demand base stays through every reclaim, and on-demand servers in the cheapest data
centres stand in for reclaimable ones until these are back.
"""

import collections
import datetime
import math
import typing

import attrs

from cicadapond.gateway import ServerOrder
from cicadapond.gateway.data import ServerEntry, Service
from cicadapond.kernel import Clock

# On-demand servers that stay whatever the demand, in the cheapest data centres.
ON_DEMAND_BASE = 1
# Reclaimable servers are ordered for this use of them, so that prompts seldom wait for others.
RECLAIMABLE_USE = 0.3
LEAST_RECLAIMABLE_PER_ZONE = 2
# On-demand servers stand in when what is there would be used more than this.
LARGEST_USE = 0.65
# The same, for what is there once one more data centre takes its reclaimable servers away.
LARGEST_USE_AFTER_RECLAIM = 0.85
# Demand is reckoned at its highest over this time, as servers take seconds to come; longer for
# reclaimable ones, which cost little and take what they hold of prompts with them.
DEMAND_MEMORY = datetime.timedelta(seconds=8)
RECLAIMABLE_DEMAND_MEMORY = datetime.timedelta(seconds=25)
# Servers that are there already make themselves known within so long.
ARRIVAL_TERM = datetime.timedelta(seconds=3)
# A new holder of the lease knows the demand after having seen it for so long.
SETTLE = datetime.timedelta(seconds=6)


@attrs.frozen
class _Peak:
    demand: float
    at: datetime.timedelta


@attrs.frozen
class _Found:
    count: int
    at: datetime.timedelta


class CapacityPlanner:
    """Plans the orders of one process while it holds the lease.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._peaks: dict[str, list[_Peak]] = {}
        self._found: dict[str, _Found] = {}
        self._demanded_at: dict[str, datetime.timedelta] = {}

    def restart(self) -> None:
        """Forgets the past, for the next time that the lease is held."""
        self._peaks.clear()
        self._found.clear()
        self._demanded_at.clear()

    def plan(
        self,
        service: Service,
        zones: typing.Sequence[str],
        servers: typing.Sequence[ServerEntry],
        demand: float,
    ) -> list[ServerOrder]:
        """Returns the orders that should be in force for a service.

        Args:
          service: The service, with its bounds.
          zones: The data centres where it may run.
          servers: Its servers that take requests.
          demand: How many servers its requests keep busy now.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        now = self._clock.monotonic()
        if demand > 0.0:
            self._demanded_at.setdefault(service.name, now)
        demand, long_demand = self._peaks_of(service.name, demand, now)
        reclaimable = math.ceil(long_demand / RECLAIMABLE_USE / len(zones))
        replaced = self._replaced(service.name, servers, now)
        reclaimable = max(LEAST_RECLAIMABLE_PER_ZONE, reclaimable, math.ceil(replaced / len(zones)))
        reclaimable = min(reclaimable, scaling.maximum - 1)
        on_demand = self._on_demand(scaling, zones, servers, demand, replaced)
        # Both kinds share the bounds: what stands in takes the place of what is not to be had.
        orders = [
            ServerOrder(
                service.name, zone, True, min(reclaimable, scaling.maximum - on_demand[zone])
            )
            for zone in zones
        ]
        orders += [ServerOrder(service.name, zone, False, on_demand[zone]) for zone in zones]
        return orders

    def _on_demand(self, scaling, zones, servers, demand, replaced):
        present = collections.Counter(entry.zone for entry in servers if entry.is_reclaimable)
        on_demand = collections.Counter(e.zone for e in servers if not e.is_reclaimable)
        kept = present.total() - max(present.values(), default=0)
        wanted = max(
            ON_DEMAND_BASE,
            replaced - present.total(),
            math.ceil(demand / LARGEST_USE) - present.total(),
            math.ceil(demand / LARGEST_USE_AFTER_RECLAIM) - kept,
        )
        counts = dict.fromkeys(zones, 0)
        for zone in sorted(zones, key=lambda zone: (scaling.prices.get(zone, 1.0), zone)):
            room = max(0, scaling.maximum - present[zone])
            if replaced:  # nothing new is bought where nothing is known
                room = min(room, on_demand[zone])
            counts[zone] = min(wanted, room)
            wanted -= counts[zone]
        return counts

    def _replaced(self, service, servers, now):
        """Returns how many servers there were when the lease came, until the demand is known.

        Reclaimable ones are to replace them; 0 once the demand has been seen for a while.
        """
        found = self._found.get(service)
        if found is None or now - found.at < ARRIVAL_TERM:
            count = max(found.count if found is not None else 0, len(servers))
            if count:
                found = _Found(count, found.at if found is not None else now)
                self._found[service] = found
        demanded_at = self._demanded_at.get(service)
        if found is None or (demanded_at is not None and now - demanded_at >= SETTLE):
            return 0
        return found.count

    def _peaks_of(self, service, demand, now):
        """Returns the highest demand of the short and of the long memory."""
        peaks = self._peaks.setdefault(service, [])
        peaks.append(_Peak(demand, now))
        peaks[:] = [peak for peak in peaks if now - peak.at <= RECLAIMABLE_DEMAND_MEMORY]
        short = max(peak.demand for peak in peaks if now - peak.at <= DEMAND_MEMORY)
        return short, max(peak.demand for peak in peaks)
