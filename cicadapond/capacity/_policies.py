"""The capacity policies: two baselines, and the cheapest mix that stands the loss of a zone."""

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

HELD_DISCOUNT = 0.85
RECOMPUTE_COST_PER_SLOT = 0.05  # of a price unit, for the work on one slot that a reclaim ends


@attrs.frozen
class _Choice:
    """Hosts that a plan may take: `limit` of one kind at one price per slot."""

    offer: Offer
    price: float
    limit: float


@attrs.define
class _Fill:
    """A plan of one pool on its way."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    zone_slots: collections.Counter = attrs.field(factory=collections.Counter)
    slots: int = 0
    servers: int = 0
    price: float = 0.0

    def add(self, choice: _Choice) -> None:
        """Takes one more host."""
        offer = choice.offer
        self.counts[offer.zone, offer.machine_class, offer.market] += 1
        self.zone_slots[offer.zone] += offer.slots
        self.slots += offer.slots
        self.servers += 1
        self.price += choice.price * offer.slots

    @property
    def without_largest(self) -> int:
        """The slots left when the zone with the most of them is lost."""
        return self.slots - max(self.zone_slots.values(), default=0)


@capacity_policies.register("on-demand-only")
class OnDemandOnly(CapacityPolicy):
    """Baseline: on-demand hosts alone, enough with the largest zone lost."""

    def plan(self, view):
        def choose(need):
            choices = _choices(view, need.pool, Market.ON_DEMAND)
            return _cheapest_surviving(choices, need)

        return _plan_pools(view, choose)


@capacity_policies.register("cheapest-zone")
class CheapestZone(CapacityPolicy):
    """Baseline: reclaimable hosts of the zone that is cheapest now; others when it refuses."""

    def plan(self, view):
        def choose(need):
            fill = _Fill()
            choices = _choices(view, need.pool, Market.RECLAIMABLE)
            by_zone = collections.defaultdict(list)
            for choice in choices:
                by_zone[choice.offer.zone].append(choice)
            for zone in sorted(by_zone, key=lambda zone: (by_zone[zone][0].price, zone)):
                _fill_up(fill, by_zone[zone], lambda: _covers(fill, need))
            return fill

        return _plan_pools(view, choose)


@capacity_policies.register("cheapest-mix")
class CheapestMix(CapacityPolicy):
    """The cheapest mix of zones and classes that holds the need with the largest zone lost.

    The spare for a lost zone is bought from reclaimable hosts.  On-demand hosts only fill what
    the need itself lacks while reclaimable ones are refused, up to the document's ceiling.
    Hosts already held count as a little cheaper than new ones, so that plans do not chase every
    move of the prices.
    """

    def plan(self, view):
        def choose(need):
            choices = _choices(view, need.pool, Market.RECLAIMABLE)
            fill = _cheapest_surviving(choices, need)
            if not _covers(fill, need):
                self._add_on_demand(view, need, fill)
            return fill

        return _plan_pools(view, choose)

    def _add_on_demand(self, view, need, fill):
        ceiling = math.ceil(need.slots * view.cost.on_demand_ceiling)
        bought = _Fill()

        def enough():
            return _covers(fill, need) or bought.slots >= ceiling

        for choice in _choices(view, need.pool, Market.ON_DEMAND):
            taken = 0
            while taken < choice.limit and not enough():
                fill.add(choice)
                bought.add(choice)
                taken += 1


# Parts of plans


def _plan_pools(view: CapacityView, choose) -> dict[Target, int]:
    plan = {}
    for need in view.needs:
        for (zone, machine_class, market), count in choose(need).counts.items():
            plan[Target(need.pool, zone, machine_class, market)] = count
    return plan


def _covers(fill: _Fill, need: PoolNeed) -> bool:
    return fill.slots >= need.slots and fill.servers >= need.replicas


def _survives(fill: _Fill, need: PoolNeed) -> bool:
    return fill.without_largest >= need.slots and fill.servers >= need.replicas


def _choices(view: CapacityView, pool: str, market: Market) -> list[_Choice]:
    """Returns what may be held of a market, cheapest per slot first."""
    if market not in view.cost.markets:
        return []
    held = collections.Counter(
        (host.zone, host.machine_class, host.market)
        for host in view.hosts
        if host.pool == pool and host.state != "leaving"
    )
    choices = []
    for offer in view.offers:
        if offer.market is not market or not _allowed(view, offer):
            continue
        price = _slot_price(view, offer)
        count = held[offer.zone, offer.machine_class, market]
        if count:
            choices.append(_Choice(offer, price * HELD_DISCOUNT, count))
        if offer.available:
            choices.append(_Choice(offer, price, math.inf))
    choices.sort(key=lambda found: (found.price, found.offer.zone, found.offer.machine_class))
    return choices


def _allowed(view, offer):
    machine_class = view.cost.machine_classes.get(offer.machine_class)
    if machine_class is None or offer.zone not in view.cost.zones:
        return False
    return offer.per_hour <= machine_class.max_price_per_hour


def _slot_price(view, offer):
    """Returns the price of a slot and hour, with what its reclaims make others recompute."""
    recompute = offer.reclaims_per_hour * RECOMPUTE_COST_PER_SLOT
    paid = offer.per_hour / offer.slots
    return view.cost.cost_weight * paid + view.cost.recompute_weight * recompute


def _fill_up(fill: _Fill, choices: list[_Choice], enough, zone_cap: float = math.inf) -> None:
    """Takes hosts, cheapest first, until there are enough or each zone is at its cap."""
    for choice in choices:
        taken = 0
        while taken < choice.limit and not enough():
            if fill.zone_slots[choice.offer.zone] >= zone_cap:
                break
            fill.add(choice)
            taken += 1


def _cheapest_surviving(choices: list[_Choice], need: PoolNeed) -> _Fill:
    """Returns the cheapest plan that holds the need with the largest zone lost.

    With the cap c on each zone, N slots survive once the total is N + c; over j equally filled
    zones that is c = N / (j - 1).  The cost is linear between these caps, so one of them is the
    cheapest.  If none is enough, the plan that keeps most slots after a loss is returned.
    """
    zones = {choice.offer.zone for choice in choices}
    best = None
    for spread in range(1, max(2, len(zones))):
        cap = max(need.slots / spread, 1.0)
        fill = _Fill()
        _fill_up(fill, choices, lambda fill=fill: _survives(fill, need), cap)
        if not _survives(fill, need):
            _fill_up(fill, _rest(choices, fill), lambda fill=fill: _covers(fill, need))
        rank = _rank(fill, need)
        if best is None or rank < best[0]:
            best = (rank, fill)
    return best[1] if best else _Fill()


def _rest(choices, fill):
    """Returns what is left of the choices after a plan took its part."""
    taken = collections.Counter(fill.counts)
    rest = []
    for choice in choices:
        offer = choice.offer
        key = (offer.zone, offer.machine_class, offer.market)
        used = min(taken[key], choice.limit)
        taken[key] -= used
        rest.append(attrs.evolve(choice, limit=choice.limit - used))
    return rest


def _rank(fill, need):
    lost_short = max(0, need.slots - fill.without_largest)
    return (max(0, need.slots - fill.slots), lost_short, fill.price)
