"""At most one grant under lost answers, outages and pauses; after them the lease is held again."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.kernel import (
    AnswerLost,
    Conflict,
    Metrics,
    Ok,
    Unavailable,
    VirtualClock,
    run_virtual,
    seconds,
)
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.lease._state import FENCING_STEP
from cicadapond.provider import Row, TableService, Write

CFG = LeaseSettings()


class Table(TableService):
    """One row whose next writes can lose their answer, fail, or take effect late."""

    def __init__(self):
        self.row = Row("leases", "yqr", 0, None)
        self.faults = []

    async def read(self, keys):
        await asyncio.sleep(0.002)
        return Unavailable("out") if "out" in self.faults else Ok({keys[0]: self.row})

    async def transact(self, writes):
        fault = self.faults.pop(0) if self.faults and self.faults[0] != "out" else None
        await asyncio.sleep(0.002)
        if "out" in self.faults or fault == "fail":
            return Unavailable("out")
        if fault == "late":
            asyncio.get_running_loop().call_later(1.5, self.apply, writes[0])
            return AnswerLost("late")
        outcome = self.apply(writes[0])
        return AnswerLost("lost") if fault == "lost" else outcome

    def apply(self, write):
        if write.expected != self.row.version:
            return Conflict({(write.table, write.key): self.row})
        self.row = Row(write.table, write.key, self.row.version + 1, write.value)
        return Ok({(write.table, write.key): self.row.version})

    async def scan(self, table, prefix="", after="", limit=1000):
        return Ok(())


def holders(table, clock, count=3):
    return [
        LeaseTask(CFG, "yqr", f"c{n}", table, clock, Metrics(), random.Random(n))
        for n in range(count)
    ]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("lost", "late", "fail", "out", "heal", "pause", "step")),
            st.integers(0, 2),
            st.floats(0.05, 3),
        ),
        max_size=25,
    )
)
def test_no_interleaving_gives_two_grants_and_the_lease_is_held_again_afterwards(events):
    async def main():
        clock, table = VirtualClock(), Table()
        tasks = holders(table, clock)
        paused = [0.0] * 3
        fencings = []

        async def run_candidate(number):
            while True:
                await asyncio.sleep(max(0.3, paused[number]))
                paused[number] = 0.0
                await tasks[number].step()

        async def watch():
            while True:
                grants = [task.grant() for task in tasks]
                held = [grant for grant in grants if grant]
                assert len(held) <= 1
                if held and (not fencings or fencings[-1] != held[0].fencing):
                    fencings.append(held[0].fencing)
                await asyncio.sleep(0.05)

        running = [asyncio.ensure_future(run_candidate(number)) for number in range(3)]
        watching = asyncio.ensure_future(watch())
        for event, number, wait in events:
            if event in ("lost", "late", "fail", "out"):
                table.faults.append(event)
            elif event == "heal":
                table.faults.clear()
            elif event == "pause":
                paused[number] = 2 * wait
            await asyncio.sleep(wait)
        table.faults.clear()
        await asyncio.sleep(12)
        assert sum(task.grant() is not None for task in tasks) == 1
        assert fencings == sorted(set(fencings))
        assert not watching.done()
        for task in (*running, watching):
            task.cancel()

    run_virtual(main())


# A holder's orders must not resume within this time if another holder's came in between.
ALTERNATION = seconds(3)


class Fenced:
    """Accepts orders that arrive late and reordered, except those with a lower fencing number."""

    def __init__(self, clock):
        self.clock = clock
        self.taken = []

    def take(self, holder, fencing):
        if not self.taken or fencing >= self.taken[-1][2]:
            self.taken.append((self.clock.monotonic(), holder, fencing))

    def turns(self):
        """Returns (holder, first instant, last instant) of each uninterrupted series of orders."""
        periods = []
        for at, holder, _ in self.taken:
            if periods and periods[-1][0] == holder:
                periods[-1] = (holder, periods[-1][1], at)
            else:
                periods.append((holder, at, at))
        return periods


# The name and body of this test stay as they are: with derandomize=True Hypothesis derives the
# examples from its source, so that even a renamed local gives others.  They also depend on the
# numeric constants of the project's modules that are loaded, and so on the folders collected.
@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("lost", "late", "out", "heal", "pause", "stop", "kill")),
            st.integers(0, 2),
            st.floats(0.05, 2),
        ),
        max_size=25,
    ),
    st.integers(0, 9),
)
def test_no_holder_comes_back_between_the_orders_of_another(events, seed):
    async def main():
        clock, table = VirtualClock(), Table()
        cloud, rng = Fenced(clock), random.Random(seed)
        paused = [0.0] * 3

        async def order(number, fencing):
            await asyncio.sleep(rng.uniform(0, CFG.order_limit.total_seconds()))
            cloud.take(number, fencing)

        async def keep(number, start):
            task = LeaseTask(
                CFG, "yqr", f"c{number}", table, clock, Metrics(), random.Random(f"{number}{start}")
            )
            try:
                while True:
                    await asyncio.sleep(max(0.3, paused[number]))
                    paused[number] = 0.0
                    await task.step()
                    grant = task.grant()
                    if grant is not None:
                        asyncio.ensure_future(order(number, grant.fencing))
            except asyncio.CancelledError as exc:
                if "stop" in exc.args:
                    await task.release()
                raise

        running = [asyncio.ensure_future(keep(number, 0)) for number in range(3)]
        for start, (event, number, wait) in enumerate(events, 1):
            if event in ("lost", "late", "out"):
                table.faults.append(event)
            elif event == "heal":
                table.faults.clear()
            elif event == "pause":
                paused[number] = 2 * wait
            else:
                running[number].cancel(event)
                await asyncio.gather(running[number], return_exceptions=True)
                running[number] = asyncio.ensure_future(keep(number, start))
            await asyncio.sleep(wait)
        table.faults.clear()
        await asyncio.sleep(12)
        assert cloud.taken[-1][0] > clock.monotonic() - seconds(2)
        turns = cloud.turns()
        for (first, _, until), _, (third, again, _) in zip(
            turns, turns[1:], turns[2:], strict=False
        ):
            assert first != third or again - until > ALTERNATION
        fencings = [fencing for _, _, fencing in cloud.taken]
        owners = {}
        for _, holder, fencing in cloud.taken:
            assert owners.setdefault(fencing, holder) == holder
        assert fencings == sorted(fencings)
        for task in running:
            task.cancel()

    run_virtual(main())


def test_no_holder_comes_back_after_a_lost_answer_and_three_stops():
    """A holder must not resume too soon after planned stops of three holders in a row.

    Candidate 1 is paused and first reads the row just after holder 0 was stopped and released the
    lease.  Holder 1 takes the lease at once and is stopped before an order of its own arrives.
    Holder 2 takes it, so that the server refuses holder 1's late order, and is stopped too.  Holder
    0 is then not the predecessor of the last holder, and still has to wait.
    """
    events = [
        ("pause", 1, 1.078125),
        ("lost", 0, 1.046875),
        ("stop", 0, 0.25),
        ("stop", 1, 1.0),
        ("stop", 2, 1.0),
    ]
    test_no_holder_comes_back_between_the_orders_of_another.hypothesis.inner_test(events, seed=0)


def test_a_write_with_a_lost_answer_is_recognised_by_its_token():
    async def main():
        table = Table()
        (task,) = holders(table, VirtualClock(), 1)
        table.faults.append("lost")
        await task.step()
        assert task.grant().fencing == FENCING_STEP

    run_virtual(main())


def test_the_grant_ends_before_the_term_by_the_margin():
    async def main():
        clock, table = VirtualClock(), Table()
        (task,) = holders(table, clock, 1)
        await task.step()
        end = task.grant().end
        assert end <= CFG.term - CFG.margin + seconds(0.01)
        await clock.sleep(end - clock.monotonic())
        assert task.grant() is None

    run_virtual(main())


def test_a_new_holder_waits_for_earlier_orders_where_fencing_is_not_checked():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second = holders(table, clock, 2)
        await first.step()
        await second.step()
        assert second.grant() is None
        await clock.sleep(CFG.term + seconds(0.1))
        await second.step()
        grant = second.grant()
        now = clock.monotonic()
        assert grant.fencing == 2 * FENCING_STEP
        assert grant.may_order(now, checks_fencing=True)
        assert not grant.may_order(now, checks_fencing=False)
        later = now + CFG.order_limit
        assert grant.may_order(later, checks_fencing=False)

    run_virtual(main())


def test_a_released_lease_is_taken_at_once():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second = holders(table, clock, 2)
        await first.step()
        await first.release()
        assert first.grant() is None
        await second.step()
        assert second.grant().fencing == 2 * FENCING_STEP

    run_virtual(main())


def test_an_order_limit_beyond_the_margin_is_refused():
    with pytest.raises(ValueError, match="order_limit 0:00:02 must be less than margin 0:00:01"):
        LeaseSettings(order_limit=seconds(2))


def test_the_predecessor_takes_a_released_lease_only_after_a_term():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second = holders(table, clock, 2)
        await first.step()
        await first.release()
        await second.step()
        await second.release()
        restarted = LeaseTask(CFG, "yqr", "c0", table, clock, Metrics(), random.Random("again"))
        await restarted.step()
        assert restarted.grant() is None
        await clock.sleep(CFG.term + seconds(0.1))
        await restarted.step()
        assert restarted.grant().fencing == 3 * FENCING_STEP

    run_virtual(main())


def test_a_process_that_is_not_the_predecessor_takes_a_released_lease_at_once():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second, third = holders(table, clock, 3)
        for task in (first, second):
            await task.step()
            await task.release()
        await third.step()
        assert third.grant().fencing == 3 * FENCING_STEP

    run_virtual(main())


def test_every_recent_holder_waits_for_a_term():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second, third = holders(table, clock, 3)
        for task in (first, second, third):
            await task.step()
            await task.release()
        restarted = LeaseTask(CFG, "yqr", "c0", table, clock, Metrics(), random.Random("again"))
        await restarted.step()
        await clock.sleep(CFG.term - seconds(0.1))
        await restarted.step()
        assert restarted.grant() is None
        await clock.sleep(seconds(0.2))
        await restarted.step()
        assert restarted.grant().fencing == 4 * FENCING_STEP

    run_virtual(main())


def test_earlier_holders_are_forgotten_once_the_lease_was_held_for_a_term():
    async def main():
        clock, table = VirtualClock(), Table()
        first, second = holders(table, clock, 2)
        await first.step()
        await first.release()
        await second.step()
        end = clock.monotonic() + CFG.term + CFG.renewal
        while clock.monotonic() < end:
            await clock.sleep(CFG.renewal)
            await second.step()
        await second.release()
        await first.step()
        assert first.grant().fencing == 3 * FENCING_STEP

    run_virtual(main())


def test_companion_writes_are_applied_with_the_renewal_or_not_at_all():
    class Recording(Table):
        def __init__(self):
            super().__init__()
            self.companions = []

        async def transact(self, writes):
            outcome = await super().transact(writes)
            if isinstance(outcome, Ok):
                self.companions.append([write.key for write in writes[1:]])
            return outcome

    async def main():
        table = Recording()
        task = LeaseTask(
            CFG,
            "yqr",
            "c0",
            table,
            VirtualClock(),
            Metrics(),
            random.Random(0),
            extra_writes=lambda: (Write("t", "k", 1),),
        )
        for _ in range(3):
            await task.step()
        table.row = Row("leases", "yqr", 99, {**table.row.value, "instance": "another"})
        await task.step()
        assert table.companions == [["k"]] * 3

    run_virtual(main())
