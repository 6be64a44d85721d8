"""Tests of the checks, the fault plans and the proxy, and a short soak."""

import asyncio
import contextlib
import socket
import struct

import attrs
import pytest

from cicadapond.kernel import ManualClock
from cicadapond.platform.standin import (
    Answer,
    EngineModel,
    EngineServer,
    StoreModel,
    stream_event,
)
from cicadapond.soak import CallRecord, Fault, History, SoakSettings, check, make_plan, run_soak
from cicadapond.soak._callers import is_expected_answer
from cicadapond.soak._injections import FaultInjector
from cicadapond.soak._partitions import PartitionInjector
from cicadapond.soak._plan import CUTS_NOTHING, PARTITIONS, UNSTATED, VERSIONS, parse_seeds
from cicadapond.soak._planned import ChangeInjector
from cicadapond.soak._proxy import POLL_S, NetworkFault, Proxy
from cicadapond.soak._records import (
    HISTORY_NAME,
    PLAIN,
    STREAM,
    BrittleTime,
    ComparedTimes,
    Cut,
    Hold,
    RolloutRecord,
    Run,
    StatedLimit,
)
from cicadapond.soak._restore import go_back, write_again

CALL = CallRecord("r-1", PLAIN, "k", 0, 10.0, 10.1, 200, True)
RUN = Run("r-1", "s-0", 10.05)


ROLLOUT = RolloutRecord("plain", "r1", False, 9.0, ("r1-0",), 1.0, "rolled_back", 4.0)


def rolled_out(runs=0, at=2.0, **changes):
    """Returns a history with a rollout and requests at its version, all at one time."""
    ran = [Run(f"r-{number}", "r1-0", at) for number in range(runs)]
    return history(rollouts=[attrs.evolve(ROLLOUT, **changes)], runs=ran)


def history(**changes):
    return attrs.evolve(History(calls=[CALL], runs=[RUN]), **changes)


def call(**changes):
    return attrs.evolve(CALL, **changes)


def test_a_history_without_faults_has_no_violations():
    assert check(history()) == []
    assert check(rolled_out(runs=50)) == []
    assert check(rolled_out(is_good=True, outcome="completed")) == []


@pytest.mark.parametrize(
    ("guarantee", "found"),
    [
        ("runs at most once", history(runs=[RUN, attrs.evolve(RUN, server="s-1")])),
        ("said not to have run", history(calls=[call(status=503)])),
        ("own answers, in order", history(calls=[call(is_correct=False)])),
        ("removed keys", history(keys_removed={"k": 5.0})),
        ("rollouts", rolled_out(outcome="completed")),
        ("rollouts", rolled_out(outcome=None)),
        ("rollouts", rolled_out(is_good=True)),
        ("rollouts", rolled_out(ended_at=10.5)),
        ("rollouts", rolled_out(runs=51)),
        ("rollouts", rolled_out(runs=1, at=8.0, bad_times=[2.0] * 50)),
        ("rollouts", rolled_out(runs=1, at=9.5)),
        ("leaving servers", history(drained={"s-0": 7.5})),
        (
            "stated limits",
            history(
                calls=[call(id=f"r-{n}") for n in range(20)],
                runs=[Run(f"r-{n}", "s-0", 10.0 + n / 5) for n in range(20)],
                limits=[StatedLimit("s-0", 1.0, 9.0, 15.0)],
            ),
        ),
        (
            "one software version",
            history(
                calls=[
                    call(kind=STREAM, versions={"v1"}),
                    call(id="r-2", kind=STREAM, resumes="r-1", versions={"v2"}),
                ]
            ),
        ),
        ("one engine at a time", history(double_runs=[(10.0, "r-1")])),
        ("usage once", history(reports={7: [{"a": 1}, {"a": 2}]})),
        ("one holder", history(holders={(("usage",), 3): {"edge-0", "edge-1"}})),
        ("runs until it is stopped", history(unexpected_exits=[(1, -6)])),
        (
            "crashing prompts",
            history(
                calls=[],
                runs=[Run(f"r-{n}", "s-0", 20.0 + n) for n in range(4)],
                crashing_ids={f"r-{n}" for n in range(4)},
                prompt_crashes=[10.0, 10.5, 11.0, 11.5, 12.0],
            ),
        ),
        (
            "served without links",
            history(
                calls=[
                    call(id=f"r-{n}", status=503 if n % 2 else 200, process=n % 2)
                    for n in range(40)
                ],
                runs=[],
                cuts=[Cut(1, 5.0, 15.0)],
            ),
        ),
        (
            "silent servers",
            history(calls=[call(is_complete=False)], holds=[Hold("s-0", 10.0, 11.0)]),
        ),
        (
            "brittle servers",
            history(brittle_times=[BrittleTime(8.0, 20.0, 4, (11.0, 12.0, 13.0))]),
        ),
        (
            "planned stops",
            history(calls=[call(status=None, is_complete=False)], planned_stops=[(0, 9.0, 11.0)]),
        ),
        (
            "recovery",
            history(calls=[call(status=503, sent_at=90.0)], runs=[], faults_ended_at=50.0),
        ),
        ("recovery", history(not_ready=[1])),
    ],
)
def test_each_broken_guarantee_is_found_once(guarantee, found):
    assert [violation.guarantee for violation in check(found)] == [guarantee]


