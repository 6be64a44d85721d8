"""Capacity plans, with inputs written as short texts: `zone class market` and a price or a state.

A machine class sN has N slots; a `!` after the price marks an offer that refuses starts.
"""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from cicadapond.capacity import (
    CapacityView,
    HeldHost,
    NeedTracker,
    Offer,
    PoolLoad,
    PoolNeed,
    ReclaimRates,
    Refusals,
    Target,
    capacity_policies,
    host_changes,
)
from cicadapond.data import Market
from cicadapond.document import CostIntent, MachineClass
from cicadapond.kernel import seconds

MARKETS = {"spot": Market.RECLAIMABLE, "firm": Market.ON_DEMAND}
NAMES = {market: name for name, market in MARKETS.items()}
THREE_ZONES = "a s4 spot 1.0; b s4 spot 1.1; c s4 spot 1.3; a s4 firm 3; b s4 firm 3; c s4 firm 3"


def parse_offer(line):
    zone, machine_class, market, price = line.split()
    return Offer(
        zone,
        machine_class,
        MARKETS[market],
        float(price.strip("!")),
        int(machine_class[1:]),
        "!" not in price,
    )


def parse_hosts(text):
    hosts = []
    for number, line in enumerate(filter(None, map(str.strip, text.split(";")))):
        zone, machine_class, market, state = line.split()
        slots = int(machine_class[1:])
        market = MARKETS[market]
        hosts.append(HeldHost(f"h{number}", "p", zone, machine_class, market, state, slots))
    return tuple(hosts)


def view_of(offers, slots, hosts="", replicas=0, **cost):
    offers = tuple(map(parse_offer, offers.split(";")))
    zones = tuple(sorted({offer.zone for offer in offers}))
    classes = {offer.machine_class: MachineClass(slots=offer.slots) for offer in offers}
    intent = CostIntent(zones=zones, machine_classes=classes, **cost)
    return CapacityView((PoolNeed("p", slots, replicas),), parse_hosts(hosts), offers, intent)


def plan_of(policy, *args, **kwargs):
    plan = capacity_policies.create(policy).plan(view_of(*args, **kwargs))
    return ", ".join(
        f"{count} {target.zone} {target.machine_class} {NAMES[target.market]}"
        for target, count in sorted(plan.items(), key=lambda found: str(found[0]))
    )


@pytest.mark.parametrize(
    ("policy", "offers", "slots", "plan"),
    [
        # Three zones at similar prices: half of the need in each.
        ("cheapest-mix", THREE_ZONES, 24, "3 a s4 spot, 3 b s4 spot, 3 c s4 spot"),
        # The third zone is so expensive that covering the need twice in the others is cheaper.
        ("cheapest-mix", "a s4 spot 1; b s4 spot 1; c s4 spot 9", 24, "6 a s4 spot, 6 b s4 spot"),
        # The cheapest class per slot of each zone.
        (
            "cheapest-mix",
            "a s4 spot 1; a s8 spot 1.8; b s4 spot 1; b s8 spot 2.2",
            16,
            "2 a s8 spot, 4 b s4 spot",
        ),
        # A refusing zone leaves two, each with the whole need.
        (
            "cheapest-mix",
            "a s4 spot 1!; b s4 spot 1; c s4 spot 1; a s4 firm 3",
            16,
            "4 b s4 spot, 4 c s4 spot",
        ),
        # All reclaimable offers refuse: on-demand hosts for the need, up to the ceiling, no spare.
        (
            "cheapest-mix",
            "a s4 spot 1!; b s4 spot 1!; b s4 firm 3; a s4 firm 2.5",
            16,
            "2 a s4 firm",
        ),
        ("cheapest-mix", "a s4 spot 1", 16, "4 a s4 spot"),
        ("on-demand-only", THREE_ZONES, 24, "3 a s4 firm, 3 b s4 firm, 3 c s4 firm"),
        ("cheapest-zone", THREE_ZONES, 24, "6 a s4 spot"),
        ("cheapest-zone", "a s4 spot 1!; b s4 spot 2", 8, "2 b s4 spot"),
    ],
)
def test_plans(policy, offers, slots, plan):
    assert plan_of(policy, offers, slots) == plan


def test_held_hosts_are_kept_at_a_small_price_difference_and_replaced_at_a_large_one():
    held = "a s4 spot live; b s4 spot live; c s4 spot live"
    near = "a s4 spot 1.1; b s4 spot 1.1; c s4 spot 1.1; d s4 spot 1.0"
    assert plan_of("cheapest-mix", near, 8, held) == "1 a s4 spot, 1 b s4 spot, 1 c s4 spot"
    far = "a s4 spot 1.1; b s4 spot 1.1; c s4 spot 1.1; d s4 spot 0.5"
    assert plan_of("cheapest-mix", far, 8, held) == "1 a s4 spot, 1 b s4 spot, 1 d s4 spot"


def test_a_refusing_zone_keeps_what_is_held_there():
    offers = "a s4 spot 1!; b s4 spot 1; c s4 spot 1"
    held = "a s4 spot live"
    assert plan_of("cheapest-mix", offers, 8, held) == "1 a s4 spot, 1 b s4 spot, 1 c s4 spot"


