"""Rollouts after the store was restored from an older copy, on virtual time."""

import json
import random

import msgpack
import pytest

from cicadapond.data import Endpoint
from cicadapond.gateway._rollout_tables import OperatorTable, StateTable
from cicadapond.gateway._rollout_task import RolloutTask
from cicadapond.gateway._rollouts import ServiceRollouts
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.placing import Placer
from cicadapond.platform import PlatformRolloutCodec
from cicadapond.provider import Changes, RawRow, Write
from cicadapond.rollout import ExposureBounds, Phase, Rollouts, RolloutState
from cicadapond.serving import ServerEntry
from cicadapond.standin import DirectTables, TableModel

LEASE = LeaseSettings(seconds(3), seconds(0.9), seconds(0.8), seconds(1))
SERVERS = [
    ServerEntry(version, "pool", Endpoint("::1", 1), "z", 8, born=1, version=version)
    for version in ("v1", "v2")
]
# Within this time the operator has written its orders again.
OPERATOR_TIME = seconds(15)


class Log:
    def write(self, event, **fields):
        return None


class Configuration:
    def apply_changes(self, changes, is_snapshot, after_outage):
        return None


class Process:
    """One process's part in rollouts, with a server of each version."""

    def __init__(self, name, store):
        clock, log, codec = store.clock, Log(), PlatformRolloutCodec()
        registry, placer = ServerRegistry(clock), Placer(clock, "z", by_version=True)
        core = Rollouts(clock, ExposureBounds(), random.Random(1))
        self.rollouts = ServiceRollouts(core, registry, placer, clock, log, Metrics())
        self._store = store
        self._operator = OperatorTable(Configuration(), self.rollouts, codec, log)
        self._states = StateTable(self.rollouts, codec, log)
        for number, entry in enumerate(SERVERS):
            registry.put(entry, number + 1)
        tables = DirectTables(store.model)
        self._lease = LeaseTask(
            LEASE, "duties", name, tables, clock, Metrics(), random.Random(name)
        )
        bounds = ExposureBounds()
        self._task = RolloutTask(self.rollouts, self._lease, tables, codec, bounds, clock, log)

    def hear(self):
        """Reads both tables as a whole."""
        self._read(self._operator, "op", lambda value: json.dumps(value).encode())
        self._read(self._states, "rollouts", msgpack.packb)
        self.rollouts.step()

    async def hold_lease(self):
        await self._lease.step()
        while self._lease.grant() is None:
            await self._lease.step()
            await self._store.clock.sleep(seconds(0.5))

    async def decide(self):
        """Decides as the holder of the lease, and hears the outcome."""
        await self.hold_lease()
        await self._task.step("pool")
        self.hear()

    async def settle(self):
        """Decides when the operator has written again what was lost."""
        await self._store.clock.sleep(OPERATOR_TIME)
        self.hear()
        await self.decide()

    async def repair(self, time):
        """Lets a process that does not hold the lease run for some time."""
        end = self._store.clock.monotonic() + time
        while self._store.clock.monotonic() < end:
            await self._task.step("pool")
            await self._store.clock.sleep(seconds(0.25))

    def phase(self):
        return self.rollouts.row("pool").state.phase

    def used(self):
        """Returns the versions that requests are sent to."""
        return {entry.version for entry in self.rollouts.allowed("pool", "route", SERVERS)}

    def _read(self, follower, table, pack):
        rows = self._store.model.rows(table)
        raw = tuple(RawRow(row.key, row.version, pack(row.value)) for row in rows)
        changes = Changes(raw, self._store.model.version, self._store.clock.monotonic())
        follower.apply_changes(changes, True, False)


class Store:
    """The store, with the operator's writes."""

    def __init__(self, clock):
        self.clock = clock
        self.model = TableModel(clock, random.Random(1))
        self._fill(20)

    def _fill(self, count):
        for number in range(count):
            self.model.apply((Write("other", str(number), number),))

    def order(self, to="v2"):
        value = {"service": "pool", "to": to, "duration_s": 60}
        self.model.apply((Write("op", "rollout/pool", value),))
        return self.model.version

    def put_state(self, phase):
        """Writes a state as a holder would."""
        version, now = self.model.row("op", "rollout/pool").version, self.clock.now()
        raw = json.dumps(self.model.row("op", "rollout/pool").value).encode()
        order, _ = PlatformRolloutCodec().decode_order("rollout/pool", raw, version)
        state = RolloutState(order, phase, now, now)
        self.model.apply((Write("rollouts", "pool", state.as_row()),))

    def restore(self, copy):
        self.model.restore(copy)
        # Versions that were given out are given out again.
        self._fill(1)

    def state(self):
        (row,) = self.model.rows("rollouts")
        return RolloutState.read_row(row.value)


def run(check):
    async def main():
        await check(Store(VirtualClock()))

    run_virtual(main())


