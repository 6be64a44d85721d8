"""The stand-ins of a deployment."""

import asyncio

import pytest

from cicadapond.kernel import BootClock
from cicadapond.platform.standin import Fleet, FleetSettings
from cicadapond.platform.standin._moves import MAX_OVERLAP_S, EngineMemory


def test_a_server_that_starts_again_counts_as_down_until_it_accepts_connections():
    """Guards against a second kill before that, after which both starts took its port."""

    async def main():
        fleet = Fleet(FleetSettings(engines=0, services=1), BootClock())
        await fleet.start()
        await fleet.add_server("a", "pool")
        server, was_down = fleet.servers["a"], []
        start = server.start

        async def observed_start(port):
            was_down.append(server.has_crashed)
            return await start(port)

        server.start, server.has_crashed = observed_start, True
        await server.stop()
        await fleet.restart_server("a", "pool", 0.0)
        assert was_down == [True] and not server.has_crashed
        await fleet.stop()

    asyncio.run(main())


@pytest.mark.parametrize("is_left", [True, False])
def test_a_run_that_is_left_at_once_does_not_overlap_the_one_that_replaced_it(is_left):
    """Guards against a request that a server got only after it had been sent to another one."""

    async def main():
        peers = {}
        first, second = (peers.setdefault(name, EngineMemory(name, peers)) for name in "ab")
        first.begin("s-1")
        late = second.begin("s-1")
        late.is_left = is_left
        second.end(late)
        await asyncio.sleep(MAX_OVERLAP_S + 0.1)
        expected = [] if is_left else ["s-1"]
        assert [request for _, request in second.double_runs] == expected

    asyncio.run(main())