def test_replicas_are_a_minimum_and_prices_have_a_maximum():
    assert (
        plan_of("cheapest-mix", "a s4 spot 1; b s4 spot 2", 0, replicas=2)
        == "1 a s4 spot, 1 b s4 spot"
    )
    view = view_of("a s4 spot 9; b s4 spot 2", 4)
    view.cost.machine_classes["s4"] = MachineClass(slots=4, max_price_per_hour=5)
    assert {found.zone for found in capacity_policies.create("cheapest-mix").plan(view)} == {"b"}


def test_the_weights_of_the_document_trade_cost_against_recomputed_tokens():
    def zones(recompute_weight):
        view = view_of("a s4 spot 1; b s4 spot 1.2; c s4 spot 1.2", 8)
        risky = Offer("a", "s4", Market.RECLAIMABLE, 1.0, 4, True, reclaims_per_hour=3.0)
        cost = CostIntent(
            zones=("a", "b", "c"),
            machine_classes={"s4": MachineClass(slots=4)},
            recompute_weight=recompute_weight,
        )
        view = CapacityView(view.needs, (), (risky, *view.offers[1:]), cost)
        plan = capacity_policies.create("cheapest-mix").plan(view)
        return sorted(target.zone for target in plan)

    assert "a" in zones(0.0)
    assert zones(10.0) == ["b", "c"]


@hypothesis.given(
    prices=st.lists(st.tuples(st.floats(0.1, 9), st.booleans()), min_size=2, max_size=6),
    slots=st.integers(1, 60),
)
def test_a_plan_survives_the_loss_of_any_zone_if_two_zones_have_offers(prices, slots):
    offers = "; ".join(
        f"z{number} s4 spot {price}{'!' if refused else ''}"
        for number, (price, refused) in enumerate(prices)
    )
    plan = capacity_policies.create("cheapest-mix").plan(view_of(offers, slots))
    by_zone = {target.zone: 4 * count for target, count in plan.items()}
    zones_with_offers = sum(not refused for _, refused in prices)
    if zones_with_offers >= 2:
        assert sum(by_zone.values()) - max(by_zone.values()) >= slots
        assert sum(by_zone.values()) <= 2 * slots + 8
    elif zones_with_offers == 1:
        assert sum(by_zone.values()) >= slots


# Differences


def test_a_live_host_is_released_only_once_the_plan_is_live():
    plan = {Target("p", "b", "s4", Market.RECLAIMABLE): 1}
    for state, released in (("starting", []), ("live", ["h0"])):
        found = host_changes(plan, parse_hosts(f"a s4 spot live; b s4 spot {state}"), "a")
        assert [host.host_id for host in found.releases] == released
        assert found.buys == ()


def test_each_zone_carries_out_its_own_part_and_leaving_hosts_are_replaced():
    target = Target("p", "a", "s4", Market.RECLAIMABLE)
    plan = {target: 2, Target("p", "b", "s4", Market.RECLAIMABLE): 5}
    found = host_changes(plan, parse_hosts("a s4 spot leaving; a s4 spot starting"), "a")
    assert found.buys == (target,)


# State between plans


def test_each_offer_backs_off_separately_until_a_start_is_accepted():
    refusals = Refusals(random.Random(1))
    key, other = ("a", "s4", Market.RECLAIMABLE), ("b", "s4", Market.RECLAIMABLE)
    waits = []
    now = seconds(0)
    for _ in range(6):
        refusals.record_refusal(key, now)
        start = now
        while not refusals.available(key, now):
            now += seconds(0.5)
        waits.append((now - start).total_seconds())
    assert refusals.available(other, seconds(0))
    assert 5 <= waits[0] <= 10.5 and 30 <= waits[-1] <= 60.5
    refusals.record_refusal(key, now)
    refusals.record_start(key)
    assert refusals.available(key, now)


def test_reclaim_rates_are_per_host_and_hour_and_decay():
    rates = ReclaimRates()
    key = ("a", "s4", Market.RECLAIMABLE)
    rates.observe({key: 9}, seconds(0))
    rates.observe({key: 9}, seconds(3600))
    rates.record_reclaim(key)
    early = rates.per_hour(key)
    rates.observe({key: 9}, seconds(9 * 3600))
    assert 0.1 <= early <= 0.2
    assert rates.per_hour(key) < early / 5


def need(tracker, running, waiting, at):
    return tracker.need("p", PoolLoad(running, waiting), seconds(at))


def test_the_need_rises_at_once_and_falls_after_the_hold_time():
    tracker = NeedTracker(hold=seconds(100))
    loads = ((75, 0, 0), (15, 0, 50), (150, 0, 60), (15, 0, 120), (15, 0, 161))
    assert [need(tracker, *load) for load in loads] == [100, 100, 200, 200, 20]


def test_a_backlog_counts_up_to_the_running_requests_and_not_while_it_is_worked_off():
    tracker = NeedTracker(hold=seconds(1))
    assert need(tracker, 30, 900, 0) == 80
    assert need(tracker, 30, 900, 10) == 80
    assert need(tracker, 60, 899, 12) == 160  # falls, but not within a minute
    assert need(tracker, 60, 500, 14) == 80
