"""Orders of engines through bursts, reclaims, crashes and a change of the lease holder.

Tells what callers get, what the engines cost and how many calls are made.  A day has three data
centres; reclaims come one after the other, and no reclaimable engine is to be had meanwhile.
"""

import collections

from cicadapond.experiments._orders_world import (
    ZONES,
    Deployment,
    Faults,
    Kind,
    Orderer,
    OrdersWorld,
    Result,
)
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.scaling import CapacityPlanner, Listed, OrderBook, Outcome

DAY_S = 45.0
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
# Half the rates of three deployments: many slots, few slots, and a small one whose batches fill up
# before prefill does; the whole rates of the first two, an eighth of them, and six engines.  The
# latter are placed by 20 processes on information that is up to 200 ms old.
DEPLOYMENTS = {
    "64 slots": Deployment(
        (
            Kind(21.0, 5382, 6610, 1.2, 0.845, 15.8, 6.7),
            Kind(155.0, 568, 1800, 0.07, 0.422, 3.2, 1.9),
        ),
        64,
        101e3,
        24,
        3,
        PRICES,
    ),
    "16 slots": Deployment(
        (
            Kind(44.0, 5382, 6610, 1.3, 1.545, 12.4, 2.9),
            Kind(122.0, 568, 1800, 0.1, 0.522, 2.6, 2.7),
        ),
        16,
        112e3,
        24,
        4,
        PRICES,
    ),
    "64 slots, large": Deployment(
        (
            Kind(41.7, 5382, 6610, 1.2, 0.845, 15.8, 6.7),
            Kind(310.0, 568, 1800, 0.07, 0.422, 3.2, 1.9),
        ),
        64,
        101e3,
        24,
        8,
        PRICES,
        20,
    ),
    "16 slots, large": Deployment(
        (
            Kind(88.9, 5382, 6610, 1.3, 1.545, 12.4, 2.9),
            Kind(245.0, 568, 1800, 0.1, 0.522, 2.6, 2.7),
        ),
        16,
        112e3,
        24,
        9,
        PRICES,
        20,
    ),
    "64 slots, an eighth": Deployment(
        (
            Kind(5.2, 5382, 6610, 1.2, 0.845, 15.8, 6.7),
            Kind(38.8, 568, 1800, 0.07, 0.422, 3.2, 1.9),
        ),
        64,
        101e3,
        12,
        2,
        PRICES,
        20,
    ),
    "six engines": Deployment(
        (
            Kind(6.0, 5382, 4000, 1.5, 0.8, 8.0, 3.0),
            Kind(50.0, 568, 1000, 0.3, 0.4, 4.0, 1.0),
        ),
        32,
        50e3,
        12,
        2,
        PRICES,
        20,
    ),
    "small": Deployment((Kind(13.0, 2000, 1500, 2.6, 1.2, 8.0, 1.0),), 12, 60e3, 12, 2, PRICES),
}
DAYS = {
    "calm": Faults(),
    "burst of 2x for 4 s": Faults(bursts=((15.0, 19.0, 2.0),)),
    "one reclaim, none for 3 s": Faults(reclaims=((15.0, "c"),), dry=(15.0, 18.0)),
    "two reclaims, none for 14 s": Faults(reclaims=((15.0, "b"), (20.0, "a")), dry=(15.0, 29.0)),
    "three reclaims, none for 14 s": Faults(
        reclaims=((15.0, "b"), (18.0, "a"), (22.0, "c")), dry=(15.0, 29.0)
    ),
    "two reclaims and a new holder": Faults(
        reclaims=((15.0, "b"), (16.0, "a")), dry=(15.0, 26.0), no_holder=(14.0, 16.5)
    ),
    "burst of 2x 3.1 s after the start": Faults(bursts=((3.1, 9.0, 2.0),)),
    "three reclaims, a shutdown and a new holder": Faults(
        reclaims=((8.0, "b"), (11.7, "a"), (14.0, "c")),
        dry=(8.0, 21.0),
        no_holder=(19.0, 20.0),
        shutdowns=(16.2,),
    ),
    "17% crash": Faults(crashes=((15.0, 0.17),)),
    "all of these": Faults(
        reclaims=((15.0, "b"), (18.0, "a")),
        dry=(15.0, 29.0),
        no_holder=(16.0, 18.5),
        bursts=((17.0, 21.0, 1.5),),
        crashes=((24.0, 0.17),),
    ),
}


class PlannedOrders(Orderer):
    """Orders as the gateway's processes do; two processes observe, one of which holds the lease."""

    def __init__(self, clock, service):
        self._service = service
        self._planners = [CapacityPlanner(clock), CapacityPlanner(clock)]
        self._book = OrderBook(clock)

    def observe(self, entries, demand):
        for planner in self._planners:
            planner.observe(self._service, entries, demand)

    def step(self, entries, leaving, demand, waiting, order):
        boot = self._service.scaling.boot
        listed = {
            (zone, reclaimable): Listed(
                _count(entries, zone, reclaimable), _count(leaving, zone, reclaimable)
            )
            for zone in ZONES
            for reclaimable in (True, False)
        }
        for reclaimable in (True, False):
            arriving = self._book.arriving(self._service.name, boot)
            plan = self._planners[0].plan(self._service, ZONES, entries, demand, waiting, arriving)
            for each in plan:
                target = listed[each.zone, each.reclaimable]
                if each.reclaimable is reclaimable and self._book.due(each, target, boot):
                    outcome = Outcome.ACCEPTED if order(each) else Outcome.DECLINED
                    self._book.record(each, outcome, target)

    def take_over(self):
        self._planners.reverse()
        self._book.clear()


def play(deployment: Deployment, faults: Faults, seed: int, make_orderer=PlannedOrders) -> Result:
    """Plays a day."""
    return OrdersWorld(deployment, faults, make_orderer, seed).play(DAY_S)


def _count(entries, zone, reclaimable):
    counts = collections.Counter((entry.zone, entry.is_reclaimable) for entry in entries)
    return counts[zone, reclaimable]


@experiments.register("orders")
class OrdersExperiment(Experiment):
    """Measures what the orders of engines bring and cost on days with faults."""

    summary = "engines ordered through bursts, reclaims, crashes and a new holder: value and price"

    def run(self, seeds):
        rows = []
        for name, deployment in DEPLOYMENTS.items():
            for day, faults in DAYS.items():
                results = [play(deployment, faults, seed) for seed in seeds]
                rows.append((name, day, *_cells(results)))
        columns = (
            "deployment",
            "day",
            "value served",
            "worst 3 s of any seed",
            "engine-seconds by price",
            "on-demand engine-seconds",
            "cloud calls",
        )
        return (Table("Orders of engines, means of the seeds", columns, tuple(rows)),)


def _cells(results):
    count = len(results)
    return (
        sum(each.served for each in results) / count,
        min(each.worst() for each in results),
        sum(each.cost for each in results) / count,
        sum(each.on_demand_s for each in results) / count,
        sum(each.calls for each in results) / count,
    )
