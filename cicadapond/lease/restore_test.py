"""The lease of a store that is restored from an older copy: its row and its versions go back."""

import asyncio
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.kernel import AnswerLost, Conflict, Metrics, Ok, VirtualClock, run_virtual, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.lease._state import FENCING_STEP
from cicadapond.lease.lease_test import ALTERNATION, CFG, Fenced, Table, holders
from cicadapond.provider import era_of, number_of, version_in_era


class RestoredTable(Table):
    """A store that goes back to a copy; its client learns of that only from the answers."""

    def __init__(self):
        super().__init__()
        self.copy = self.row
        self.restores = 0

    def era(self):
        return self.restores

    def restore(self):
        self.row = self.copy
        self.restores += 1

    def _shown(self, row):
        if row.value is None:
            return row
        return attrs.evolve(row, version=version_in_era(self.restores, row.version))

    async def read(self, keys):
        outcome = await super().read(keys)
        return Ok({keys[0]: self._shown(self.row)}) if isinstance(outcome, Ok) else outcome

    async def transact(self, writes):
        first = attrs.evolve(writes[0], expected=number_of(writes[0].expected))
        match await super().transact((first,)):
            case Ok() if writes[0].expected and era_of(writes[0].expected) < self.restores:
                return AnswerLost("the store was restored meanwhile")
            case Ok(value=versions):
                return Ok(
                    {key: version_in_era(self.restores, each) for key, each in versions.items()}
                )
            case Conflict(current=current):
                return Conflict({key: self._shown(row) for key, row in current.items()})
            case outcome:
                return outcome


async def steps(clock, tasks, duration):
    """Steps tasks in turn for some seconds; returns the fencing numbers that were granted."""
    granted, end = [], clock.monotonic() + seconds(duration)
    while clock.monotonic() < end:
        for task in tasks:
            await task.step()
        held = [task.grant() for task in tasks if task.grant() is not None]
        assert len(held) <= 1
        granted.append(held[0].fencing if held else None)
        await clock.sleep(seconds(0.3))
    return granted


async def a_lost_takeover(clock, table, tasks):
    """The second process takes the lease from the first; the copy shows the first as its holder."""
    first, second = tasks[:2]
    await first.step()
    table.copy = table.row
    assert set(await steps(clock, [second], 6)) == {None, 2 * FENCING_STEP}


def test_no_fencing_number_is_given_out_again_after_a_restore():
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        tasks = holders(table, clock)
        await a_lost_takeover(clock, table, tasks)
        table.restore()
        granted = await steps(clock, tasks[2:], 6)
        assert granted[-1] > 2 * FENCING_STEP

    run_virtual(main())


def test_an_earlier_holder_does_not_act_again_after_a_restore():
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        tasks = holders(table, clock)
        await a_lost_takeover(clock, table, tasks)
        table.restore()
        granted = await steps(clock, tasks[:1], 6)
        assert granted.count(None) * seconds(0.3) >= CFG.term
        assert granted[-1] > 2 * FENCING_STEP

    run_virtual(main())


def test_the_present_holder_goes_on_without_a_gap_after_a_restore():
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        tasks = holders(table, clock)
        await a_lost_takeover(clock, table, tasks)
        for _ in range(2):
            table.restore()
            assert set(await steps(clock, tasks, 6)) == {2 * FENCING_STEP}
        table.copy = RestoredTable().row
        table.restore()
        assert set(await steps(clock, tasks, 6)) == {2 * FENCING_STEP}

    run_virtual(main())


def test_a_lease_that_is_missing_from_the_copy_is_taken_after_a_term_with_a_higher_number():
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        tasks = holders(table, clock)
        await a_lost_takeover(clock, table, tasks)
        table.copy = RestoredTable().row
        table.restore()
        granted = await steps(clock, tasks[2:], 6)
        assert granted.count(None) * seconds(0.3) >= CFG.term
        assert granted[-1] > 2 * FENCING_STEP

    run_virtual(main())


