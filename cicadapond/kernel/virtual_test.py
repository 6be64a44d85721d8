"""Tests that the virtual loop fires timers in order, and that a deadlock raises an error."""

import asyncio
import datetime

import pytest

from cicadapond.kernel import DeadlockError, VirtualClock, run_virtual, seconds


def test_timers_fire_in_order():
    async def main():
        clock = VirtualClock()
        woke = []

        async def sleeper(name, hours):
            await clock.sleep(datetime.timedelta(hours=hours))
            woke.append((name, clock.monotonic()))

        await asyncio.gather(sleeper("late", 2), sleeper("early", 1))
        return woke

    assert run_virtual(main()) == [("early", seconds(3600)), ("late", seconds(7200))]


def test_a_deadlock_is_an_error():
    async def main():
        await asyncio.Event().wait()

    with pytest.raises(DeadlockError):
        run_virtual(main())
