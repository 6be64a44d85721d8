"""Plans how many servers of a service are ordered in each data centre; no I/O.

Load condition: one data centre after the other reclaims its servers and no others can be had.
Reclaimable servers are cheap and carry nearly all of the load.  A small on-demand base stays
through every reclaim, and on-demand servers in the cheapest data centres replace reclaimable ones
until these are back.
"""

import collections
import datetime
import enum
import math
import typing

import attrs

from cicadapond.gateway import ServerOrder
from cicadapond.gateway.data import ServerEntry, Service
from cicadapond.kernel import Clock
from cicadapond.scaling._demand import Demand, Utilisation
from cicadapond.scaling._history import DEMAND_RETENTION, DemandHistory

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
# The highest demand of this window counts for reclaimable servers; for on-demand ones the window is
# the time that a server takes to start.  Reclaimable servers cost little, and their cached prompts
# are lost when they go.
RECLAIMABLE_DEMAND_WINDOW = DEMAND_RETENTION
# Servers that run already are discovered within this time.
DISCOVERY_PERIOD = datetime.timedelta(seconds=3)


@attrs.frozen
class _InitialServers:
    count: int
    at: datetime.timedelta


@attrs.frozen
class _LastPlan:
    """How many on-demand servers the last plan for a service needed, and where."""

    needed: int
    counts: typing.Mapping[str, int]
    at: datetime.timedelta


class Basis(enum.Enum):
    """What decides how many on-demand servers are ordered."""

    BASE = "base"
    UNKNOWN_DEMAND = "unknown_demand"
    DEMAND = "demand"
    NEXT_RECLAIM = "next_reclaim"


@attrs.frozen
class PlanInputs:
    """What a plan was derived from, for the log.

    Attributes:
      needed_on_demand: How many on-demand servers are needed in all data centres together.
      basis: What decided it.
      present: The demand that on-demand servers are ordered for.
      peak: The demand that reclaimable servers are ordered for.
      servers: How many servers take requests.
      arriving: How many reclaimable servers are starting.
    """

    needed_on_demand: int
    basis: Basis
    present: Demand
    peak: Demand
    servers: int
    arriving: int


