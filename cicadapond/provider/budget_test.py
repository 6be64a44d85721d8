"""The storage client: classes, bounded queues, circuit breaker, timeouts, hedging."""

import asyncio
import random

from cicadapond.kernel import (
    AnswerLost,
    Metrics,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.provider import BudgetedTables, BudgetSettings, RateLimit, StoreClass, Write
from cicadapond.standin import DirectTables, StorageTiming, TableModel


def setup(cfg=None, timing=None):
    clock = VirtualClock()
    model = TableModel(clock, random.Random(1), timing)
    metrics = Metrics()
    budget = BudgetedTables(
        DirectTables(model), cfg or BudgetSettings(), clock, metrics, random.Random(2)
    )
    return model, budget, metrics


def run(main):
    async def run_and_close():
        model, budget, metrics = setup()
        try:
            await main(model, budget, metrics)
        finally:
            budget.close()

    run_virtual(run_and_close())


def test_a_more_urgent_class_goes_first():
    async def main():
        cfg = BudgetSettings(writes_per_second=10.0)
        _, budget, _ = setup(cfg)
        order = []

        async def write(store_class):
            await budget.for_class(store_class).transact((Write("t", "a", 1),))
            order.append(store_class)

        classes = [StoreClass.STATISTICS, StoreClass.JOURNAL, StoreClass.LEASE] * 2
        await asyncio.gather(*map(write, classes))
        assert order == sorted(classes)

    run_virtual(main())


def test_a_full_queue_refuses_only_its_class():
    async def main():
        cfg = BudgetSettings(writes_per_second=10.0, queue_limit=5)
        _, budget, _ = setup(cfg)
        many = [
            budget.for_class(StoreClass.STATISTICS).transact((Write("t", "a", 1),))
            for _ in range(8)
        ]
        statistics_calls = asyncio.gather(*many)
        await asyncio.sleep(0.01)
        lease = await budget.for_class(StoreClass.LEASE).transact((Write("t", "b", 1),))
        assert isinstance(lease, Ok)
        refused = [o for o in await statistics_calls if isinstance(o, Unavailable)]
        assert len(refused) == 3

    run_virtual(main())


def test_calls_fail_fast_in_an_outage_until_a_probe_succeeds():
    async def main(model, budget, metrics):
        tables = budget.for_class(StoreClass.AT_MOST_ONCE)
        model.faults.hang = True
        while not budget.is_unavailable:
            await tables.transact((Write("t", "a", 1),))
        loop = asyncio.get_running_loop()
        start = loop.time()
        assert isinstance(await tables.transact((Write("t", "a", 1),)), Unavailable)
        assert loop.time() == start
        model.faults.hang = False
        while budget.is_unavailable:
            await asyncio.sleep(0.1)
        assert loop.time() - start < 5
        assert isinstance(await tables.transact((Write("t", "a", 1),)), Ok)

    run(main)


def test_a_write_without_an_answer_in_time_is_reported_lost_and_not_resent():
    async def main(model, budget, metrics):
        model.faults.extra_latency = seconds(5)
        outcome = await budget.for_class(StoreClass.LEASE).transact((Write("t", "a", 1),))
        assert isinstance(outcome, AnswerLost)
        await asyncio.sleep(10)
        assert model.server.writes_served == 1
        assert model.row("t", "a").value == 1

    run(main)


def test_a_slow_read_is_sent_twice():
    async def main(model, budget, metrics):
        model.faults.extra_latency = seconds(1)
        read = asyncio.ensure_future(budget.for_class(StoreClass.LEASE).read((("t", "a"),)))
        await asyncio.sleep(0.05)
        model.faults.extra_latency = seconds(0)
        start = asyncio.get_running_loop().time()
        assert isinstance(await read, Ok)
        assert asyncio.get_running_loop().time() - start < 0.5
        assert model.server.reads_served == 2

    run(main)


def test_throttled_writes_exceed_the_even_share_with_few_refusals():
    async def main(model, budget, metrics):
        timing = StorageTiming(writes_per_second=40.0, longest_queue=seconds(0.05))
        cfg = BudgetSettings(writes_per_second=100.0, queue_limit=10_000, longest_wait=seconds(60))
        _, budget, _ = setup(cfg, timing)
        budget.set_process_count(10)
        tables = budget.for_class(StoreClass.JOURNAL)
        writes = [tables.transact((Write("t", str(n), 1),)) for n in range(600)]
        start = asyncio.get_running_loop().time()
        outcomes = await asyncio.gather(*writes)
        rate = len(outcomes) / (asyncio.get_running_loop().time() - start)
        refused = sum(not isinstance(outcome, Ok) for outcome in outcomes)
        assert rate > 2 * 10  # more than twice the even share, as no other process uses the rest
        assert refused < len(outcomes) / 10
        budget.close()

    run(main)


def test_a_rate_limit_admits_its_rate():
    limit = RateLimit(10.0, burst=2.0)
    now = seconds(5)
    waits = [limit.reserve(1.0, now).total_seconds() for _ in range(4)]
    assert [round(wait, 6) for wait in waits] == [0.0, 0.0, 0.0, 0.1]
