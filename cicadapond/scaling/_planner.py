"""Plans how many servers of a service are ordered in each data centre; no I/O.

The load must be served even when one data centre after the other reclaims its servers and no
others can be had.  Reclaimable servers are cheap and carry nearly all of it.  A small on-demand
base stays through every reclaim, and on-demand servers in the cheapest data centres replace
reclaimable ones until these are back.
"""

import collections
import datetime
import math
import typing

import attrs

from cicadapond.gateway import ServerOrder
from cicadapond.gateway.data import ServerEntry, Service
from cicadapond.kernel import Clock
from cicadapond.scaling._demand import Demand, Utilisation, peak

# On-demand servers that are kept whatever the demand, in the cheapest data centres.
MIN_ON_DEMAND = 1
# Target utilisation of reclaimable servers by prefill and by slots.  Prompts wait for each other at
# any load, so that of prefill is low; slots cause no wait before all of them are taken.
RECLAIMABLE_UTILISATION = Utilisation(prefill=0.42, slots=0.45)
MIN_RECLAIMABLE_PER_ZONE = 2
# On-demand servers are added when the reclaimable ones would be utilised more than this.
MAX_UTILISATION = Utilisation(prefill=0.8, slots=0.6)
# The same, for the reclaimable servers left if one more data centre reclaims its own.
MAX_UTILISATION_AFTER_RECLAIM = Utilisation(prefill=1.0, slots=0.8)
# The highest demand of this window counts, as servers take seconds to start.  The window is longer
# for reclaimable servers: they cost little, and their cached prompts are lost when they go.
DEMAND_WINDOW = datetime.timedelta(seconds=8)
RECLAIMABLE_DEMAND_WINDOW = datetime.timedelta(seconds=25)
# Servers that run already are discovered within this time.
DISCOVERY_PERIOD = datetime.timedelta(seconds=3)
# A new lease holder relies on the demand after having seen it for this long.
DEMAND_SETTLE_TIME = datetime.timedelta(seconds=6)


@attrs.frozen
class _DemandSample:
    demand: Demand
    at: datetime.timedelta


@attrs.frozen
class _InitialServers:
    count: int
    at: datetime.timedelta


class CapacityPlanner:
    """Plans the orders of a process while it holds the lease.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._demand_samples: dict[str, list[_DemandSample]] = {}
        self._initial_servers: dict[str, _InitialServers] = {}
        self._first_demand_at: dict[str, datetime.timedelta] = {}
        self._first_plan_at: dict[str, datetime.timedelta] = {}

    def reset(self) -> None:
        """Drops what was observed, before the lease is held again."""
        self._demand_samples.clear()
        self._initial_servers.clear()
        self._first_demand_at.clear()
        self._first_plan_at.clear()

    def plan(
        self,
        service: Service,
        zones: typing.Sequence[str],
        servers: typing.Sequence[ServerEntry],
        demand: Demand,
    ) -> list[ServerOrder]:
        """Returns the orders that should be in force for a service.

        Args:
          service: The service, with its bounds.
          zones: The data centres where it may run.
          servers: Its servers that take requests.
          demand: What its requests need now.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        now = self._clock.monotonic()
        self._first_plan_at.setdefault(service.name, now)
        if demand.is_positive:
            self._first_demand_at.setdefault(service.name, now)
        short_term_peak, long_term_peak = self._peak_demands(service.name, demand, now)
        needed = long_term_peak.servers_at(RECLAIMABLE_UTILISATION)
        reclaimable = math.ceil(needed / len(zones))
        to_replace = self._servers_to_replace(service.name, servers, now)
        reclaimable = max(MIN_RECLAIMABLE_PER_ZONE, reclaimable, math.ceil(to_replace / len(zones)))
        reclaimable = min(reclaimable, scaling.maximum - 1)
        on_demand_by_zone = self._on_demand_counts(
            scaling, zones, servers, short_term_peak, to_replace
        )
        # Both kinds share the maximum: on-demand servers take the room of missing reclaimable ones.
        orders = [
            ServerOrder(
                service.name,
                zone,
                True,
                min(reclaimable, scaling.maximum - on_demand_by_zone[zone]),
            )
            for zone in zones
        ]
        # An order for on-demand servers also stops those that have not been discovered yet.
        if self._has_discovered(service.name, now):
            orders += [
                ServerOrder(service.name, zone, False, on_demand_by_zone[zone]) for zone in zones
            ]
        return orders

    def _on_demand_counts(self, scaling, zones, servers, demand, to_replace):
        reclaimable_by_zone = collections.Counter(
            entry.zone for entry in servers if entry.is_reclaimable
        )
        on_demand_by_zone = collections.Counter(e.zone for e in servers if not e.is_reclaimable)
        left_after_reclaim = reclaimable_by_zone.total() - max(
            reclaimable_by_zone.values(), default=0
        )
        needed = max(
            MIN_ON_DEMAND,
            to_replace - reclaimable_by_zone.total(),
            math.ceil(demand.servers_at(MAX_UTILISATION)) - reclaimable_by_zone.total(),
            math.ceil(demand.servers_at(MAX_UTILISATION_AFTER_RECLAIM)) - left_after_reclaim,
        )
        counts = dict.fromkeys(zones, 0)
        for zone in sorted(zones, key=lambda zone: (scaling.prices.get(zone, 1.0), zone)):
            room = max(0, scaling.maximum - reclaimable_by_zone[zone])
            if to_replace:  # while the demand is unknown, no on-demand server is added
                room = min(room, on_demand_by_zone[zone])
            counts[zone] = min(needed, room)
            needed -= counts[zone]
        return counts

    def _has_discovered(self, service, now):
        """Returns whether all servers that ran before the first plan are known."""
        initial = self._initial_servers.get(service)
        since = initial.at if initial is not None else self._first_plan_at[service]
        return now - since >= DISCOVERY_PERIOD

    def _servers_to_replace(self, service, servers, now):
        """Returns how many servers reclaimable ones have to replace, 0 once the demand is known.

        These are the most servers seen within DISCOVERY_PERIOD of the first plan that sees any,
        which a new lease holder takes over.  The demand is known once it has been observed for
        DEMAND_SETTLE_TIME.
        """
        initial = self._initial_servers.get(service)
        if not self._has_discovered(service, now):
            count = max(initial.count if initial is not None else 0, len(servers))
            if count:
                initial = _InitialServers(count, initial.at if initial is not None else now)
                self._initial_servers[service] = initial
        first_demand_at = self._first_demand_at.get(service)
        if initial is None or (
            first_demand_at is not None and now - first_demand_at >= DEMAND_SETTLE_TIME
        ):
            return 0
        return initial.count

    def _peak_demands(self, service, demand, now):
        """Returns the highest demand of DEMAND_WINDOW and of RECLAIMABLE_DEMAND_WINDOW."""
        samples = self._demand_samples.setdefault(service, [])
        samples.append(_DemandSample(demand, now))
        samples[:] = [sample for sample in samples if now - sample.at <= RECLAIMABLE_DEMAND_WINDOW]
        short_term = [each.demand for each in samples if now - each.at <= DEMAND_WINDOW]
        return peak(short_term), peak([sample.demand for sample in samples])