class CapacityPlanner:
    """Plans the orders of a process while it holds the lease.

    Each process observes servers and demand all the time, so that its first plan as the holder of
    the lease is based on them.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._history = DemandHistory(clock)
        self._initial_servers: dict[str, _InitialServers] = {}
        self._first_observed_at: dict[str, datetime.timedelta] = {}
        self._last_plans: dict[str, _LastPlan] = {}
        self._inputs: dict[str, PlanInputs] = {}

    def observe(
        self, service: Service, servers: typing.Sequence[ServerEntry], demand: Demand
    ) -> None:
        """Records the servers that take requests and the demand, also without the lease.

        It is first called when this process has the server table.
        """
        if service.scaling is None:
            return
        now = self._clock.monotonic()
        if self._history.record(service.name, demand):
            # What ran before the process was suspended says nothing of what runs now.
            self._first_observed_at[service.name] = now
            self._initial_servers.pop(service.name, None)
        if not self._has_discovered(service.name, now):
            initial = self._initial_servers.get(service.name)
            count = max(initial.count if initial is not None else 0, len(servers))
            if count:
                since = initial.at if initial is not None else now
                self._initial_servers[service.name] = _InitialServers(count, since)

    def inputs(self, service: str) -> PlanInputs | None:
        """Returns what the last plan for a service was derived from."""
        return self._inputs.get(service)

    def plan(
        self,
        service: Service,
        zones: typing.Sequence[str],
        servers: typing.Sequence[ServerEntry],
        demand: Demand,
        arriving: typing.Mapping[str, int] | None = None,
    ) -> list[ServerOrder]:
        """Returns the orders that should be in force for a service.

        Args:
          service: The service, with its bounds.
          zones: The data centres where it may run.
          servers: Its servers that take requests.
          demand: What its requests need now.
          arriving: By data centre, reclaimable servers that are starting, besides `servers`.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        now = self._clock.monotonic()
        self.observe(service, servers, demand)
        needed = self._history.peak(service.name, RECLAIMABLE_DEMAND_WINDOW)
        reclaimable = math.ceil(needed.servers_at(RECLAIMABLE_UTILISATION) / len(zones))
        to_replace = self._servers_to_replace(service.name)
        reclaimable = max(MIN_RECLAIMABLE_PER_ZONE, reclaimable, math.ceil(to_replace / len(zones)))
        reclaimable = min(reclaimable, scaling.maximum - 1)
        on_demand_by_zone = self._on_demand_counts(
            service, zones, servers, to_replace, arriving or {}
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

    def _on_demand_counts(self, service, zones, servers, to_replace, arriving):
        scaling, now = service.scaling, self._clock.monotonic()
        running = collections.Counter(entry.zone for entry in servers if entry.is_reclaimable)
        current = collections.Counter(e.zone for e in servers if not e.is_reclaimable)
        demand = self._history.peak(service.name, scaling.boot)
        needed, basis = _needed_on_demand(running + collections.Counter(arriving), demand)
        last = self._last_plans.get(service.name)
        if last is None or now - last.at > scaling.boot:
            last = _LastPlan(0, {}, now)
        # Servers that are starting spare new on-demand servers; those that are there stay until
        # the others have started.
        present, present_basis = _needed_on_demand(running, demand)
        present = min(present, max(current.total(), last.needed))
        if present > needed:
            needed, basis = present, present_basis
        # The servers that run are not lowered before the demand is known, but more may be added.
        unknown = min(to_replace - running.total(), current.total())
        if unknown > needed:
            needed, basis = unknown, Basis.UNKNOWN_DEMAND
        self._inputs[service.name] = PlanInputs(
            needed,
            basis,
            demand,
            self._history.peak(service.name, RECLAIMABLE_DEMAND_WINDOW),
            len(servers),
            sum(arriving.values()),
        )
        # A server that runs or starts is not exchanged for one in a cheaper data centre, which
        # would take the boot time to replace it.
        kept = {zone: max(current[zone], last.counts.get(zone, 0)) for zone in zones}
        room = {zone: max(0, scaling.maximum - running[zone]) for zone in zones}
        counts = _distribute(needed, zones, scaling, kept, room)
        self._last_plans[service.name] = _LastPlan(needed, counts, now)
        return counts

    def _has_discovered(self, service, now):
        """Returns whether all servers that ran before the first observation are known."""
        initial = self._initial_servers.get(service)
        since = initial.at if initial is not None else self._first_observed_at[service]
        return now - since >= DISCOVERY_PERIOD

    def _servers_to_replace(self, service):
        """Returns how many servers reclaimable ones have to replace, 0 once the demand is known.

        These are the most servers seen within DISCOVERY_PERIOD of the first observation of any.
        """
        initial = self._initial_servers.get(service)
        if initial is None or self._history.is_known(service):
            return 0
        return initial.count


def _needed_on_demand(reclaimable, demand):
    """Returns how many on-demand servers are needed beside reclaimable ones, and why.

    Args:
      reclaimable: The number of reclaimable servers by data centre.
      demand: The demand.
    """
    left_after_reclaim = reclaimable.total() - max(reclaimable.values(), default=0)
    after_reclaim = math.ceil(demand.servers_at(MAX_UTILISATION_AFTER_RECLAIM))
    return max(
        (
            (MIN_ON_DEMAND, Basis.BASE),
            (math.ceil(demand.servers_at(MAX_UTILISATION)) - reclaimable.total(), Basis.DEMAND),
            (after_reclaim - left_after_reclaim, Basis.NEXT_RECLAIM),
        ),
        key=lambda need: need[0],
    )


def _distribute(needed, zones, scaling, kept, room):
    """Returns the on-demand servers of each data centre: those to keep, then the cheapest."""
    counts = dict.fromkeys(zones, 0)
    for wanted in (kept, room):
        for zone in sorted(zones, key=lambda zone: (scaling.prices.get(zone, 1.0), zone)):
            limit = min(wanted[zone], room[zone])
            added = min(needed - sum(counts.values()), max(0, limit - counts[zone]))
            counts[zone] += added
    return counts
