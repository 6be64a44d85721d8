"""Capacity plans: the mix of servers by demand, and the replacement of reclaimed ones."""

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.scaling import CapacityPlanner, Demand, DemandMeter, PromptTimes, Waiting
from cicadapond.serving import Scaling, ServerEntry, Service

ZONES = ("a", "b", "c")
SCALING = Scaling(1, 4, seconds(4), 0.18, {"a": 0.85, "b": 1.2, "c": 1.0})
POOL = Service("pool", 100, scaling=SCALING)
WAITING = Waiting(seconds(0.4), 32, PromptTimes(0.04, 1.0))


def servers(reclaimable=(), on_demand=()):
    entries = []
    for kind, zones in ((True, reclaimable), (False, on_demand)):
        for zone in zones:
            name = f"{zone}-{len(entries)}"
            entries.append(
                ServerEntry(name, "pool", Endpoint("::1", 1), zone, 8, is_reclaimable=kind)
            )
    return entries


def plan(planner, current, demand):
    demand = demand if isinstance(demand, Demand) else Demand(prefill=demand, batches=0.0)
    orders = planner.plan(POOL, ZONES, current, demand, WAITING)
    reclaimable = {order.zone: order.count for order in orders if order.reclaimable}
    return reclaimable, {order.zone: order.count for order in orders if not order.reclaimable}


def planner_with_known_demand(clock):
    """Returns a planner that has observed a small demand for 30 s."""
    planner = CapacityPlanner(clock)
    observe_for(planner, clock, 30, [], 0.01)
    return planner


def observe_for(planner, clock, duration_s, current, demand):
    for _ in range(duration_s):
        planner.observe(POOL, current, Demand(demand, 0.0))
        clock.advance(seconds(1))


def test_reclaimable_servers_carry_the_demand_and_one_on_demand_server_stays():
    planner = planner_with_known_demand(ManualClock())
    reclaimable, on_demand = plan(planner, servers("aabbcc", "a"), 1.2)
    assert reclaimable == {"a": 2, "b": 2, "c": 2}
    assert on_demand == {"a": 1, "b": 0, "c": 0}


def test_more_demand_takes_more_reclaimable_servers_within_the_bounds():
    planner = planner_with_known_demand(ManualClock())
    reclaimable, on_demand = plan(planner, servers("aabbcc", "a"), 3.4)
    assert reclaimable == {"a": 3, "b": 3, "c": 3}
    assert on_demand == {"a": 1, "b": 0, "c": 0}
    assert all(reclaimable[zone] + on_demand[zone] <= SCALING.maximum for zone in ZONES)


def test_the_scarcer_resource_decides():
    planner = planner_with_known_demand(ManualClock())
    reclaimable, _ = plan(planner, servers("aabbcc", "a"), Demand(prefill=0.3, batches=4.0))
    assert reclaimable == {"a": 3, "b": 2, "c": 3}
    reclaimable, _ = plan(planner, servers("aaabbbccc", "a"), Demand(prefill=3.4, batches=0.1))
    assert reclaimable == {"a": 3, "b": 3, "c": 3}


def test_on_demand_servers_are_added_before_the_last_reclaim():
    planner = planner_with_known_demand(ManualClock())
    _, on_demand = plan(planner, servers("aa", "a"), 1.2)
    assert on_demand == {"a": 2, "b": 0, "c": 0}  # both servers in zone a can be reclaimed at once


def test_on_demand_servers_take_the_room_of_missing_reclaimable_ones():
    planner = planner_with_known_demand(ManualClock())
    reclaimable, on_demand = plan(planner, servers(on_demand="a"), 4.0)
    assert on_demand == {"a": 4, "c": 1, "b": 0}
    assert reclaimable == {"a": 0, "b": 3, "c": 3}
    assert all(reclaimable[zone] + on_demand[zone] <= SCALING.maximum for zone in ZONES)


def test_on_demand_servers_come_in_the_cheapest_data_centres_first():
    planner = planner_with_known_demand(ManualClock())
    _, on_demand = plan(planner, servers("aab", "a"), 4.0)
    assert on_demand == {"a": 2, "c": 2, "b": 0}


def test_the_highest_recent_demand_counts():
    clock = ManualClock()
    planner = planner_with_known_demand(clock)
    plan(planner, servers(on_demand="a"), 3.2)
    clock.advance(seconds(3))
    assert plan(planner, servers(on_demand="a"), 0.1)[1] == {"a": 4, "b": 0, "c": 1}
    clock.advance(seconds(2))  # longer ago than a server takes to start
    assert plan(planner, servers(on_demand="a"), 0.1)[1] == {"a": 2, "b": 0, "c": 0}