def test_a_holder_that_was_replaced_waits_after_a_restore_and_the_release_of_its_successor():
    """Guards against A, B, A: the copy does not show that the first held the lease just before."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        first, second, third = holders(table, clock)
        await third.step()
        await third.release()
        table.copy = table.row
        await first.step()
        table.restore()
        # The first is frozen right after a last renewal was lost; the second takes over.
        assert (await steps(clock, [second], 5.5))[-1] is not None
        await second.release()
        await first.step()
        assert first.grant() is None

    run_virtual(main())


@pytest.mark.parametrize("era", [0, 1])
def test_the_lease_is_kept_from_a_holder_whose_build_knows_no_eras(era):
    """Guards against ONE in an upgrade: such a holder forgets after a restore what it reported."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        (task,) = holders(table, clock, 1)
        old = {"holder": "old", "instance": "old-1", "token": "t", "fencing": 8, "waited_ms": 0}
        table.row = attrs.evolve(table.row, version=1, value={**old, "term_ms": 4000})
        table.restores = era
        renewing = CFG.term if era else seconds(0)
        began = clock.monotonic()
        while table.row.value["instance"] == "old-1":
            table.row = attrs.evolve(table.row, version=table.row.version + 1)
            await task.step()
            await clock.sleep(seconds(0.9))
        taken_after = clock.monotonic() - began
        assert renewing <= taken_after <= renewing + 3 * seconds(0.9)
        assert table.row.value["fencing"] >= FENCING_STEP
        # The grant begins a term after the write, not later; nothing is ordered before.
        quiet = CFG.term - seconds(0.9)
        assert set(await steps(clock, [task], quiet.total_seconds() - 0.4)) == {None}
        await steps(clock, [task], 0.8)
        assert task.grant().may_order(clock.monotonic(), checks_fencing=False)

    run_virtual(main())


@pytest.mark.parametrize("is_restarted", [False, True])
def test_no_holder_acts_beside_an_earlier_build_after_a_release_in_the_quiet_term(is_restarted):
    """Guards against ONE: the grant that the last holder waited for had not ended."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        first, second = holders(table, clock, 2)
        old = {"holder": "old", "instance": "old-1", "token": "t", "fencing": 8, "waited_ms": 0}
        table.row = attrs.evolve(table.row, version=1, value={**old, "term_ms": 4000})
        for _ in range(2):  # takes the lease, and renews it
            await first.step()
        await first.release()
        follower = holders(table, clock, 1)[0] if is_restarted else second
        await follower.step()
        while clock.monotonic() < CFG.term - seconds(0.1):
            await follower.step()
            assert follower.grant() is None
            await clock.sleep(seconds(0.1))
        await steps(clock, [follower], 2)
        assert follower.grant().may_order(clock.monotonic(), checks_fencing=True)
        # Whoever follows later need not wait.
        await follower.release()
        (third,) = holders(table, clock, 3)[2:]
        await third.step()
        assert third.grant().may_order(clock.monotonic(), checks_fencing=True)

    run_virtual(main())


def test_a_holder_that_was_replaced_by_this_build_does_not_act_again_around_its_successor():
    """Guards against A, B, A: the successor began to act a term after it had taken the lease."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        first, upgraded, third = holders(table, clock)
        old = {"holder": "c1", "instance": "old-1", "token": "t", "fencing": 8, "waited_ms": 0}
        table.row = attrs.evolve(table.row, version=1, value={**old, "term_ms": 4000})
        assert (await steps(clock, [first], 4.8))[-1] is not None
        await first.release()
        for task in (upgraded, third):
            await task.step()
        assert upgraded.grant() is None
        assert third.grant() is not None

    run_virtual(main())


@pytest.mark.parametrize("era", [0, 1])
def test_a_process_that_checks_seldom_takes_the_lease_from_an_earlier_build_and_keeps_it(era):
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        old = {"holder": "old", "instance": "old-1", "token": "t", "fencing": 8, "waited_ms": 0}
        table.row = attrs.evolve(table.row, version=1, value={**old, "term_ms": 4000})
        table.restores = era
        rng = random.Random(0)
        task = LeaseTask(CFG, "yqr", "c0", table, clock, Metrics(), rng, lambda: seconds(60))
        running = asyncio.ensure_future(task.run())
        for step in range(200):
            if table.row.value["instance"] == "old-1" and step % 9 == 0:
                table.row = attrs.evolve(table.row, version=table.row.version + 1)
            await asyncio.sleep(0.1)
            assert task.grant() is not None or step < 10 * (era + 1) * 4 + 20
        running.cancel()

    run_virtual(main())


