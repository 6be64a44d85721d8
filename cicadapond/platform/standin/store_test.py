"""Tests of the store's stand-in: what responses cover, and the return to an older copy."""

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


def test_a_restored_store_gives_out_versions_again_and_has_no_history_of_later_ones():
    async def main():
        store = StoreModel(VirtualClock())
        store.put("servers", "a", {"state": "ready"})
        copy = store.copy()
        store.put("servers", "a", {"state": "leaving"})
        store.put("servers", "b", {"state": "ready"})
        waiting = asyncio.ensure_future(store.changes("servers", store.version, 1000))
        await asyncio.sleep(0.01)
        store.restore(copy)
        assert (store.era, store.version) == (1, 1)
        assert [(row.key, row.version) for row in store.rows("servers", "", None)] == [("a", 1)]
        assert await waiting == []
        assert not store.has_history(3)
        store.put("servers", "c", {"state": "ready"})
        assert [row.version for row in await store.changes("servers", 1, 10)] == [2]
        store.restore(copy)
        assert (store.era, store.version) == (2, 1)

    run_virtual(main())
