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

from cicadapond.kernel import Clock
from cicadapond.scaling._demand import Demand
from cicadapond.scaling._history import DEMAND_RETENTION, DemandHistory
from cicadapond.scaling._sizing import Waiting
from cicadapond.serving import ServerEntry, ServerOrder, Service

# On-demand servers that are kept whatever the demand, in the cheapest data centres.
MIN_ON_DEMAND = 1
MIN_RECLAIMABLE_PER_ZONE = 2
# Reclaimable servers are sized for a demand this many times the present one, for the boot time of
# those that a burst calls for.  Slots fill up more slowly, as answers take seconds.
BURST = Demand(prefill=2.15, batches=1.5)
# After a data centre withdrew its servers, two more may do so within this time (three within 6 s
# were seen on several days).  It covers the boot time of on-demand servers and a step.
RECENT_RECLAIM = datetime.timedelta(seconds=4.5)
# The highest demand of this window counts for reclaimable servers; for on-demand ones the window is
# the time that a server takes to start.  Reclaimable servers cost little, and their cached prompts
# are lost when they go.
RECLAIMABLE_DEMAND_WINDOW = DEMAND_RETENTION
# On-demand servers for two more reclaims are ordered after this time, when it is known whether the
# first order of reclaimable ones in place of those withdrawn was accepted.
WAVE_DELAY = datetime.timedelta(seconds=0.5)
# Servers that run already are discovered within this time.
DISCOVERY_PERIOD = datetime.timedelta(seconds=3)


@attrs.frozen
class _InitialServers:
    count: int
    at: datetime.timedelta


@attrs.frozen
class _Reclaims:
    """When the first and the last of several data centres withdrew their reclaimable servers."""

    first_at: datetime.timedelta
    last_at: datetime.timedelta


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
    TWO_RECLAIMS = "two_reclaims"


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
      is_reclaiming: Whether a data centre withdrew its servers lately, so that two more may.
      waiting: What decides how long requests wait.
    """

    needed_on_demand: int
    basis: Basis
    present: Demand
    peak: Demand
    servers: int
    arriving: int
    is_reclaiming: bool
    waiting: Waiting


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
        # The data centres that had reclaimable servers when last observed, and when one of them had
        # none any more.
        self._running: dict[str, frozenset[str]] = {}
        self._reclaims: dict[str, _Reclaims] = {}
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
            self._running.pop(service.name, None)
        self._observe_reclaims(service.name, servers, now)
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
        waiting: Waiting,
        arriving: typing.Mapping[str, int] | None = None,
    ) -> list[ServerOrder]:
        """Returns the orders that should be in force for a service.

        Args:
          service: The service, with its bounds.
          zones: The data centres where it may run.
          servers: Its servers that take requests.
          demand: What its requests need now.
          waiting: What decides how long they wait.
          arriving: By data centre, reclaimable servers that are starting, besides `servers`.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        now = self._clock.monotonic()
        self.observe(service, servers, demand)
        needed = _needed_reclaimable(
            self._history.peak(service.name, RECLAIMABLE_DEMAND_WINDOW), waiting, len(zones)
        )
        to_replace = self._servers_to_replace(service.name)
        reclaimable = _spread(max(needed, to_replace), zones, scaling)
        on_demand_by_zone = self._on_demand_counts(
            service, zones, servers, to_replace, waiting, arriving or {}
        )
        # Both kinds share the maximum: on-demand servers take the room of missing reclaimable ones.
        orders = [
            ServerOrder(
                service.name,
                zone,
                True,
                min(reclaimable[zone], scaling.maximum - on_demand_by_zone[zone]),
            )
            for zone in zones
        ]
        # An order for on-demand servers also stops those that have not been discovered yet.
        if self._has_discovered(service.name, now):
            orders += [
                ServerOrder(service.name, zone, False, on_demand_by_zone[zone]) for zone in zones
            ]
        return orders

    def _on_demand_counts(self, service, zones, servers, to_replace, waiting, arriving):
        scaling, now = service.scaling, self._clock.monotonic()
        running = collections.Counter(entry.zone for entry in servers if entry.is_reclaimable)
        current = collections.Counter(e.zone for e in servers if not e.is_reclaimable)
        demand = self._history.peak(service.name, scaling.boot)
        is_reclaiming = self._is_reclaiming(service.name)
        expected = running + collections.Counter(arriving)
        needed, basis = _needed_on_demand(expected, demand, waiting, is_reclaiming)
        last = self._last_plans.get(service.name)
        if last is None or now - last.at > scaling.boot:
            last = _LastPlan(0, {}, now)
        # Servers that are starting spare new on-demand servers; those that are there stay until
        # the others have started.
        present, present_basis = _needed_on_demand(running, demand, waiting, False)
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
            is_reclaiming,
            waiting,
        )
        # A server that runs or starts is not exchanged for one in a cheaper data centre, which
        # would take the boot time to replace it.
        kept = {zone: max(current[zone], last.counts.get(zone, 0)) for zone in zones}
        # Reclaimable servers that are starting keep their room: on-demand ones would replace them.
        room = {zone: max(0, scaling.maximum - expected[zone]) for zone in zones}
        counts = _distribute(needed, zones, scaling, kept, room)
        self._last_plans[service.name] = _LastPlan(needed, counts, now)
        return counts

    def _observe_reclaims(self, service, servers, now):
        zones = frozenset(entry.zone for entry in servers if entry.is_reclaimable)
        if self._running.get(service, zones) - zones:
            wave = self._reclaims.get(service)
            is_next = wave is not None and now - wave.last_at <= RECENT_RECLAIM
            self._reclaims[service] = _Reclaims(wave.first_at if is_next else now, now)
        self._running[service] = zones

    def _is_reclaiming(self, service):
        """Returns whether data centres withdraw their servers one after the other."""
        wave, now = self._reclaims.get(service), self._clock.monotonic()
        return (
            wave is not None
            and now - wave.first_at >= WAVE_DELAY
            and now - wave.last_at <= RECENT_RECLAIM
        )

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


