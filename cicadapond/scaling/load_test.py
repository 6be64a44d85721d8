"""Plays a heavy load with waves of reclaims, and checks what callers get from the planned engines.

The load: long answers on engines with few slots, a daily wave, and data centres that reclaim their
engines one after the other while no others can be had.  The batch fills up long before prefill
does, so that a plan by prefill alone starves the callers.
"""

import collections
import math
import random

import attrs
import pytest

from cicadapond.data import Endpoint
from cicadapond.experiments.orders import DAYS, DEPLOYMENTS, play
from cicadapond.kernel import ManualClock, seconds
from cicadapond.scaling import CapacityPlanner, Demand, DemandMeter, Waiting
from cicadapond.serving import Scaling, ServerEntry, Service

ZONES = ("a", "b", "c", "d")
SLOTS = 12
BOOT_S = 4.0
SCALING = Scaling(1, 28, seconds(BOOT_S), 0.18, {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9})
POOL = Service("pool", 570, scaling=SCALING)
STEP_S = 0.05
DAY_S = 60.0
# (from, until, data centre): the reclaims, during which none can be had anywhere.
RECLAIMS = ((7.0, "d"), (12.8, "c"), (13.1, "b"), (25.0, "a"))
DRY_UNTIL_S = 38.0
OBJECTIVE_S, GIVE_UP_S = 1.2, 8.0
PREFILL_S, ANSWER_S = 0.04, 2.6
REQUESTS_PER_S = 18.0
# The most requests that arrive in one step.
MAX_ARRIVALS = 4


@attrs.define(eq=False)
class Engine:
    zone: str
    is_reclaimable: bool
    ready_at: float
    ends: list = attrs.field(factory=list)

    def entry(self):
        name, endpoint = f"{self.zone}{id(self)}", Endpoint("::1", 1)
        return ServerEntry(
            name, "pool", endpoint, self.zone, SLOTS, is_reclaimable=self.is_reclaimable
        )


class Pool:
    """The engines of the platform: orders take effect after the boot time, reclaims at once."""

    def __init__(self):
        self.engines = [Engine(zone, True, 0.0) for zone in ZONES for _ in range(2)]
        self.engines.append(Engine("b", False, 0.0))
        self.cost = 0.0

    def order(self, order, now):
        same = [
            engine
            for engine in self.engines
            if (engine.zone, engine.is_reclaimable) == (order.zone, order.reclaimable)
        ]
        is_dry = order.reclaimable and RECLAIMS[0][0] <= now < DRY_UNTIL_S
        if len(same) < order.count and not is_dry:
            missing = order.count - len(same)
            self.engines += [
                Engine(order.zone, order.reclaimable, now + BOOT_S) for _ in range(missing)
            ]
        for engine in same[order.count :]:
            self.engines.remove(engine)

    def reclaim(self, zone):
        self.engines = [e for e in self.engines if not (e.zone == zone and e.is_reclaimable)]

    def ready(self, now):
        return [engine for engine in self.engines if engine.ready_at <= now]

    def charge(self):
        for engine in self.engines:
            price = SCALING.prices[engine.zone]
            self.cost += STEP_S * price * (0.18 if engine.is_reclaimable else 1.0)


def play_day(to_demand, seed=3):
    """Returns the share of requests in time, that of the worst two seconds, and the cost."""
    clock, rng, pool = ManualClock(), random.Random(seed), Pool()
    planner, meter = CapacityPlanner(clock), DemandMeter(clock)
    waiting = collections.deque()
    in_time, asked = collections.Counter(), collections.Counter()
    reclaims = list(RECLAIMS)
    running = []
    for step in range(round(DAY_S / STEP_S)):
        now = step * STEP_S
        while reclaims and reclaims[0][0] <= now:
            pool.reclaim(reclaims.pop(0)[1])
        for engine in pool.ready(now):
            engine.ends = [end for end in engine.ends if end > now]
        while running and running[0] <= now:
            running.pop(0)
            meter.end("pool")
        rate = REQUESTS_PER_S * (1 + 0.3 * math.sin(now / 40 * 2 * math.pi))
        for _ in range(
            sum(rng.random() < rate * STEP_S / MAX_ARRIVALS for _ in range(MAX_ARRIVALS))
        ):
            waiting.append(now)
            asked[int(now // 2)] += 1
            meter.begin("pool")
            meter.add_prefill("pool", seconds(PREFILL_S))
        while waiting and now - waiting[0] > GIVE_UP_S:
            waiting.popleft()
            meter.end("pool")
        for engine in pool.ready(now):
            while waiting and len(engine.ends) < SLOTS:
                arrived = waiting.popleft()
                end = now + ANSWER_S * rng.uniform(0.5, 1.5)
                engine.ends.append(end)
                running.append(end)
                in_time[int(arrived // 2)] += now - arrived + PREFILL_S <= OBJECTIVE_S
        running.sort()
        if step % 10 == 0:
            entries = [engine.entry() for engine in pool.ready(now)]
            demand = to_demand(
                meter.prefilling_engines().get("pool", 0.0),
                meter.requests_in_progress().get("pool", 0.0) / SLOTS,
            )
            times = meter.prompt_times("pool"), meter.stay_s("pool")
            expected = Waiting(seconds(OBJECTIVE_S), SLOTS, *times)
            for order in planner.plan(POOL, ZONES, entries, demand, expected):
                pool.order(order, now)
        pool.charge()
        clock.advance(seconds(STEP_S))
    worst = min(in_time[window] / asked[window] for window in asked if asked[window] > 5)
    return in_time.total() / asked.total(), worst, pool.cost


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_are_served_through_waves_of_reclaims(seed):
    served, worst, _ = play_day(Demand, seed)
    assert served > 0.9
    assert worst > 0.3


def test_a_plan_by_prefill_alone_would_starve_them():
    served, worst, cost = play_day(lambda prefill, batches: Demand(prefill, 0.0))
    by_both = play_day(Demand)
    assert served < by_both[0] - 0.1
    assert worst < by_both[1]
    assert by_both[2] < 3 * cost


# The price of the engines of a day with the orders as they were before each process observed the
# demand; of the new holder's day 246, with 0.97 of the value served and 0.46 in its worst seconds.
BEFORE = {
    "calm": 140.4,
    "burst of 2x for 4 s": 188.6,
    "one reclaim, none for 3 s": 148.0,
    "three reclaims, none for 14 s": 236.2,
    "two reclaims and a new holder": 246.1,
    "17% crash": 140.2,
}


@pytest.mark.parametrize("day", BEFORE)
def test_days_with_faults_are_served_for_no_more_than_before(day):
    results = [play(DEPLOYMENTS["16 slots"], DAYS[day], seed) for seed in (1, 2, 3)]
    assert min(each.served for each in results) > 0.99
    assert min(each.worst() for each in results) > 0.95
    assert sum(each.cost for each in results) / len(results) < 1.01 * BEFORE[day]
