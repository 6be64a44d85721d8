"""Tests the simulated engine: answers, batching, cache, KV transfer, orders, notices and faults."""

import asyncio

import pytest

from cicadapond.backend import Accepted, NotSent, OrderRefused
from cicadapond.data import (
    BackendServer,
    Broken,
    Endpoint,
    FailureKind,
    Finished,
    GenerateCall,
    Order,
    OrderKind,
    Priority,
    ServerKind,
    Token,
)
from cicadapond.kernel import Ok, Unavailable, VirtualClock, run_virtual, seconds
from cicadapond.standin import (
    DirectEngine,
    EngineModel,
    EngineSettings,
    EngineTiming,
    expected_tokens,
)

PROMPT = " ".join(f"w{number}" for number in range(64))


def make_engine(name="a", models=None, **cfg):
    model = EngineModel(EngineTiming(), VirtualClock(), EngineSettings(**cfg), name)
    models = {} if models is None else models
    models[name] = model
    server = BackendServer(name, ServerKind.ENGINE, "pool", "yqr", Endpoint("127.0.0.1", 1))
    return model, DirectEngine(model, server, models)


def make_call(stream_id="s", epoch=1, prompt=PROMPT, max_tokens=6, **fields):
    return GenerateCall(stream_id, epoch, "shade", "v1", prompt, max_tokens, **fields)


async def read_all(stream):
    events = []
    while not events or isinstance(events[-1], Token):
        events.extend(await stream.read())
    return events


def texts(events):
    return [event.text for event in events if isinstance(event, Token)]


async def generate(engine, call):
    return await read_all(engine.generate(call))


def test_an_answer_is_complete_and_resumes_with_the_same_tokens():
    async def main():
        _, engine = make_engine()
        call = make_call()
        expected = expected_tokens(call)
        events = await generate(engine, call)
        assert texts(events) == expected
        assert events[-1] == Finished(1, 6, "length", 0, 64, "s")
        rest = await generate(engine, make_call(epoch=2, resume=tuple(expected[:4])))
        assert texts(rest) == expected[4:]
        assert rest[0].sequence == 4
        assert rest[-1].cached_tokens == 64

    run_virtual(main())


def test_a_stop_text_ends_an_answer():
    async def main():
        _, engine = make_engine()
        third = expected_tokens(make_call())[2]
        call = make_call(stop=(third,))
        events = await generate(engine, call)
        assert texts(events) == expected_tokens(call)
        assert events[-1].reason == "stop"

    run_virtual(main())


def test_slots_are_limited_and_interactive_requests_run_first():
    async def main():
        _, engine = make_engine(slots=1)
        order = []

        async def requester(name, priority):
            await generate(engine, make_call(name, priority=priority))
            order.append(name)

        names = (("batch", 2), ("standard", 1), ("urgent", 0))
        await asyncio.gather(*(requester(name, Priority(level)) for name, level in names))
        return order

    assert run_virtual(main()) == ["urgent", "standard", "batch"]


def test_the_cache_evicts_the_least_recently_used_prefix_and_publishes_it():
    async def main():
        model, engine = make_engine(cache_blocks=4, event_gap_share=0.0, event_lag=seconds(2))
        await generate(engine, make_call("one", max_tokens=1))
        await generate(engine, make_call("two", prompt="x " * 64, max_tokens=1))
        again = await generate(engine, make_call("three", max_tokens=1))
        assert again[-1].cached_tokens == 0
        assert model.cache_events(0) == Ok(())
        await asyncio.sleep(2)
        events = model.cache_events(0).value
        assert [event.number for event in events] == list(range(1, len(events) + 1))
        assert sum(not event.stored for event in events) == 8

    run_virtual(main())


def test_gaps_in_cache_events_show_in_their_numbers():
    async def main():
        model, engine = make_engine(event_gap_share=0.5, event_lag=seconds(0))
        await generate(engine, make_call(prompt="y " * 640, max_tokens=1))
        numbers = [event.number for event in model.cache_events(0).value]
        assert 0 < len(numbers) < 40
        assert max(numbers) > len(numbers)

    run_virtual(main())


def test_kv_export_avoids_the_prefill_and_takes_time():
    async def main():
        models = {}
        _, source = make_engine("a", models)
        _, target = make_engine("b", models)
        call = make_call(max_tokens=50)
        stream = source.generate(call)
        received = list(await stream.read())
        before = asyncio.get_running_loop().time()
        handle = (await source.export_kv("s", target.server, seconds(5))).value
        assert asyncio.get_running_loop().time() > before
        received += await stream.read()
        stream.close()
        resume = tuple(texts(received))
        moved = make_call(epoch=2, max_tokens=50, resume=resume, kv_handle=handle)
        events = await generate(target, moved)
        assert list(resume) + texts(events) == expected_tokens(call)
        assert events[-1].computed_tokens < 8

    run_virtual(main())