@pytest.mark.parametrize(
    "found",
    [
        history(keys_removed={"k": 5.1}),
        history(drained={"s-0": 7.5}, fault_spans=[(8.0, 9.0)]),
        history(reports={7: [{"a": 1}, {"a": 1}]}),
        history(
            calls=[call(status=None, is_complete=False)],
            planned_stops=[(0, 9.0, 11.0)],
            fault_spans=[(7.5, 7.6)],
        ),
        history(calls=[call(status=None, is_complete=False)], planned_stops=[(1, 9.0, 11.0)]),
        history(
            calls=[call(status=None, is_complete=False)], runs=[], planned_stops=[(0, 9.0, 11.0)]
        ),
        history(calls=[call(status=401, sent_at=90.0)], runs=[], keys_removed={"k": 60.0}),
    ],
)
def test_documented_exceptions_are_no_violations(found):
    assert check(found) == []


def test_plans_are_reproducible_and_every_fault_can_be_injected():
    assert make_plan(3, 60.0) == make_plan(3, 60.0)
    assert make_plan(3, 60.0) != make_plan(4, 60.0)
    everything = [make_plan(seed, 30.0, True, True) for seed in range(40)]
    assert {each.fault for plan in everything for each in plan} == set(Fault)
    assert {each.fault for each in make_plan(3, 600.0)} <= set(CUTS_NOTHING)
    others = [each for each in make_plan(4, 60.0, True) if each.fault is not Fault.STORE_RESTORED]
    assert others == make_plan(4, 60.0)
    apart = PARTITIONS + VERSIONS + UNSTATED
    others = [each for each in make_plan(4, 60.0, False, True) if each.fault not in apart]
    assert others == make_plan(4, 60.0)
    injected = {*dir(FaultInjector), *dir(ChangeInjector), *dir(PartitionInjector)}
    assert all(f"inject_{fault.name.lower()}" in injected for fault in Fault)


def test_after_a_restore_only_what_is_still_lost_of_others_rows_is_written_again():
    store = StoreModel(ManualClock())
    store.put("servers", "left", {})
    store.put("servers", "changed", {"state": "ready"})
    copy = store.copy()
    store.put("servers", "left", None)
    store.put("servers", "changed", {"state": "draining"})
    store.put("servers", "brief", {})
    store.put("servers", "brief", None)
    store.put("op", "config", {"version": 2})
    store.put("processes", "edge-0", {})
    before = store.copy()
    lost = go_back(store, copy)
    assert [row.key for row in lost] == ["left", "changed", "config"]
    store.put("op", "config", {"version": 3})
    write_again(store, copy, lost)
    values = {row.key: row.value for row in before.rows if row.value is not None}
    found = {row.key: row.value for row in store.copy().rows if row.value is not None}
    assert found.keys() == {"changed", "config"}
    assert found["changed"] == values["changed"]
    assert found["config"] != values["config"]


def test_seeds_are_read_as_a_list_or_a_range():
    assert parse_seeds("3") == [3]
    assert parse_seeds("1,5") == [1, 5]
    assert parse_seeds("2-4") == [2, 3, 4]
    with pytest.raises(ValueError, match="invalid literal"):
        parse_seeds("a-b")


@pytest.mark.parametrize(
    ("numbers", "is_whole", "expected"),
    [
        ((1, 2, 3, 4), True, True),
        ((1, 2), False, True),
        ((1, 2, 3), True, False),
        ((1, 3), False, False),
        ((1, 2, 2), False, False),
    ],
)
def test_streams_are_compared_event_by_event(numbers, is_whole, expected):
    body = b"".join(stream_event(n, "r-1", "v1") for n in numbers)
    answer = Answer(200, {}, body + b"id: ", is_whole)
    assert is_expected_answer(call(kind=STREAM), answer) is expected


