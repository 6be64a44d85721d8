"""Usage reports in drawn plays of restores, kills, cuts and pauses."""

import asyncio
import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.gateway.usage_restore_test import Process, play, sent
from cicadapond.kernel import AnswerLost


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("copy", "restore", "pause", "cut", "kill", "unanswered")),
            st.integers(0, 2),
            st.floats(0.1, 4),
        ),
        max_size=20,
    )
)
def test_no_interleaving_with_restores_reports_a_window_with_two_counts(events):
    async def script(world, *_):
        names, count = ("a", "b", "c"), itertools.count(1)
        found = [Process(world, name) for name in names]
        paused = [0.0] * 3
        world.tables.take_copy()

        async def keep(number):
            while True:
                process = found[number]
                window = world.usage.number(world.clock.now())
                for back in range(4):
                    process.hears(window - back, next(count))
                await process.run(0.4)
                await asyncio.sleep(paused[number])
                paused[number] = 0.0

        running = [asyncio.ensure_future(keep(number)) for number in range(3)]
        for event, number, wait in events:
            if event == "copy":
                world.tables.take_copy()
            elif event == "restore":
                world.tables.restore()
            elif event == "pause":
                paused[number] = 2 * wait
            elif event == "cut":
                found[number].tables.reachable = not found[number].tables.reachable
            elif event == "kill":
                found[number] = Process(world, names[number])
            elif event == "unanswered":
                world.cloud.outcomes = [AnswerLost("lost")] * 3
            await asyncio.sleep(wait)
        for process in found:
            process.tables.reachable = True
        reported = max(sent(world), default=0)
        await asyncio.sleep(25)
        assert max(sent(world)) >= reported + 3
        assert not any(task.done() for task in running)
        for task in running:
            task.cancel()

    play(script)
