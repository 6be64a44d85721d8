"""Tests of the checks around planned changes, and of what the callers draw."""

import asyncio
import random

import attrs
import pytest

from cicadapond.platform.standin import Caller, EndlessAnswer, EngineModel, EngineServer
from cicadapond.soak import CallRecord, History, check
from cicadapond.soak._limits import MAX_CPU_SHARE, MIN_MEMORY_MB, draw_limits
from cicadapond.soak._operator import MAX_SENT_BODY_BYTES
from cicadapond.soak._records import (
    LONG,
    PROBE,
    ConfigurationRecord,
    MemoryExcess,
    PlannedChange,
    Run,
)
from cicadapond.soak._requests import STREAM_WEIGHTS, WEIGHTS, draw_behaviour, draw_upload

CUT = CallRecord(
    "r-1", LONG, "k", 0, 10.0, 10.5, 200, target="/long/x", sent_whole_at=10.01, digest=b"d"
)
WHOLE = attrs.evolve(CUT, is_complete=True)
RUN = Run("r-1", "s-0", 10.05, "left", content=("POST", "/long/x", b"d"))
CHANGE = PlannedChange("configuration 7", 9.0, 13.0)
CONFIGURATION = ConfigurationRecord(
    1, 1.0, {"/long/": frozenset(("left",))}, {"/long/": 9.0}, frozenset("k")
)


def configured(version, at, service=None):
    routes = {"/long/": frozenset((service,))} if service else {}
    return attrs.evolve(CONFIGURATION, version=version, at=at, services=routes)


def history(call=CUT, **changes):
    defaults = {"runs": [RUN], "changes": [CHANGE], "configurations": [CONFIGURATION]}
    return History(calls=[call], **(defaults | changes))


def refused(status=404, **changes):
    return attrs.evolve(WHOLE, status=status, **changes)


@pytest.mark.parametrize(
    ("guarantee", "found"),
    [
        ("no request lost", history()),
        ("no request lost", history(attrs.evolve(CUT, status=None), runs=[])),
        ("no request lost", history(changes=[attrs.evolve(CHANGE, process=0, what="SIGHUP")])),
        ("no request lost", history(fault_spans=[(6.0, 6.9)])),
        ("an end in time", history(attrs.evolve(CUT, timed_out=True, ended_at=18.0))),
        ("memory", history(WHOLE, memory_excesses=[MemoryExcess(0, 9.0, 170.0, 160)])),
        ("runs at most once", history(WHOLE, runs=[RUN, attrs.evolve(RUN, server="s-1")])),
        ("runs at most once", history(WHOLE, runs=[attrs.evolve(RUN, is_resumed=True)])),
        ("unchanged requests", history(attrs.evolve(WHOLE, digest=b"e"))),
        ("unchanged requests", history(attrs.evolve(WHOLE, target="/long/y"))),
        ("configurations", history(refused(), runs=[])),
        ("configurations", history(refused(401), runs=[])),
        ("configurations", history(WHOLE, runs=[attrs.evolve(RUN, service="right")])),
        (
            "configurations",
            history(WHOLE, configurations=[CONFIGURATION, configured(2, 7.7, "right")]),
        ),
        ("configurations", history(WHOLE, configurations=[CONFIGURATION, configured(2, 7.7)])),
    ],
)
def test_each_broken_guarantee_around_a_change_is_found_once(guarantee, found):
    assert [violation.guarantee for violation in check(found)] == [guarantee]


@pytest.mark.parametrize(
    "found",
    [
        history(WHOLE),
        history(attrs.evolve(CUT, has_left=True)),
        history(attrs.evolve(CUT, sent_whole_at=None)),
        history(attrs.evolve(CUT, ended_at=10.1), runs=[]),
        history(attrs.evolve(CUT, time_limit=0.7)),
        history(broken_off={"r-1"}),
        history(fault_spans=[(6.0, 7.1)]),
        history(changes=[attrs.evolve(CHANGE, begin=5.0, end=9.0)]),
        history(changes=[attrs.evolve(CHANGE, process=1)]),
        history(WHOLE, runs=[RUN, attrs.evolve(RUN, is_moved=True, is_resumed=True)]),
        history(refused(), runs=[], configurations=[CONFIGURATION, configured(2, 9.9)]),
        history(WHOLE, configurations=[CONFIGURATION, configured(2, 7.9, "right")]),
    ],
)
def test_what_may_happen_around_a_change_is_no_violation(found):
    assert check(found) == []


def test_a_process_that_goes_back_to_an_earlier_configuration_is_found():
    new = attrs.evolve(WHOLE, id="r-2", kind=PROBE, target="/new/x", status=200)
    old = attrs.evolve(new, id="r-3", sent_at=13.1, ended_at=13.2, status=404)
    second = configured(2, 9.0, "left")
    second.services["/new/"] = frozenset(("left",))
    run = attrs.evolve(RUN, id="r-2", content=("POST", "/new/x", b"d"))
    found = History(
        calls=[new, old],
        runs=[run],
        starts=[(0, 1.0)],
        configurations=[CONFIGURATION, second],
        fault_spans=[(9.0, 13.0)],
    )
    assert [each.guarantee for each in check(found)] == ["configurations go back"]
    found.starts.append((0, 12.0))
    assert check(found) == []


def test_what_callers_draw_covers_all_kinds_and_sizes():
    rng = random.Random(1)
    drawn = [draw_behaviour(rng, WEIGHTS | STREAM_WEIGHTS, ["/extra-1/"]) for _ in range(2000)]
    assert {each.kind for each in drawn} == WEIGHTS.keys() | STREAM_WEIGHTS.keys()
    assert any(each.stay_s for each in drawn)
    assert any(each.half_closes for each in drawn)
    uploads = [draw_upload(rng) for _ in range(500)]
    sizes = [sum(map(len, each.pieces)) for each in uploads]
    assert min(sizes) == 0
    assert 60_000 < max(sizes) <= MAX_SENT_BODY_BYTES
    assert {(each.is_chunked, bool(each.pauses)) for each in uploads} == {
        (chunked, paused) for chunked in (False, True) for paused in (False, True)
    }
    limits = [draw_limits(rng) for _ in range(100)]
    assert min(each.memory_mb for each in limits) == MIN_MEMORY_MB
    assert max(each.cpu_share for each in limits) <= MAX_CPU_SHARE


def test_bodies_arrive_whole_however_they_are_sent():
    async def main():
        model = EngineModel("s-0")
        server = EngineServer(model)
        caller = Caller(await server.start())
        rng = random.Random(2)
        uploads = [draw_upload(rng) for _ in range(20)]
        for number, upload in enumerate(uploads):
            answer = await caller.exchange(f"r-{number}", "/post/x", body=upload)
            assert answer.is_complete
        caller.abort()
        await server.stop()
        return uploads, model

    uploads, model = asyncio.run(main())
    assert [each[4] for each in model.executed_requests] == [
        b"".join(upload.pieces) for upload in uploads
    ]


@pytest.mark.parametrize("endless", EndlessAnswer)
def test_endless_answers_go_on_until_the_caller_leaves(endless):
    async def main():
        model = EngineModel("s-0", endless=(endless,))
        server = EngineServer(model)
        caller = Caller(await server.start())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await caller.send("r-1", "/post/x")
                await asyncio.sleep(1.0)
        caller.abort()
        while not model.endless_bytes:
            await asyncio.sleep(0.01)
        await server.stop()
        return model.endless_bytes

    assert asyncio.run(main()) > 5000