def test_a_kv_export_fails_if_the_engine_goes_down_or_the_limit_is_too_short():
    async def main():
        models = {}
        model, source = make_engine("a", models)
        _, target = make_engine("b", models)
        stream = source.generate(make_call(max_tokens=500))
        await stream.read()
        short = await source.export_kv("s", target.server, seconds(0.001))
        assert isinstance(short, NotSent)
        model.reclaim(seconds(0.01))
        assert isinstance(await source.export_kv("s", target.server, seconds(5)), Unavailable)
        assert (await read_all(stream))[-1].kind is FailureKind.CRASHED

    run_virtual(main())


@pytest.mark.parametrize(("checks", "outcome"), [(True, OrderRefused), (False, Accepted)])
def test_only_some_engines_check_the_fencing_number(checks, outcome):
    async def main():
        _, engine = make_engine(checks_fencing=checks)
        await engine.order(Order(OrderKind.DRAIN, 7))
        return await engine.order(Order(OrderKind.RESUME, 6))

    assert isinstance(run_virtual(main()), outcome)


def test_loading_a_version_takes_time_and_waits_for_running_attempts():
    async def main():
        model, engine = make_engine(model="shade", version="v1", load_duration=seconds(9))
        running = asyncio.ensure_future(generate(engine, make_call(max_tokens=50)))
        await asyncio.sleep(0.1)
        await engine.order(Order(OrderKind.RUN, 1, model="shade", version="v2"))
        refused = await generate(engine, make_call("other"))
        assert refused[-1].kind is FailureKind.REFUSED
        assert isinstance((await running)[-1], Finished)
        assert model.state().value.version == "v1"
        await asyncio.sleep(10)
        assert model.state().value.version == "v2"
        old = await generate(engine, make_call("old"))
        assert old[-1].kind is FailureKind.REFUSED

    run_virtual(main())


def test_a_load_report_lags_and_reports_a_reclaim_notice():
    async def main():
        model, engine = make_engine(report_lag=seconds(1))
        assert model.load_report().value.running == 0
        running = asyncio.ensure_future(generate(engine, make_call(max_tokens=500)))
        await asyncio.sleep(0.5)
        assert model.load_report().value.running == 0
        await asyncio.sleep(2)
        report = model.load_report().value
        assert report.running == 1
        assert seconds(1) <= report.age <= seconds(2)
        model.reclaim(seconds(5))
        await asyncio.sleep(2.5)
        assert model.load_report().value.leaving
        await running
        assert isinstance(model.load_report(), Unavailable)

    run_virtual(main())


def test_a_poison_prompt_crashes_the_engine_and_it_comes_back():
    async def main():
        model, engine = make_engine(restart_duration=seconds(5))
        model.faults.poison = "poison"
        good = asyncio.ensure_future(generate(engine, make_call("good", max_tokens=100)))
        await asyncio.sleep(0.2)
        bad = await generate(engine, make_call("bad", prompt="a poison b"))
        assert bad[-1].kind is FailureKind.CRASHED
        assert (await good)[-1].kind is FailureKind.CRASHED
        down = await generate(engine, make_call("later"))
        assert down[-1].kind is FailureKind.UNREACHABLE
        await asyncio.sleep(5.1)
        assert isinstance((await generate(engine, make_call("good", 2)))[-1], Finished)

    run_virtual(main())


def test_each_stream_fault_can_be_injected():
    async def main():
        model, engine = make_engine()
        model.faults.truncate_share = 1.0
        cut = await generate(engine, make_call("cut", max_tokens=50))
        assert cut[-1] == Broken(1, FailureKind.TRUNCATED, "the stream ended without its end")
        model.faults.truncate_share = 0.0
        model.faults.late_share = 1.0
        assert (await generate(engine, make_call("late", 2)))[0].epoch == 1
        model.faults.late_share = 0.0
        model.faults.cross_share = 1.0
        other = asyncio.ensure_future(generate(engine, make_call("other", max_tokens=50)))
        await asyncio.sleep(0.1)
        assert (await generate(engine, make_call("own")))[0].stream_id == "other"
        await other
        model.faults.cross_share = 0.0
        silent = engine.generate(make_call("silent", max_tokens=50))
        await silent.read()
        assert model.silence_streams() == 1
        assert isinstance((await generate(engine, make_call("new")))[-1], Finished)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(silent.read(), 60)

    run_virtual(main())


def test_a_paused_reader_delays_only_its_own_stream():
    async def main():
        _, engine = make_engine()
        slow = engine.generate(make_call("slow", max_tokens=300))
        slow.pause()
        assert isinstance((await generate(engine, make_call("fast", max_tokens=200)))[-1], Finished)
        await asyncio.sleep(60)
        slow.resume()
        first = await slow.read()
        assert len(first) < 300
        rest = await read_all(slow)
        assert texts([*first, *rest]) == expected_tokens(make_call(max_tokens=300))

    run_virtual(main())
