"""Tests of the cuts between gateways that lines on standard input ask for."""

import asyncio
import datetime
import os

from cicadapond.data import Endpoint
from cicadapond.gateway.partitioned._commands import Commands
from cicadapond.kernel import ManualClock, Metrics
from cicadapond.peer.partition import PartitionedTransport
from cicadapond.standin._ports import free_endpoint

TIMEOUT = datetime.timedelta(milliseconds=50)


def test_a_line_cuts_links_and_passed_on_requests_until_the_next_one():
    async def main():
        reading, writing = os.pipe()
        commands = Commands(reading)
        pool = commands.make_pool(ManualClock(), Metrics())
        transport = PartitionedTransport(Metrics(), commands.partition)
        received, accepted, endpoint = [], [], free_endpoint()
        transport.listen(endpoint, accepted.append)
        link = await transport.dial(endpoint)
        while not accepted:
            await asyncio.sleep(0)
        accepted[0].on_message = received.append
        conn = await pool.connect("process edge-1", endpoint, TIMEOUT)
        os.write(writing, b'{"%d": "OUT"}\n' % endpoint.port)
        while conn.is_open:
            await asyncio.sleep(0.01)
        link.send([b"held"])
        assert await pool.connect("process edge-1", endpoint, TIMEOUT) is None
        assert received == []
        other = Endpoint(endpoint.host, free_endpoint().port)
        assert not commands.partition.held_to(other.port)
        os.write(writing, b"{}\n")
        while not received:
            await asyncio.sleep(0.01)
        assert await pool.connect("process edge-1", endpoint, TIMEOUT) is not None
        transport.close()

    async def limited():
        async with asyncio.timeout(10):
            await main()

    asyncio.run(limited())
