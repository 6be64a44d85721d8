"""Streams that are taken up where nothing is heard of the process that began them."""

import asyncio

import pytest

from cicadapond.gateway.harness import deployment
from cicadapond.peer.partition import Direction
from cicadapond.platform.standin import EngineFault, FleetSettings

PROCESSES = 3
EVENTS = 60


def run(check, tmp_path):
    async def main():
        cfg = FleetSettings(engines=0, services=0)
        async with deployment(tmp_path, cfg, PROCESSES) as system:
            async with asyncio.timeout(30):
                await system.until_joined()
                await system.add_engine("a", "v1")
                await check(system)

    asyncio.run(main())


async def hub(system):
    """Returns the number of the node that writes for its data centre."""
    hubs = []
    while len(hubs) != 1:
        await asyncio.sleep(0.05)
        nodes = enumerate(system.nodes)
        hubs = [number for number, node in nodes if node._cluster.speaks_for_zone()]
    return hubs[0]


def live(system, number):
    """Returns how many processes a node takes for alive."""
    zones = system.nodes[number].state()["cluster"]["zones"]
    return sum(zone["live"] for zone in zones.values())


async def go_on(system, began_at, taken_up_at, age_s=1.0):
    """Begins a stream at a node on v2 and takes it up at another one; returns what follows."""
    system.engine("a").faults = [EngineFault.FULL] * 10
    system.engine("z").events, system.engine("z").event_interval_s = EVENTS, 0.05
    first = system.caller(began_at)
    await first.stream("s-1")
    await system.until(lambda: "s-1" in system.engine("z").ids())
    system.engine("a").faults = []
    await asyncio.sleep(age_s)
    again = system.caller(taken_up_at)
    await again.stream("t-1", last_event_id="5", resumes="s-1")
    return await again.read_response()


@pytest.mark.parametrize("is_hub", [False, True], ids=["no-hub", "hub"])
@pytest.mark.parametrize("begins_there", [False, True], ids=["taken-up", "begun"])
def test_a_stream_goes_on_across_a_partition_of_the_processes(tmp_path, is_hub, begins_there):
    """Guards against refusals, as the beginning is told among the processes only."""

    async def check(system):
        cut_off = (await hub(system) + (not is_hub)) % PROCESSES
        system.partitions[cut_off].set(Direction.BOTH)
        other = (cut_off + 1) % PROCESSES
        await system.until(lambda: live(system, cut_off) == 1 and live(system, other) == 2)
        await system.add_engine("z", "v2")
        nodes = (cut_off, other) if begins_there else (other, cut_off)
        answer = await go_on(system, *nodes)
        assert answer.is_complete and answer.event_ids() == list(range(6, EVENTS + 1))
        assert "t-1" in system.engine("z").ids()

    run(check, tmp_path)
