"""Calls to plain services on virtual time: retries, at-most-once calls, reported outcomes."""

import asyncio
import random

import attrs

from cicadapond.data import BackendServer, Endpoint, ServerKind, ServiceCall
from cicadapond.document import ApplicationIntent, Intent, PolicyIntent
from cicadapond.entry._parts import Parts
from cicadapond.entry._service import ServiceRunner
from cicadapond.kernel import Failed, Metrics, NotRun, Ok, Unknown, VirtualClock, run_virtual
from cicadapond.peer import NoPeers
from cicadapond.standin import (
    DirectService,
    DirectTables,
    RunCounts,
    ServiceModel,
    StaticFleet,
    TableModel,
)

LOOKUP = ServiceCall("r1", "yard", "ledger", "GET", "/consignments/7", idempotent=True)
CHARGE = ServiceCall("r2", "yard", "ledger", "POST", "/charges", body=b"40.00")
KEYED = attrs.evolve(CHARGE, idempotency_key="weighing-7")


class World:
    """Three servers of one service, a table service, and a runner."""

    def __init__(self, policy="ledger"):
        clock = VirtualClock()
        self.counts = RunCounts()
        self.models = [
            ServiceModel(f"s{n}", clock, random.Random(n), counts=self.counts) for n in range(3)
        ]
        self.tables = TableModel(clock, random.Random(9))
        intent = Intent(
            applications={"ledger": ApplicationIntent()}, policies=PolicyIntent(keyed_calls=policy)
        )
        adapters = [DirectService(m, _server(m.name), clock) for m in self.models]
        self.fleet = StaticFleet(adapters)
        self.runner = ServiceRunner(
            Parts(
                cfg=None,
                clock=clock,
                metrics=Metrics(),
                rng=random.Random(5),
                intent=lambda: intent,
                fleet=self.fleet,
                peers=NoPeers(),
                ledger_tables=DirectTables(self.tables),
            )
        )

    def each(self, **faults):
        for model in self.models:
            for name, value in faults.items():
                setattr(model.faults, name, value)


def _server(name):
    return BackendServer(name, ServerKind.SERVICE, "ledger", "leinster-a", Endpoint("", 0))


def scenario(check):
    def test():
        async def main():
            await check(World())

        run_virtual(main())

    return test


@scenario
async def test_an_idempotent_call_survives_a_dead_server(world):
    world.models[0].crash()
    world.models[1].faults.crash_before = 1.0
    outcomes = [await world.runner.run(LOOKUP) for _ in range(5)]
    assert all(isinstance(outcome, Ok) for outcome in outcomes)


@scenario
async def test_an_idempotent_call_is_hedged_past_a_silent_server(world):
    world.models[0].faults.silent = 1.0
    world.models[1].faults.silent = 1.0
    start = asyncio.get_running_loop().time()
    assert isinstance(await world.runner.run(LOOKUP), Ok)
    assert asyncio.get_running_loop().time() - start < 1.0


@scenario
async def test_a_silent_pooled_connection_does_not_delay_a_lookup(world):
    for _ in range(9):
        await world.runner.run(LOOKUP)
    world.each(silent_pooled=True)
    start = asyncio.get_running_loop().time()
    assert isinstance(await world.runner.run(LOOKUP), Ok)
    assert asyncio.get_running_loop().time() - start < 1.0


@scenario
async def test_an_idempotent_call_is_never_unknown(world):
    world.each(truncate=1.0)
    assert isinstance(await world.runner.run(LOOKUP), Failed)
    world.each(truncate=0.0, refuse=1.0)
    outcome = await world.runner.run(LOOKUP)
    assert isinstance(outcome, NotRun) and outcome.retry_after


@scenario
async def test_an_unkeyed_charge_is_sent_at_most_once(world):
    world.each(crash_after=1.0)
    assert isinstance(await world.runner.run(CHARGE), Unknown)
    assert world.counts.by_request["r2"] == 1


@scenario
async def test_an_unkeyed_charge_is_sent_to_another_host_if_refused(world):
    world.models[0].crash()
    world.models[1].faults.refuse = 1.0
    assert isinstance(await world.runner.run(CHARGE), Ok)
    assert world.counts.by_request["r2"] == 1


@scenario
async def test_an_unkeyed_charge_needs_no_table_service(world):
    world.tables.faults.outage = True
    assert isinstance(await world.runner.run(CHARGE), Ok)
    assert isinstance(await world.runner.run(KEYED), NotRun)


@scenario
async def test_a_keyed_charge_is_answered_from_the_row(world):
    first = await world.runner.run(KEYED)
    again = await world.runner.run(attrs.evolve(KEYED, request_id="r3"))
    assert isinstance(first, Ok) and first == again
    assert world.counts.by_key["weighing-7"] == 1


@scenario
async def test_nothing_is_sent_to_a_leaving_server(world):
    for view in world.fleet.views("ledger"):
        view.leaving = True
    assert isinstance(await world.runner.run(CHARGE), NotRun)
    assert isinstance(await world.runner.run(KEYED), NotRun)


@scenario
async def test_a_planned_stop_records_what_ran(world):
    call = asyncio.ensure_future(world.runner.run(KEYED))
    await asyncio.sleep(0.02)
    world.tables.faults.outage = True
    assert isinstance(await call, Ok)
    stop = asyncio.ensure_future(world.runner.stop())
    await asyncio.sleep(1)
    world.tables.faults.outage = False
    await stop
    assert world.tables.row("ledger", "yard/weighing-7").value["state"] == "done"


def test_the_trusting_baseline_charges_twice():
    async def main():
        world = World("trusting")
        world.models[0].faults.crash_after = 1.0
        world.models[1].faults.crash_after = 1.0
        assert isinstance(await world.runner.run(KEYED), Ok)
        assert world.counts.by_key["weighing-7"] > 1

    run_virtual(main())