def test_on_demand_servers_wait_for_reclaimable_ones_that_start():
    """Else each reclaim orders on-demand servers although reclaimable ones are to be had."""
    planner, arriving = planner_with_known_demand(ManualClock()), {"b": 2, "c": 2}

    def on_demand(current):
        orders = planner.plan(POOL, ZONES, current, Demand(2.4, 0.0), WAITING, arriving)
        return sum(order.count for order in orders if not order.reclaimable)

    assert on_demand(servers("aa", "a")) == 1
    # Those that run already stay until the reclaimable ones have started.
    assert on_demand(servers("aa", "aac")) == 3


def test_a_process_that_observed_the_demand_orders_at_once_when_it_takes_the_lease():
    """A holder that took over in a reclaim ordered on-demand servers 6 s late."""
    clock = ManualClock()
    planner = CapacityPlanner(clock)
    observe_for(planner, clock, 8, servers("aabbcc", "a"), 3.0)
    assert sum(plan(planner, servers("aa", "a"), 3.0)[1].values()) == 4


def test_a_process_that_was_suspended_does_not_rely_on_what_it_observed_before():
    """Its old number of servers would take away servers that were ordered meanwhile."""
    clock = ManualClock()
    planner = CapacityPlanner(clock)
    planner.observe(POOL, servers("abc"), Demand(0.1, 0.0))
    clock.advance(seconds(60))
    reclaimable, on_demand = plan(planner, servers("aaabbbccc"), 0.1)
    assert reclaimable == {"a": 3, "b": 3, "c": 3}
    assert on_demand == {}


def test_reclaimable_servers_stay_through_a_short_lull():
    clock = ManualClock()
    planner = planner_with_known_demand(clock)
    plan(planner, servers("aabbcc", "a"), 3.4)
    observe_for(planner, clock, 20, servers("aabbcc", "a"), 0.1)
    assert plan(planner, servers("aabbcc", "a"), 0.1)[0] == {"a": 3, "b": 3, "c": 3}
    observe_for(planner, clock, 6, servers("aabbcc", "a"), 0.1)
    assert plan(planner, servers("aabbcc", "a"), 0.1)[0] == {"a": 2, "b": 2, "c": 2}


def test_while_the_demand_is_unknown_reclaimable_servers_replace_existing_ones():
    clock = ManualClock()
    planner = CapacityPlanner(clock)
    reclaimable, on_demand = plan(planner, servers(on_demand="aabb"), 0.0)
    assert reclaimable == {"a": 2, "b": 2, "c": 2}
    assert on_demand == {}  # an order could stop servers that are not known yet
    clock.advance(seconds(2))
    assert plan(planner, servers(on_demand="aabbcc"), 0.0)[1] == {}
    clock.advance(seconds(1))
    reclaimable, on_demand = plan(planner, servers(on_demand="aabbcc"), 0.0)
    assert reclaimable == {"a": 2, "b": 2, "c": 2}
    assert on_demand == {"a": 2, "b": 2, "c": 2}  # until the reclaimable ones have started
    clock.advance(seconds(2))
    reclaimable, on_demand = plan(planner, servers("aabbc", "aabbcc"), 0.0)
    assert reclaimable == {"a": 2, "b": 2, "c": 2}
    assert on_demand == {"a": 1, "b": 0, "c": 0}


def test_a_new_lease_holder_removes_nothing_before_it_knows_the_demand():
    clock = ManualClock()
    planner = CapacityPlanner(clock)
    on_demand_servers = servers(on_demand="aaac")
    assert plan(planner, on_demand_servers, 0.0)[1] == {}
    clock.advance(seconds(1))
    assert plan(planner, on_demand_servers, 0.5)[1] == {}
    clock.advance(seconds(2))
    assert sum(plan(planner, on_demand_servers, 0.5)[1].values()) == 4
    clock.advance(seconds(3))
    assert sum(plan(planner, on_demand_servers, 0.5)[1].values()) == 4
    clock.advance(seconds(2))
    assert plan(planner, on_demand_servers, 0.5)[1] == {"a": 2, "b": 0, "c": 0}  # one to spare


def test_on_demand_servers_are_added_before_the_demand_has_settled():
    """A burst 3 s after the start was followed by orders only after 6 s of demand."""
    clock = ManualClock()
    planner = CapacityPlanner(clock)
    observe_for(planner, clock, 3, servers("aabbcc", "c"), 0.5)
    clock.advance(seconds(0.5))
    reclaimable, on_demand = plan(planner, servers("aabbcc", "c"), 6.5)
    assert reclaimable == {"a": 2, "b": 3, "c": 2}
    assert on_demand == {"a": 2, "b": 0, "c": 2}


def test_an_on_demand_server_is_not_exchanged_for_a_cheaper_one():
    """The one that ran stopped at once, and the other one took the boot time to start."""
    planner = planner_with_known_demand(ManualClock())
    assert plan(planner, servers("aabbcc", "b"), 0.5)[1] == {"a": 0, "b": 1, "c": 0}
    # One that starts is not listed yet.
    assert plan(planner, servers("aabbcc"), 0.5)[1] == {"a": 0, "b": 1, "c": 0}


