"""The controller's task on a small fleet: the lease, lost answers, outages, and a backlog."""

import pytest

from cicadapond.capacity import UTILISATION_TARGET
from cicadapond.experiments._fleet import FleetWorld
from cicadapond.experiments.waves import OFFERS, SLOTS, STEP_SECONDS, wave_intent
from cicadapond.kernel import run_virtual, seconds
from cicadapond.standin import CloudTiming, WeightSettings
from cicadapond.standin._engine import EngineSettings, EngineTiming

REPLICAS = 3
READY = seconds(180)
MOST_GROWTH = 2 / UTILISATION_TARGET * 1.5
ZONES = ("yqr", "ywg", "yxe")


def run(scene):
    async def main():
        world = FleetWorld(
            1,
            wave_intent("cheapest-mix"),
            OFFERS,
            EngineSettings(slots=SLOTS, checks_fencing=True),
            EngineTiming(decode_step_seconds=STEP_SECONDS),
            timing=CloudTiming(loss_notice=seconds(0.2)),
            weights=WeightSettings(default_size=1_000_000_000),
        )
        try:
            return await scene(world)
        finally:
            await world.stop()

    return run_virtual(main())


def test_the_documents_replicas_come_up_over_the_zones():
    async def scene(world):
        await world.start()
        await world.clock.sleep(READY)
        return sorted(host.zone for host in world.cloud.list_hosts()), len(world.serving("1"))

    assert run(scene) == (list(ZONES), REPLICAS)


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_a_purchase_whose_answer_is_lost_is_made_once(share):
    async def scene(world):
        world.cloud.faults.lose_after = share
        await world.start()
        await world.clock.sleep(READY)
        world.cloud.faults.lose_after = 0.0
        await world.clock.sleep(READY)
        return world.cloud.counts["bought"], len(world.serving("1"))

    assert run(scene) == (REPLICAS, REPLICAS)


def test_without_the_lease_nothing_is_ordered():
    async def scene(world):
        world.lease.held = False
        await world.start()
        await world.clock.sleep(READY)
        before = world.cloud.counts["bought"]
        world.lease.held = True
        await world.clock.sleep(READY)
        return before, world.cloud.counts["bought"]

    assert run(scene) == (0, REPLICAS)


def test_with_the_cloud_out_what_is_there_serves_on_and_the_rest_is_caught_up():
    async def scene(world):
        await world.start()
        await world.clock.sleep(READY)
        world.cloud.faults.outage = True
        world.intent = wave_intent("cheapest-mix", replicas=6)
        await world.clock.sleep(READY)
        during = len(world.serving("1"))
        world.cloud.faults.outage = False
        await world.clock.sleep(READY)
        return during, len(world.serving("1"))

    assert run(scene) == (REPLICAS, 2 * REPLICAS)


def test_a_drained_host_that_is_reclaimed_is_forgotten():
    async def scene(world):
        await world.start()
        await world.clock.sleep(READY)
        host, *_ = world.cloud.list_hosts()
        drains = [task._parts.drains for task in world.controllers]
        for drain in drains:
            drain.begin(host.server.name)
        world.cloud.reclaim(host.host_id, seconds(1))
        await world.clock.sleep(READY)
        return [host.server.name in drain.draining() for drain in drains]

    assert run(scene) == [False] * len(ZONES)


def test_a_backlog_is_not_bought_one_to_one():
    """A backlog at most doubles the load that counts; with utilisation and spare, times four."""

    async def scene(world):
        await world.start()
        growth = []
        while world.clock.monotonic() < READY:
            await world.load(8.0, seconds(5), tokens=10)
            held = world.cloud.list_hosts()
            live = max(REPLICAS, sum(host.state == "live" for host in held))
            growth.append((live, len(held)))
        return growth

    growth = run(scene)
    assert all(held <= MOST_GROWTH * live + len(ZONES) for live, held in growth), growth
    assert growth[-1][1] > REPLICAS


def test_a_dump_tells_what_is_seen_and_was_done():
    async def scene(world):
        await world.start()
        await world.clock.sleep(READY)
        return world.controllers[0].state()

    state = run(scene)
    assert state["active"] and state["fencing"] == 1
    assert state["servers"][0]["runs"] == "shade-model 1"
    assert "buy reclaimable small in yqr for shade-pool: ok" in " ".join(state["recent_actions"])
