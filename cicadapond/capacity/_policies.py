"""The capacity policies: two baselines, and the cheapest mix that survives the loss of a zone."""

import collections
import math

import attrs

from cicadapond.capacity._api import (
    CapacityPolicy,
    CapacityView,
    Offer,
    PoolNeed,
    Target,
    capacity_policies,
)
from cicadapond.data import Market

# Prices of hosts already held are multiplied by this, so that plans do not follow every small
# change of prices.
HELD_DISCOUNT = 0.85
# Cost of recomputing the work that one reclaim interrupts on one slot, in the currency of prices.
RECOMPUTE_COST_PER_SLOT = 0.05


@attrs.frozen
class _Choice:
    """Hosts that a plan may use: up to `limit` of one kind, at one price per slot."""

    offer: Offer
    price: float
    limit: float


@attrs.define
class _PartialPlan:
    """The plan of one pool while it is being built."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    zone_slots: collections.Counter = attrs.field(factory=collections.Counter)
    slots: int = 0
    servers: int = 0
    price: float = 0.0

    def add(self, choice: _Choice) -> None:
        """Adds one host."""
        offer = choice.offer
        self.counts[offer.zone, offer.machine_class, offer.market] += 1
        self.zone_slots[offer.zone] += offer.slots
        self.slots += offer.slots
        self.servers += 1
        self.price += choice.price * offer.slots

    @property
    def slots_after_zone_loss(self) -> int:
        """The slots left after the zone with the most of them is lost."""
        return self.slots - max(self.zone_slots.values(), default=0)


@capacity_policies.register("on-demand-only")
class OnDemandOnly(CapacityPolicy):
    """Baseline: on-demand hosts only, enough even if the zone with the most slots is lost."""

    def plan(self, view):
        def choose(need):
            choices = _choices(view, need.pool, Market.ON_DEMAND)
            return _cheapest_covering_zone_loss(choices, need)

        return _plan_pools(view, choose)


@capacity_policies.register("cheapest-zone")
class CheapestZone(CapacityPolicy):
    """Baseline: reclaimable hosts of the cheapest zone; while it refuses, of the next cheapest."""

    def plan(self, view):
        def choose(need):
            partial = _PartialPlan()
            choices = _choices(view, need.pool, Market.RECLAIMABLE)
            by_zone = collections.defaultdict(list)
            for choice in choices:
                by_zone[choice.offer.zone].append(choice)
            for zone in sorted(by_zone, key=lambda zone: (by_zone[zone][0].price, zone)):
                _add_hosts(partial, by_zone[zone], lambda: _covers(partial, need))
            return partial

        return _plan_pools(view, choose)


@capacity_policies.register("cheapest-mix")
class CheapestMix(CapacityPolicy):
    """The cheapest mix of zones and classes that still covers the need if any one zone is lost.

    The spare capacity for a lost zone is bought from reclaimable hosts.  While these are refused,
    on-demand hosts cover the need itself, without spare capacity, up to the document's ceiling.
    """

    def plan(self, view):
        def choose(need):
            choices = _choices(view, need.pool, Market.RECLAIMABLE)
            partial = _cheapest_covering_zone_loss(choices, need)
            if not _covers(partial, need):
                self._add_on_demand(view, need, partial)
            return partial

        return _plan_pools(view, choose)

    def _add_on_demand(self, view, need, partial):
        ceiling = math.ceil(need.slots * view.cost.on_demand_ceiling)
        bought = _PartialPlan()

        def enough():
            return _covers(partial, need) or bought.slots >= ceiling

        for choice in _choices(view, need.pool, Market.ON_DEMAND):
            taken = 0
            while taken < choice.limit and not enough():
                partial.add(choice)
                bought.add(choice)
                taken += 1


# Parts of plans


def _plan_pools(view: CapacityView, choose) -> dict[Target, int]:
    plan = {}
    for need in view.needs:
        for (zone, machine_class, market), count in choose(need).counts.items():
            plan[Target(need.pool, zone, machine_class, market)] = count
    return plan


def _covers(partial: _PartialPlan, need: PoolNeed) -> bool:
    return partial.slots >= need.slots and partial.servers >= need.replicas


def _covers_after_zone_loss(partial: _PartialPlan, need: PoolNeed) -> bool:
    return partial.slots_after_zone_loss >= need.slots and partial.servers >= need.replicas


def _choices(view: CapacityView, pool: str, market: Market) -> list[_Choice]:
    """Returns the choices of hosts of a market, cheapest per slot first.

    Hosts already held count as a little cheaper than new ones.
    """
    if market not in view.cost.markets:
        return []
    held = collections.Counter(
        (host.zone, host.machine_class, host.market)
        for host in view.hosts
        if host.pool == pool and host.state != "leaving"
    )
    choices = []
    for offer in view.offers:
        if offer.market is not market or not _is_allowed(view, offer):
            continue
        price = _slot_price(view, offer)
        count = held[offer.zone, offer.machine_class, market]
        if count:
            choices.append(_Choice(offer, price * HELD_DISCOUNT, count))
        if offer.available:
            choices.append(_Choice(offer, price, math.inf))
    choices.sort(key=lambda choice: (choice.price, choice.offer.zone, choice.offer.machine_class))
    return choices


def _is_allowed(view, offer):
    machine_class = view.cost.machine_classes.get(offer.machine_class)
    if machine_class is None or offer.zone not in view.cost.zones:
        return False
    return offer.per_hour <= machine_class.max_price_per_hour


def _slot_price(view, offer):
    """Returns the price of a slot for an hour, with the cost of work recomputed after reclaims."""
    recompute = offer.reclaims_per_hour * RECOMPUTE_COST_PER_SLOT
    paid = offer.per_hour / offer.slots
    return view.cost.cost_weight * paid + view.cost.recompute_weight * recompute


def _add_hosts(
    partial: _PartialPlan, choices: list[_Choice], enough, zone_cap: float = math.inf
) -> None:
    """Adds hosts, cheapest first, until there are enough or each zone is at its cap."""
    for choice in choices:
        taken = 0
        while taken < choice.limit and not enough():
            if partial.zone_slots[choice.offer.zone] >= zone_cap:
                break
            partial.add(choice)
            taken += 1


def _cheapest_covering_zone_loss(choices: list[_Choice], need: PoolNeed) -> _PartialPlan:
    """Returns the cheapest plan that covers the need if the zone with the most slots is lost.

    If no zone has more than c slots, N slots are left after the loss of any zone once the total is
    N + c.  For j zones filled to the cap, j * c = N + c, hence c = N / (j - 1), where j - 1 is
    `surviving_zones`.  The cost is linear between these caps, so one of them is the cheapest.  If
    no plan covers the need, the one with the smallest shortfall is returned: first of slots, then
    of slots after the loss of a zone.
    """
    zones = {choice.offer.zone for choice in choices}
    best = None
    for surviving_zones in range(1, max(2, len(zones))):
        cap = max(need.slots / surviving_zones, 1.0)
        partial = _PartialPlan()
        _add_hosts(
            partial, choices, lambda partial=partial: _covers_after_zone_loss(partial, need), cap
        )
        if not _covers_after_zone_loss(partial, need):
            _add_hosts(
                partial,
                _remaining_choices(choices, partial),
                lambda partial=partial: _covers(partial, need),
            )
        rank = _rank(partial, need)
        if best is None or rank < best[0]:
            best = (rank, partial)
    return best[1] if best else _PartialPlan()


def _remaining_choices(choices, partial):
    """Returns the choices that a plan has not used up."""
    taken = collections.Counter(partial.counts)
    remaining = []
    for choice in choices:
        offer = choice.offer
        key = (offer.zone, offer.machine_class, offer.market)
        used = min(taken[key], choice.limit)
        taken[key] -= used
        remaining.append(attrs.evolve(choice, limit=choice.limit - used))
    return remaining


def _rank(partial, need):
    shortfall_after_loss = max(0, need.slots - partial.slots_after_zone_loss)
    return (max(0, need.slots - partial.slots), shortfall_after_loss, partial.price)
