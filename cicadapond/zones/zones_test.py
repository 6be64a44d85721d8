"""Requests that leave their data centre: how many, what they cost, and that flows are steady."""

import statistics

import pytest

from cicadapond.experiments.zones import DAYS, ZONES, play
from cicadapond.kernel import ManualClock, seconds
from cicadapond.zones import ZoneCosts, ZoneLoad, plan_shares

HOT = {"a": ZoneLoad(9.0, 10.0), "b": ZoneLoad(2.0, 10.0), "c": ZoneLoad(3.0, 10.0)}
AGES = {"b": seconds(0.3), "c": seconds(0.3)}


def costs_with(loads, clock, ages=None, updates=20):
    costs = ZoneCosts(clock, "a")
    for _ in range(updates):
        costs.update("pool", loads, ages or AGES, seconds(0.5))
        clock.advance(seconds(0.5))
    return costs


def placed(costs, requests=400):
    """Returns how many requests leave if they do as soon as their planned share allows it."""
    left = 0
    for _ in range(requests):
        zone = min("bc", key=lambda zone: costs.cost_ms("pool", zone, 1000))
        leaves = costs.cost_ms("pool", zone, 1000) < 50.0
        costs.record_placed("pool", zone if leaves else "a")
        left += leaves
    return left / requests


def test_no_requests_leave_while_each_data_centre_carries_its_own():
    """Else prompts are prefilled, and bytes sent, in other data centres for no one's benefit."""
    even = {zone: ZoneLoad(5.0, 10.0) for zone in ZONES}
    assert plan_shares(even) == {}
    assert placed(costs_with(even, ManualClock())) == 0.0


def test_what_is_too_much_goes_where_there_is_room():
    shares = plan_shares(HOT)
    assert set(shares) == {("a", "b"), ("a", "c")}
    assert shares["a", "b"] > shares["a", "c"]
    after = HOT["a"].demand * (1 - sum(shares.values()))
    assert 4.5 < after < 6.5
    assert placed(costs_with(HOT, ManualClock())) == pytest.approx(sum(shares.values()), abs=0.02)


def test_all_are_overloaded_alike():
    loads = {"a": ZoneLoad(18.0, 10.0), "b": ZoneLoad(6.0, 10.0), "c": ZoneLoad(12.0, 10.0)}
    shares = plan_shares(loads)
    assert loads["a"].demand * (1 - shares["a", "b"]) == pytest.approx(13.0, abs=1.01)
    assert ("a", "c") not in shares


def test_a_data_centre_takes_no_more_than_half_its_capacity():
    shares = plan_shares({"a": ZoneLoad(30.0, 0.0), "b": ZoneLoad(0.0, 10.0)})
    assert 30.0 * shares["a", "b"] <= 5.0


def test_sending_ends_at_a_lower_load_than_it_begins():
    """A load about one threshold would turn the flow on and off."""
    loads = HOT | {"a": ZoneLoad(5.5, 10.0)}
    assert plan_shares(loads) == {}
    assert plan_shares(loads, sending={"a"})
    assert plan_shares(HOT | {"a": ZoneLoad(4.9, 10.0)}, sending={"a"}) == {}


def test_traffic_returns_home_when_the_data_centre_has_recovered():
    clock = ManualClock()
    costs = costs_with(HOT | {"a": ZoneLoad(4.0, 0.0)}, clock)
    assert sum(costs.shares("pool").values()) > 0.9
    shares = []
    for _ in range(24):
        costs.update("pool", HOT | {"a": ZoneLoad(4.0, 10.0)}, AGES, seconds(0.5))
        shares.append(sum(costs.shares("pool").values()))
        clock.advance(seconds(0.5))
    assert shares == sorted(shares, reverse=True)
    assert shares[4] > 0.2  # not all at once
    assert shares[-1] == 0.0


def test_a_silent_data_centre_gets_nothing():
    clock = ManualClock()
    costs = costs_with(HOT, clock)
    costs.update("pool", HOT, {"b": seconds(0.3), "c": seconds(2.5)}, seconds(0.5))
    assert costs.shares("pool")["c"] == 0.0
    assert costs.shares("pool")["b"] > 0.0


def test_a_request_that_is_not_planned_leaves_only_for_a_good_part_of_the_objective():
    costs = costs_with({zone: ZoneLoad(1.0, 10.0) for zone in ZONES}, ManualClock())
    assert costs.cost_ms("pool", "b", 0) > 400.0
    for _ in range(12):
        costs.record_placed("pool", "a")
    assert 100.0 < costs.cost_ms("pool", "b", 0) < 200.0
    assert costs.record_placed("pool", "b") == "urgent"
    assert costs.cost_ms("pool", "b", 0) > 400.0
    assert costs.cost_ms("pool", "a", 0) == 0.0


def test_distance_is_what_a_connect_takes_longer_and_bytes_count():
    costs = costs_with(HOT, ManualClock())
    for took in (2.9, 60.0, 3.1):
        costs.record_connect("b", seconds(took / 1000))
    costs.record_connect("a", seconds(0.0004))
    assert costs.distance_ms("b") == pytest.approx(2.5)
    assert costs.cost_ms("pool", "b", 20_000) - costs.cost_ms("pool", "b", 0) == pytest.approx(10)


# Half of what left when a constant cost was added and all engines were compared.
MAX_LEFT = {
    "even": 0.25,
    "uneven": 0.24,
    "moving": 0.25,
    "a without engines": 0.30,
    "a cut off": 0.16,
}


@pytest.mark.parametrize("day", DAYS)
def test_service_is_flat_and_flows_are_steady(day):
    """With a constant cost, requests leave both ways although their engines suffice.

    Placing compares engines of the own data centre first in either case, so that a quarter of the
    requests leaves with a constant cost, in place of half when all engines were compared.
    """
    constant, planned = ([play(DAYS[day], plans, seed) for seed in (1, 2)] for plans in (0, 1))

    def mean(results, value):
        return statistics.mean(value(each) for each in results)

    assert mean(planned, lambda each: each.served) > 0.98
    assert mean(planned, lambda each: each.served) >= mean(constant, lambda each: each.served)
    assert mean(planned, lambda each: each.worst) >= mean(constant, lambda each: each.worst)
    assert mean(planned, lambda each: each.left) < mean(constant, lambda each: each.left)
    assert mean(planned, lambda each: each.left) < MAX_LEFT[day]
    assert mean(planned, lambda each: each.both_ways) < 0.03
    turns = [mean(results, lambda each: each.reversals()) for results in (planned, constant)]
    assert turns[0] <= turns[1]
