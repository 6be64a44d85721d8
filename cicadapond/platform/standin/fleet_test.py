"""The stand-ins of a deployment."""

import asyncio

from cicadapond.kernel import BootClock
from cicadapond.platform.standin import Fleet, FleetSettings


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