def _needed_reclaimable(demand, waiting, zones):
    """Returns how many reclaimable servers serve the demand without one data centre, or a burst."""
    burst = Demand(demand.prefill * BURST.prefill, demand.batches * BURST.batches)
    without_one = waiting.servers_for(demand) * zones / max(1, zones - 1)
    return max(math.ceil(without_one), waiting.servers_for(burst))


def _spread(count, zones, scaling):
    """Returns the reclaimable servers of each data centre; the cheapest ones have one more."""
    by_price = sorted(zones, key=lambda zone: (scaling.prices.get(zone, 1.0), zone))
    each, more = divmod(max(count, MIN_RECLAIMABLE_PER_ZONE * len(zones)), len(zones))
    return {
        zone: min(scaling.maximum - 1, each + (rank < more)) for rank, zone in enumerate(by_price)
    }


def _needed_on_demand(reclaimable, demand, waiting, is_reclaiming):
    """Returns how many on-demand servers are needed beside reclaimable ones, and why.

    Args:
      reclaimable: The number of reclaimable servers by data centre.
      demand: The demand.
      waiting: What decides how long requests wait.
      is_reclaiming: Whether two more data centres may withdraw their servers, in place of one.
    """
    needed = waiting.servers_for(demand)
    # The loss of one more server must not leave fewer than the demand keeps busy.
    with_spare = max(needed, math.ceil(max(demand.prefill, demand.batches)) + 1)
    left = [0, *sorted(reclaimable.values())]
    needs = [
        (MIN_ON_DEMAND, Basis.BASE),
        (with_spare - sum(left), Basis.DEMAND),
        (needed - sum(left[:-1]), Basis.NEXT_RECLAIM),
    ]
    if is_reclaiming:
        needs.append((needed - sum(left[:-2]), Basis.TWO_RECLAIMS))
    return max(needs, key=lambda need: need[0])


def _distribute(needed, zones, scaling, kept, room):
    """Returns the on-demand servers of each data centre: those to keep, then the cheapest."""
    counts = dict.fromkeys(zones, 0)
    for wanted in (kept, room):
        for zone in sorted(zones, key=lambda zone: (scaling.prices.get(zone, 1.0), zone)):
            limit = min(wanted[zone], room[zone])
            added = min(needed - sum(counts.values()), max(0, limit - counts[zone]))
            counts[zone] += added
    return counts
