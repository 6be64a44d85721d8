"""Tests on sockets: rollouts keep their bounds and their time, whatever ends meanwhile."""

import asyncio
import base64
import contextlib
import itertools
import json

import pytest

from cicadapond.admin import to_jsonable
from cicadapond.forwarding import NoConnection
from cicadapond.gateway.harness import Deployment, deployment
from cicadapond.gateway.relay_test import cut_off
from cicadapond.platform.standin import FleetSettings, RolloutModel, VersionDefect
from cicadapond.rollout import _rollout

SERVICE, OLD, NEW = "plain", "v1", "v2"
NEW_ENGINES = ("n-0", "n-1", "n-2")
CFG = FleetSettings(engines=0, services=3, rolls_out=True)
DURATION_S = 7.0
PAUSE_S = 0.03
WORK_S = 0.01
SHARE, TOLERANCE = 0.1, 50
ROLLBACK_S = 5.0
PHASE_TIMEOUT_S = 20.0
EVENTS, EVENT_PAUSE_S = 10, 0.015


class Traffic:
    """Callers of two routes, half of them at each node, until the traffic is closed."""

    def __init__(self, system: Deployment, callers: int = 6):
        self._system = system
        self._number = itertools.count()
        self.statuses: list[int | None] = []
        self.times: list[float] = []
        self._tasks = [asyncio.ensure_future(self._call(each)) for each in range(callers)]

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, number):
        path = ("/post/x", "/peek/x")[number % 2]
        method = ("POST", "GET")[number % 2]
        while True:
            caller = self._system.caller(number // 2 % len(self._system.nodes))
            with contextlib.suppress(OSError):
                while True:
                    self.times.append(asyncio.get_running_loop().time())
                    answer = await caller.exchange(f"r-{next(self._number)}", path, method=method)
                    self.statuses.append(answer.status)
                    if not answer.is_complete:
                        break
                    await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(PAUSE_S)


def run(check, tmp_path, processes=2):
    async def main():
        async with deployment(tmp_path, CFG, processes) as system:
            for model in system.engines():
                model.processing_time_s = WORK_S
            await system.until_joined()
            await system.until(lambda: holder(system) is not None)
            traffic = Traffic(system)
            await asyncio.sleep(1.0)
            try:
                async with asyncio.timeout(PHASE_TIMEOUT_S + DURATION_S):
                    await check(system, traffic)
            finally:
                await traffic.close()

    asyncio.run(main())


def holder(system):
    """Returns the node that holds the lease, None if none does."""
    held = [node for node in system.nodes if node.state()["lease"]["held_here"]]
    return held[0] if held else None


def rollout(system, defect=None, engines=NEW_ENGINES, duration_s=DURATION_S):
    return RolloutModel(
        system.fleet, SERVICE, NEW, duration_s, engines, defect, processing_time_s=WORK_S
    )


def partition(node):
    """Cuts a node off from the store, and from what the others tell of rollouts."""

    async def call(*args):
        await asyncio.sleep(0.05)
        return NoConnection()

    node._adapters.tables._client.call = call
    node.parts.rollouts.apply = lambda zone, totals: None
    node.parts.rollouts.reported = dict
    node.parts.rollouts.set_state = lambda service, version, state: None


def phase(node):
    return node.state()["rollouts"].get(SERVICE, {}).get("phase")


def check_exposure(model, traffic, duration_s=DURATION_S):
    """Checks both clauses, from what the stand-ins received."""
    limit = model.ordered_at + duration_s
    asked = sum(model.ordered_at <= at <= limit for at in traffic.times)
    assert model.requests() <= SHARE * asked + TOLERANCE
    bad = model.defect.bad_times
    if len(bad) >= 50:
        assert model.last_request_at() <= bad[49] + ROLLBACK_S


def test_a_good_version_is_completed_in_time_and_serves_alone(tmp_path):
    async def check(system, traffic):
        model = rollout(system)
        assert await model.run() == "completed"
        assert model.states[-1][1] <= model.ordered_at + DURATION_S
        assert [state for state, _ in model.states] == ["in_progress", "completed"]
        shown = json.loads(json.dumps(to_jsonable(system.node.state())))["rollouts"][SERVICE]
        assert shown["phase"] == "completed" and shown["evidence"]["new"]["answers"]
        before = len(traffic.statuses)
        await asyncio.sleep(1.0)
        assert len(traffic.statuses) > before
        assert all(status == 200 for status in traffic.statuses[before + 10 :])

    run(check, tmp_path)


@pytest.mark.parametrize(
    "defect",
    [
        VersionDefect(share=0.5),
        VersionDefect(share=0.5, delay_s=0.2),
        VersionDefect(share=0.6, starts_after_s=2.5),
        VersionDefect(share=0.7, route="/peek/"),
    ],
    ids=["failing", "slow", "later", "one-route"],
)
def test_a_bad_version_is_rolled_back_within_both_bounds(tmp_path, defect):
    async def check(system, traffic):
        model = rollout(system, defect)
        assert await model.run() == "rolled_back"
        assert model.states[-1][1] <= model.ordered_at + DURATION_S
        received = model.requests()
        assert received and defect.bad_times, "the version was not tried"
        await asyncio.sleep(0.5)
        assert model.requests() == received
        check_exposure(model, traffic)

    run(check, tmp_path)


@pytest.mark.parametrize("at", ["waiting", "trial", "shift"])
def test_the_next_holder_goes_on_when_one_dies(tmp_path, at):
    async def check(system, traffic):
        duration_s = DURATION_S + 5.0  # the lease passes on after three seconds
        model = rollout(system, duration_s=duration_s)
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: holder(system) and phase(holder(system)) == at, duration_s)
        await holder(system).abort()
        assert await running in ("completed", "rolled_back")
        if at != "shift":  # there is no time left for another holder
            assert model.state == "completed"
        assert model.states[-1][1] <= model.ordered_at + duration_s + 4.0
        assert [state for state, _ in model.states] == ["in_progress", model.state]

    run(check, tmp_path, processes=3)


