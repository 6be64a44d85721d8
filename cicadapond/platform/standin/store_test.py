"""Tests of the store's stand-in: a response's version never covers a change that it leaves out."""

import asyncio

from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.platform.standin import StoreModel


def test_a_change_at_the_end_of_a_wait_is_in_the_response():
    async def main():
        clock = VirtualClock()
        store = StoreModel(clock)
        asyncio.get_running_loop().call_later(0.01, store.put, "op", "config", {"version": 5})
        rows = await store.changes("op", 0, 10)
        assert [row.version for row in rows] == [store.version]

    run_virtual(main())


def test_a_wait_without_a_change_returns_no_rows():
    async def main():
        clock = VirtualClock()
        store = StoreModel(clock)
        started = clock.monotonic()
        assert await store.changes("op", 0, 50) == []
        assert clock.monotonic() - started == seconds(0.05)

    run_virtual(main())