def test_reclaims_one_after_the_other_are_expected_to_go_on():
    """Three data centres withdrew their servers within 6 s; one engine was left for a demand of 1.

    On-demand servers that are ordered only after the second reclaim start after the third one.
    """
    clock = ManualClock()
    planner = planner_with_known_demand(clock)
    assert plan(planner, servers("aabbcc", "a"), 1.0)[1] == {"a": 1, "b": 0, "c": 0}
    clock.advance(seconds(0.5))
    assert sum(plan(planner, servers("aacc", "a"), 1.0)[1].values()) == 1
    clock.advance(seconds(0.5))
    assert sum(plan(planner, servers("aacc", "a"), 1.0)[1].values()) == 2
    observe_for(planner, clock, 5, servers("aacc", "aa"), 1.0)
    # Nothing further happened, and one more reclaim leaves two servers.
    assert sum(plan(planner, servers("aacc", "aa"), 1.0)[1].values()) == 1


def test_a_lost_server_does_not_leave_fewer_than_the_demand_keeps_busy():
    """Of two on-demand servers one was told to stop, and the other one was overloaded for 4 s."""
    planner = planner_with_known_demand(ManualClock())
    assert sum(plan(planner, servers(on_demand="aa"), 1.2)[1].values()) == 3


def test_on_demand_servers_leave_the_room_of_reclaimable_ones_that_are_starting():
    """They took it, so that orders for cheap servers were lowered while these were starting."""
    planner = planner_with_known_demand(ManualClock())
    current, arriving = servers("abc", "a"), {"a": 2, "b": 2, "c": 2}
    orders = planner.plan(POOL, ZONES, current, Demand(8.0, 0.0), WAITING, arriving)
    reclaimable = {order.zone: order.count for order in orders if order.reclaimable}
    assert all(count >= 3 for count in reclaimable.values()), reclaimable


def test_no_servers_are_ordered_for_a_service_without_bounds():
    planner = CapacityPlanner(ManualClock())
    assert planner.plan(Service("plain", 10), ZONES, [], Demand(5.0, 0.0), WAITING) == []


def test_a_steady_demand_is_measured_as_busy_engines():
    clock = ManualClock()
    meter = DemandMeter(clock)
    for _ in range(400):
        meter.add_prefill("pool", seconds(0.06))
        clock.advance(seconds(0.05))
    assert 1.1 < meter.prefilling_engines()["pool"] < 1.3
    clock.advance(seconds(2))
    assert 0.5 < meter.prefilling_engines()["pool"] < 0.65


def test_prompts_that_are_longer_for_a_second_do_not_raise_the_demand():
    """Cold caches after a reclaim more than doubled the demand, and 22 engines came for 5."""
    clock = ManualClock()
    meter = DemandMeter(clock)
    for step in range(400):
        cold = 2.5 if step >= 380 else 1.0
        meter.add_prefill("pool", seconds(0.06 * cold), 5000)
        clock.advance(seconds(0.05))
    assert 1.1 < meter.prefilling_engines()["pool"] < 1.5
    for _ in range(400):
        meter.add_prefill("pool", seconds(0.15), 5000)
        clock.advance(seconds(0.05))
    assert 2.6 < meter.prefilling_engines()["pool"] < 3.3


def test_requests_in_progress_are_averaged_over_time():
    clock = ManualClock()
    meter = DemandMeter(clock)
    for _ in range(50):
        for _ in range(6):
            meter.begin("pool")
        clock.advance(seconds(0.2))
        for _ in range(6):
            meter.end("pool")
        clock.advance(seconds(0.2))
    assert 2.6 < meter.requests_in_progress()["pool"] < 3.4


def test_requests_that_wait_in_an_overload_raise_the_demand():
    """Callers that find no slot for seconds must not look like a shrinking load."""
    clock = ManualClock()
    meter = DemandMeter(clock)
    for _ in range(20):
        meter.begin("pool")
        clock.advance(seconds(0.25))
    before = meter.requests_in_progress()["pool"]
    clock.advance(seconds(3))
    assert meter.requests_in_progress()["pool"] > before


def test_a_backlog_does_not_look_like_ever_more_demand():
    """During 4 s of overload the slots in demand grew from 9.8 to 17.9 engines, and all came."""
    clock = ManualClock()
    meter = DemandMeter(clock)
    waiting, ends = 0, []
    for step in range(600):
        # 10 answers of 1 s begin per second; after 20 s only 5 of them find a slot.
        meter.add_prefill("pool", seconds(0.02), 1000)
        meter.begin("pool")
        waiting += 1
        if step < 200 or step % 2:
            waiting -= 1
            meter.begin_answer("pool")
            ends.append(step + 10)
        while ends and ends[0] <= step:
            ends.pop(0)
            meter.end_answer("pool", seconds(1))
            meter.end("pool")
        clock.advance(seconds(0.1))
        if step in (199, 280, 599):
            assert 9 < meter.requests_in_progress()["pool"] < 11.5
    assert waiting > 150