def test_a_version_that_was_rolled_back_gets_nothing_after_all_processes_restart(tmp_path):
    async def check(system, traffic):
        model = rollout(system, VersionDefect(share=0.8))
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: model.state == "rolled_back", DURATION_S)
        running.cancel()  # the new servers stay listed
        received = model.requests()
        await system.restart_all()
        before = len(traffic.statuses)
        await system.until(lambda: len(traffic.statuses) > before + 100)
        assert model.requests() == received

    run(check, tmp_path)


def test_a_version_that_was_rolled_back_gets_nothing_after_the_store_has_lost_the_verdict(tmp_path):
    async def check(system, traffic):
        store, key = system.fleet.store, f"rollout/{SERVICE}"
        model = rollout(system, VersionDefect(share=0.8))
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: phase(system.node) == "trial", DURATION_S)
        copy = store.copy()
        await system.until(lambda: model.state == "rolled_back", DURATION_S)
        running.cancel()  # the new servers stay listed
        received = model.requests()
        (order,) = [row for row in store.rows("op", key, None) if row.key == key]
        store.restore(copy)
        await asyncio.sleep(1.0)
        store.put("op", key, base64.b64decode(order.value))

        def stored():
            return json.loads(base64.b64decode(store.rows("status", key, None)[0].value))["state"]

        await system.until(lambda: stored() == "rolled_back")
        before = len(traffic.statuses)
        await system.until(lambda: len(traffic.statuses) > before + 200)
        assert [phase(node) for node in system.nodes] == ["rolled_back"] * 2
        assert model.requests() == received

    run(check, tmp_path)


def test_a_process_stops_sending_by_itself_while_the_store_is_down(tmp_path):
    async def check(system, traffic):
        model = rollout(system, VersionDefect(share=0.8, starts_after_s=0.3))
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: phase(system.node) == "trial")
        system.fleet.store.is_down = True
        stopped = system.node.parts.rollouts.is_stopped
        entry = next(each for each in system.node.parts.registry.all() if each.version == NEW)
        await system.until(lambda: stopped(entry))
        received = model.requests()
        await asyncio.sleep(0.5)
        assert model.requests() <= received + 2, "sends that were on their way"
        assert model.state == "in_progress"
        system.fleet.store.is_down = False
        assert await running == "rolled_back"
        check_exposure(model, traffic)

    run(check, tmp_path)


