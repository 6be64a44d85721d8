"""Tests of the controller's task on a small fleet: lease, lost answers, outages, and a backlog."""

import asyncio
import random

import pytest

from cicadapond.capacity import UTILISATION_TARGET
from cicadapond.experiments._fleet import FleetSimulation
from cicadapond.experiments.waves import DECODE_STEP_SECONDS, OFFERS, SLOTS, wave_intent
from cicadapond.kernel import Metrics, run_virtual, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.provider import Write
from cicadapond.standin import CloudTiming, DirectTables, TableModel, WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming

REPLICAS = 3
STARTUP_TIME = seconds(180)
MAX_GROWTH = 2 / UTILISATION_TARGET * 1.5
ZONES = ("yqr", "ywg", "yxe")


def run(scenario):
    async def main():
        world = FleetSimulation(
            1,
            wave_intent("cheapest-mix"),
            OFFERS,
            EngineSettings(slots=SLOTS, checks_fencing=True),
            EngineTiming(decode_step_seconds=DECODE_STEP_SECONDS),
            timing=CloudTiming(loss_notice=seconds(0.2)),
            weights=WeightSettings(default_size=1_000_000_000),
        )
        try:
            return await scenario(world)
        finally:
            await world.stop()

    return run_virtual(main())


def test_the_replicas_of_the_document_are_spread_over_the_zones():
    async def scenario(world):
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        return sorted(host.zone for host in world.cloud.list_hosts()), len(world.serving("1"))

    assert run(scenario) == (list(ZONES), REPLICAS)


@pytest.mark.parametrize("loss_rate", [0.5, 1.0])
def test_a_purchase_whose_answer_is_lost_is_made_once(loss_rate):
    async def scenario(world):
        world.cloud.faults.lose_after = loss_rate
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        world.cloud.faults.lose_after = 0.0
        await world.clock.sleep(STARTUP_TIME)
        return world.cloud.counts["bought"], len(world.serving("1"))

    assert run(scenario) == (REPLICAS, REPLICAS)


def test_without_the_lease_nothing_is_ordered():
    async def scenario(world):
        world.lease.held = False
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        before = world.cloud.counts["bought"]
        world.lease.held = True
        await world.clock.sleep(STARTUP_TIME)
        return before, world.cloud.counts["bought"]

    assert run(scenario) == (0, REPLICAS)


def test_nothing_is_ordered_while_the_grant_of_an_earlier_build_lasts():
    """Guards against two that act at once: the lease is taken before that grant has ended."""

    async def scenario(world):
        earlier = {"holder": "a", "instance": "a-1", "token": "a-1/1", "fencing": 3, "waited_ms": 0}
        row = Write("leases", "yqr", {**earlier, "term_ms": STARTUP_TIME // seconds(0.001)})
        tables = TableModel(world.clock, random.Random(1))
        tables.apply((row,))
        cfg = LeaseSettings(term=STARTUP_TIME)
        world.lease = LeaseTask(
            cfg, "yqr", "b", DirectTables(tables), world.clock, Metrics(), random.Random(1)
        )
        await world.lease.step()
        await world.start()
        renewing = asyncio.ensure_future(world.lease.run())
        await world.clock.sleep(STARTUP_TIME - seconds(1))
        before = world.cloud.counts["bought"]
        await world.clock.sleep(STARTUP_TIME)
        renewing.cancel()
        return before, world.cloud.counts["bought"]

    assert run(scenario) == (0, REPLICAS)


def test_servers_keep_running_while_the_cloud_is_unavailable_and_missing_ones_follow():
    async def scenario(world):
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        world.cloud.faults.outage = True
        world.intent = wave_intent("cheapest-mix", replicas=6)
        await world.clock.sleep(STARTUP_TIME)
        during = len(world.serving("1"))
        world.cloud.faults.outage = False
        await world.clock.sleep(STARTUP_TIME)
        return during, len(world.serving("1"))

    assert run(scenario) == (REPLICAS, 2 * REPLICAS)


def test_the_drain_of_a_reclaimed_host_is_removed():
    async def scenario(world):
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        host, *_ = world.cloud.list_hosts()
        drains = [task._parts.drains for task in world.controllers]
        for drain in drains:
            drain.begin(host.server.name)
        world.cloud.reclaim(host.host_id, seconds(1))
        await world.clock.sleep(STARTUP_TIME)
        return [host.server.name in drain.draining() for drain in drains]

    assert run(scenario) == [False] * len(ZONES)


def test_purchases_for_a_backlog_are_bounded():
    """A backlog at most doubles the counted load; with utilisation and spare hosts, times four."""

    async def scenario(world):
        await world.start()
        growth = []
        while world.clock.monotonic() < STARTUP_TIME:
            await world.load(8.0, seconds(5), tokens=10)
            held = world.cloud.list_hosts()
            live = max(REPLICAS, sum(host.state == "live" for host in held))
            growth.append((live, len(held)))
        return growth

    growth = run(scenario)
    assert all(held <= MAX_GROWTH * live + len(ZONES) for live, held in growth), growth
    assert growth[-1][1] > REPLICAS


def test_a_dump_contains_the_observed_servers_and_recent_actions():
    async def scenario(world):
        await world.start()
        await world.clock.sleep(STARTUP_TIME)
        return world.controllers[0].state()

    state = run(scenario)
    assert state["active"] and state["fencing"] == 1
    assert state["servers"][0]["runs"] == "shade-model 1"
    assert "buy reclaimable small in yqr for shade-pool: ok" in " ".join(state["recent_actions"])