ENDED = pytest.mark.parametrize(
    ("verdict", "used"), [(Phase.COMPLETED, {"v2"}), (Phase.ROLLED_BACK, {"v1"})]
)


@ENDED
@pytest.mark.parametrize("stored", [Phase.TRIAL, Phase.WAITING, None])
def test_a_verdict_outlasts_a_copy_without_it_and_is_written_again(verdict, used, stored):
    async def check(store):
        store.order()
        if stored is not None:
            store.put_state(stored)
        copy, process = store.model.take_copy(), Process("a", store)
        store.put_state(verdict)
        process.hear()
        store.restore(copy)
        process.hear()
        assert (process.phase(), process.used()) == (verdict, used)
        await process.decide()
        assert store.state().phase is verdict
        assert (process.phase(), process.used()) == (verdict, used)

    run(check)


@ENDED
@pytest.mark.parametrize("has_order", [False, True])
def test_an_order_that_is_written_again_is_the_same_and_a_later_one_is_not(
    verdict, used, has_order
):
    async def check(store):
        empty, process = store.model.take_copy(), Process("a", store)
        store.order()
        copy = store.model.take_copy() if has_order else empty
        store.put_state(verdict)
        process.hear()
        store.restore(copy)
        process.hear()
        await process.decide()
        again = store.order()
        process.hear()
        assert (process.phase(), process.used()) == (verdict, used)
        assert not process.rollouts.is_running("pool")
        await process.decide()
        assert (store.state().phase, process.used()) == (verdict, used)
        await process.settle()
        assert (store.state().phase, store.state().order.row_version) == (verdict, again)
        later = store.order()
        process.hear()
        await process.decide()
        assert store.state().order.row_version == later
        assert process.phase() is (Phase.COMPLETED if verdict is Phase.COMPLETED else Phase.WAITING)

    run(check)


@pytest.mark.parametrize("earlier", ["v0", None])
def test_a_rollout_goes_on_while_its_order_is_not_written_again(earlier):
    async def check(store):
        if earlier is not None:
            store.order(earlier)
        process = Process("a", store)
        await process.hold_lease()
        copy = store.model.take_copy()
        store.order()
        store.put_state(Phase.TRIAL)
        process.hear()
        store.restore(copy)
        process.hear()
        await process.decide()
        assert (process.phase(), store.state().phase) == (Phase.TRIAL, Phase.TRIAL)
        again = store.order()
        process.hear()
        await process.decide()
        assert store.state().phase is Phase.TRIAL
        await process.settle()
        assert store.state().phase is Phase.TRIAL
        assert store.state().order.row_version == again

    run(check)


@pytest.mark.parametrize("earlier", ["v0", None])
def test_an_order_that_is_never_written_again_is_given_up_after_a_while(earlier):
    async def check(store):
        if earlier is not None:
            store.order(earlier)
        copy, process = store.model.take_copy(), Process("a", store)
        store.order()
        store.put_state(Phase.TRIAL)
        process.hear()
        store.restore(copy)
        process.hear()
        await process.settle()
        assert store.state().phase is Phase.ROLLED_BACK

    run(check)


def test_an_order_that_is_given_after_the_restore_is_obeyed_at_once():
    async def check(store):
        store.order()
        copy, process = store.model.take_copy(), Process("a", store)
        store.put_state(Phase.TRIAL)
        process.hear()
        store.restore(copy)
        store.order("v1")
        process.hear()
        await process.decide()
        assert store.state().phase is Phase.ROLLED_BACK
        assert store.state().reason == "superseded"

    run(check)


@pytest.mark.parametrize("verdict", [Phase.COMPLETED, Phase.ROLLED_BACK, Phase.TRIAL])
def test_a_process_that_starts_after_the_restore_takes_no_older_order_for_a_new_one(verdict):
    async def check(store):
        store.order("v0")
        copy, process = store.model.take_copy(), Process("a", store)
        store.order()
        store.put_state(verdict)
        process.hear()
        store.restore(copy)
        process.hear()
        await process.decide()
        fresh = Process("b", store)
        fresh.hear()
        await fresh.decide()
        assert (store.state().order.to, store.state().phase) == ("v2", verdict)
        again = store.order()
        fresh.hear()
        await fresh.decide()
        assert store.state().phase is verdict
        await fresh.settle()
        assert (store.state().phase, store.state().order.row_version) == (verdict, again)

    run(check)


def test_a_verdict_is_written_again_if_only_processes_without_the_lease_know_it():
    async def check(store):
        store.order()
        store.put_state(Phase.TRIAL)
        copy, process = store.model.take_copy(), Process("a", store)
        store.put_state(Phase.COMPLETED)
        process.hear()
        store.restore(copy)
        process.hear()
        fresh = Process("b", store)
        fresh.hear()
        assert fresh.phase() is Phase.TRIAL
        await process.repair(LEASE.term)
        fresh.hear()
        assert (fresh.phase(), store.state().phase) == (Phase.COMPLETED, Phase.COMPLETED)

    run(check)