def test_a_process_that_hears_nothing_keeps_its_share_and_stops_by_its_own_evidence(tmp_path):
    async def check(system, traffic):
        model = rollout(system, VersionDefect(share=0.8, starts_after_s=0.5))
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: all(phase(node) == "trial" for node in system.nodes))
        cut = next(node for node in system.nodes if node is not holder(system))
        partition(cut)
        assert await running == "rolled_back"
        assert phase(cut) == "trial"
        await asyncio.sleep(DURATION_S)
        received = model.requests()
        await asyncio.sleep(0.5)
        assert model.requests() == received
        check_exposure(model, traffic)

    run(check, tmp_path, processes=3)


def test_requests_that_are_passed_on_count_against_the_same_bounds(tmp_path):
    async def check(system, traffic):
        cut_off(system.nodes[1], "refuses")
        model = rollout(system, VersionDefect(share=0.8))
        assert await model.run() == "rolled_back"
        received = model.requests()
        assert received
        before = len(traffic.statuses)
        await system.until(lambda: len(traffic.statuses) > before + 100)
        assert model.requests() == received
        assert traffic.statuses[before:].count(200) > 80
        check_exposure(model, traffic)

    run(check, tmp_path)


def test_an_unreadable_state_keeps_requests_from_the_new_version(tmp_path):
    async def check(system, traffic):
        model = rollout(system, VersionDefect(share=0.0))
        running = asyncio.ensure_future(model.run())
        await system.until(lambda: phase(system.node) == "trial")
        system.fleet.store.put("rollouts", SERVICE, b"\xc1")
        await system.until(lambda: all(phase(node) is None for node in system.nodes))
        received = model.requests()
        await asyncio.sleep(0.7)
        assert model.requests() <= received + 2
        running.cancel()

    run(check, tmp_path)


def test_streams_stay_at_their_version_and_none_breaks_when_the_old_servers_stop(tmp_path):
    async def main():
        cfg = FleetSettings(engines=3, services=0, rolls_out=True)
        async with deployment(tmp_path, cfg, processes=2) as system:
            for model in system.engines():
                model.events, model.event_interval_s = EVENTS, EVENT_PAUSE_S
            await system.until_joined()
            await system.until(lambda: holder(system) is not None)
            answers, stop = [], asyncio.Event()

            async def call(name):
                for number in itertools.count():
                    if stop.is_set():
                        return
                    caller = system.caller(int(name[-1]) % 2)
                    await caller.stream(f"{name}-{number}")
                    answers.append(await caller.read_response())
                    caller.abort()

            callers = [asyncio.ensure_future(call(f"c{number}")) for number in range(8)]
            await asyncio.sleep(1.0)
            model = RolloutModel(
                system.fleet,
                "pool",
                NEW,
                DURATION_S,
                NEW_ENGINES,
                events=EVENTS,
                event_interval_s=EVENT_PAUSE_S,
            )
            async with asyncio.timeout(DURATION_S + PHASE_TIMEOUT_S):
                assert await model.run() == "completed"
                await asyncio.sleep(0.5)
                stop.set()
                await asyncio.gather(*callers)
            assert all(len(answer.versions()) == 1 for answer in answers if answer.status == 200)
            broken = [answer for answer in answers if not answer.is_complete]
            assert not broken, f"{len(broken)} of {len(answers)}"

    asyncio.run(main())


def test_streams_wait_that_the_old_servers_would_cut_and_the_new_ones_may_not_get(
    tmp_path, monkeypatch
):
    # Guards against requests beyond a process's part of the exposure that begin on the old version
    # when its servers are about to stop: here all of the shift are.
    monkeypatch.setattr(_rollout, "PART_RESERVE", 1e6)
    test_streams_stay_at_their_version_and_none_breaks_when_the_old_servers_stop(tmp_path)


def test_without_the_contract_no_call_is_made_and_versions_are_equal(tmp_path):
    async def main():
        cfg = FleetSettings(engines=0, services=1)
        async with deployment(tmp_path, cfg) as system:
            model = rollout(system)
            await model.order()
            await system.until(lambda: len(system.node.parts.registry.usable(SERVICE)) == 4)
            traffic = Traffic(system)
            await system.until(lambda: model.requests() > 5)
            await traffic.close()
            tables = {row.table for row in system.fleet.store._rows.values()}
            assert "rollouts" not in tables and "status" not in tables
            counted = system.node._metrics
            assert not counted.counter("feed_calls", table="rollouts", outcome="Ok")

    asyncio.run(main())