@pytest.mark.parametrize("fencing", [2 * FENCING_STEP, 2 * FENCING_STEP + 1])
def test_a_holder_yields_to_one_of_an_earlier_build_whose_number_is_not_lower(fencing):
    """Guards against a fencing number of two holders: such a build takes a missing row at once."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        tasks = holders(table, clock)
        await a_lost_takeover(clock, table, tasks)
        other = {"holder": "old", "instance": "old-1", "token": "t", "term_ms": 4000}
        value = {**other, "fencing": fencing, "waited_ms": 0}
        table.copy = attrs.evolve(table.row, version=table.row.version + 1, value=value)
        table.restore()
        await tasks[1].step()
        assert tasks[1].grant() is None
        assert table.row.value == value

    run_virtual(main())


def test_a_row_of_a_shorter_term_is_taken_after_a_full_term_if_later_rows_may_be_lost():
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        (task,) = holders(table, clock, 1)
        other = {"holder": "old", "instance": "old-1", "token": "t", "fencing": 1, "waited_ms": 0}
        table.copy = attrs.evolve(table.row, version=5, value={**other, "term_ms": 1000})
        table.restore()
        granted = await steps(clock, [task], 6)
        assert granted.count(None) * seconds(0.3) >= CFG.term
        assert granted[-1] is not None

    run_virtual(main())


EVENTS = ("lost", "late", "out", "heal", "pause", "stop", "kill", "copy", "restore")


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(EVENTS), st.integers(0, 2), st.floats(0.05, 2)), max_size=25
    ),
    st.integers(0, 9),
)
def test_no_interleaving_with_restores_gives_a_number_twice_or_alternates_holders(events, seed):
    async def main():
        clock, table = VirtualClock(), RestoredTable()
        cloud, rng = Fenced(clock), random.Random(seed)
        paused, grants, owners = [0.0] * 3, [None] * 3, {}

        async def order(number, fencing):
            await asyncio.sleep(rng.uniform(0, CFG.order_limit.total_seconds()))
            cloud.take(number, fencing)

        async def keep(number, start):
            name, own = f"c{number}", random.Random(f"{number}{start}")
            task = LeaseTask(CFG, "yqr", name, table, clock, Metrics(), own)
            grants[number] = task.grant
            try:
                while True:
                    await asyncio.sleep(max(0.3, paused[number]))
                    paused[number] = 0.0
                    await task.step()
                    grant = task.grant()
                    if grant is not None:
                        assert owners.setdefault(grant.fencing, name) == name
                        asyncio.ensure_future(order(number, grant.fencing))
            except asyncio.CancelledError as exc:
                if "stop" in exc.args:
                    await task.release()
                raise

        async def watch():
            while True:
                assert sum(grant is not None and grant() is not None for grant in grants) <= 1
                await asyncio.sleep(0.05)

        running = [asyncio.ensure_future(keep(number, 0)) for number in range(3)]
        watching = asyncio.ensure_future(watch())
        for start, (event, number, wait) in enumerate(events, 1):
            if event in ("lost", "late", "out"):
                table.faults.append(event)
            elif event == "heal":
                table.faults.clear()
            elif event == "pause":
                paused[number] = 2 * wait
            elif event == "copy":
                table.copy = table.row
            elif event == "restore":
                table.restore()
            else:
                grants[number] = None
                running[number].cancel(event)
                await asyncio.gather(running[number], return_exceptions=True)
                running[number] = asyncio.ensure_future(keep(number, start))
            await asyncio.sleep(wait)
        table.faults.clear()
        await asyncio.sleep(12)
        assert not any(task.done() for task in (*running, watching))
        assert cloud.taken[-1][0] > clock.monotonic() - seconds(2)
        turns = cloud.turns()
        for (first, _, until), _, (third, again, _) in zip(
            turns, turns[1:], turns[2:], strict=False
        ):
            assert first != third or again - until > ALTERNATION
        fencings = [fencing for _, _, fencing in cloud.taken]
        assert fencings == sorted(fencings)
        assert sorted(owners) == list(owners)
        for task in (*running, watching):
            task.cancel()

    run_virtual(main())


def test_a_holder_goes_on_without_a_gap_while_the_store_is_away_for_a_moment():
    """Guards against a lapse: the next renewal came only after the grant had ended."""

    async def main():
        clock, table = VirtualClock(), RestoredTable()
        cfg = LeaseSettings(term=seconds(3), margin=seconds(0.9), order_limit=seconds(0.8))
        task = LeaseTask(cfg, "yqr", "c0", table, clock, Metrics(), random.Random(0))
        running = asyncio.ensure_future(task.run())
        for _ in range(3):
            await asyncio.sleep(0.6)
            table.copy = table.row
            table.faults.append("out")
            await asyncio.sleep(1.2)
            table.faults.clear()
            table.restore()
            for _ in range(12):
                await asyncio.sleep(0.1)
                assert task.grant() is not None
        running.cancel()

    run_virtual(main())