def test_a_proxy_forwards_holds_back_and_resets():
    async def main():
        async def echo(reader, writer):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(100):
                    writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[1])
        port = await proxy.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        proxy.set(NetworkFault.ONE_WAY)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(100)
        proxy.set(NetworkFault.NONE)
        assert await reader.read(100) == b"two"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        await proxy.stop()
        server.close()

    asyncio.run(main())


def test_a_proxy_that_is_started_by_several_at_once_listens_once():
    """Guards against a soak that ends with an error as two restarts of a server overlap."""

    async def main():
        proxy = Proxy(1)
        ports = await asyncio.gather(*(proxy.start() for _ in range(3)))
        await proxy.stop()
        return ports

    assert len(set(asyncio.run(main()))) == 1


def test_bytes_that_are_held_up_are_lost_if_their_sender_resets_the_connection():
    """Guards against a request that reaches a server after its attempt was given up."""

    async def main():
        received, ended = [], asyncio.Event()

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                received.append(await reader.read())
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[1])
        _, writer = await asyncio.open_connection("127.0.0.1", await proxy.start())
        proxy.set(NetworkFault.HOLD)
        writer.write(b"request")
        await writer.drain()
        await asyncio.sleep(2 * POLL_S)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        async with asyncio.timeout(10):
            await ended.wait()
        proxy.set(NetworkFault.NONE)
        await proxy.stop()
        server.close()
        return received

    assert asyncio.run(main()) == []


def test_a_short_run_of_real_processes_has_no_violations(tmp_path):
    seen, violations = asyncio.run(run_soak(SoakSettings(8, 6.0, tmp_path)))
    assert violations == []
    assert len(seen.runs) > 100


@pytest.mark.parametrize(("disturbed_s", "found"), [(0.14, 0), (0.16, 1)])
def test_times_that_grow_with_costly_answers_are_a_violation(disturbed_s, found):
    calls = [call(sent_at=at / 10, ended_at=at / 10 + 0.1) for at in range(60)]
    calls += [call(sent_at=6 + at / 10, ended_at=6 + at / 10 + disturbed_s) for at in range(60)]
    times = history(calls=calls, busy_spans=[(0.0, 12.0)])
    times.compared_times.append(ComparedTimes(0.0, 6.0, 12.0))
    assert len([each for each in check(times) if each.guarantee == "costly answers"]) == found


def test_each_plan_restarts_processes_whose_settings_change_at_once():
    for seed in range(9):
        assert Fault.EARLY_HANG_UP in [each.fault for each in make_plan(seed, 60.0)]


def test_a_short_run_beside_busy_processes_has_no_violations(tmp_path):
    """Guards against CONFIG and FAULT on machines that give a process a share of a core."""
    cfg = SoakSettings(9849, 6.0, tmp_path, neighbours=2, compares_times=True)
    seen, violations = asyncio.run(run_soak(cfg))
    assert violations == []
    assert seen.compared_times and seen.early_changes


def test_streams_go_on_while_processes_are_cut_off_and_versions_change(tmp_path):
    """Guards against LOST and ORDER at a process that is out of step with the others."""
    cfg = SoakSettings(
        117, 9.0, tmp_path, processes=6, zones=3, partitions=True, resuming_callers=32
    )
    seen, violations = asyncio.run(run_soak(cfg))
    seen.write(tmp_path / HISTORY_NAME)
    assert violations == []
    assert seen.partitions


def test_a_run_in_which_a_window_was_reported_twice_after_a_restore_has_no_violations(tmp_path):
    cfg = SoakSettings(14, 25.0, tmp_path, restores=True)
    seen, violations = asyncio.run(run_soak(cfg))
    assert violations == []
    assert seen.restores == 3


@pytest.mark.parametrize("turns", range(8))
def test_a_killed_engine_serves_no_connection_that_it_had_just_accepted(turns):
    """Guards against streams with events of two versions that no gateway has caused."""

    async def main():
        server = EngineServer(EngineModel("s-0"))
        with socket.create_connection(("127.0.0.1", await server.start())) as sock:
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.stop(resets=False)
            with contextlib.suppress(ConnectionError):
                sock.sendall(b"POST /stream/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.05)
        return server.model.ids()

    assert asyncio.run(main()) == []
