"""The completion runner with simulated engines: answers are complete despite engine faults."""

import asyncio
import random

import pytest

from cicadapond.data import Completion, GenerateCall, Priority
from cicadapond.entry._completion_settings import CompletionSettings
from cicadapond.experiments._engines import EngineBench, RecordingSink, random_words
from cicadapond.kernel import Failed, NotRun, Ok, run_virtual, seconds
from cicadapond.standin import EngineSettings, expected_tokens


def on_bench(body, **fields):
    """Runs a test's body with a bench, which checks at the end that no attempt is left open."""

    async def main():
        bench = EngineBench(**fields)
        result = await body(bench)
        await bench.close()
        return result

    return run_virtual(main())


async def ask_many(bench, count, max_tokens=60, **fields):
    rng = random.Random(7)
    entries = len(bench.entries)
    asked = [
        bench.ask(number % entries, random_words(rng, 30), max_tokens, **fields)
        for number in range(count)
    ]
    return await asyncio.gather(*asked)


FAULTS = {
    "silent_share": 0.2,
    "truncate_share": 0.2,
    "late_share": 1.0,
    "cross_share": 0.5,
}


@pytest.mark.parametrize("fault", [*FAULTS, "all"])
def test_answers_are_complete_despite_stream_faults(fault):
    async def body(bench):
        for model in bench.models.values():
            for name in FAULTS if fault == "all" else (fault,):
                setattr(model.faults, name, FAULTS[name])
            model.faults.truncate_share = model.faults.truncate_share or 0.05
        return await ask_many(bench, 60)

    assert all(asked.complete for asked in on_bench(body, engines=3, seed=1))


def test_a_crashed_attempt_resumes_on_another_engine():
    async def body(bench):
        asking = asyncio.ensure_future(ask_many(bench, 40, max_tokens=200))
        await asyncio.sleep(1)
        bench.models["e0"].crash()
        await asyncio.sleep(1)
        bench.models["e1"].shut_down()
        return await asking

    assert all(asked.complete for asked in on_bench(body, engines=4, entries=2))


def test_a_request_waits_for_an_engine_until_its_deadline():
    async def body(bench):
        bench.models["e0"].faults.refuse = True
        asking = asyncio.ensure_future(ask_many(bench, 3, deadline=seconds(60)))
        late = await bench.ask(0, "too late", 5, deadline=seconds(1))
        await asyncio.sleep(10)
        bench.models["e0"].faults.refuse = False
        return late, await asking

    late, asked = on_bench(body, engines=1)
    assert isinstance(late.outcome, NotRun)
    assert late.outcome.retry_after is not None
    assert all(found.complete for found in asked)


def test_not_run_is_returned_only_if_no_engine_ran_any_of_it():
    async def body(bench):
        bench.models["e0"].faults.silent_share = 1.0
        asked = await bench.ask(0, "a b", 50, deadline=seconds(20))
        started = bench.counter_total("started")
        bench.models["e0"].shut_down()
        return asked.outcome, started, (await bench.ask(0, "a b", 50)).outcome

    ran, started, gone = on_bench(body, engines=1)
    assert isinstance(ran, Failed)
    assert started > 0
    assert isinstance(gone, NotRun)


def test_the_model_version_is_never_mixed_within_an_answer():
    cfg = EngineSettings(model="shade-model", version="v2")

    async def body(bench):
        bench.models["e0"]._version = "v1"
        asking = asyncio.ensure_future(bench.ask(0, "a b c", 200, deadline=seconds(90)))
        await asyncio.sleep(2)
        bench.models["e0"].crash()
        return await asking

    asked = on_bench(body, engines=3, engine=cfg)
    assert asked.complete
    assert asked.duration > seconds(5)


def test_a_new_request_uses_the_version_that_is_served_while_the_next_one_loads():
    cfg = EngineSettings(model="shade-model", version="v0")

    async def body(bench):
        await asyncio.sleep(3)
        asked = await bench.ask(0, "a b c", 20, deadline=seconds(30))
        return asked.outcome

    assert isinstance(on_bench(body, engines=2, engine=cfg), Ok)


def test_a_silent_connection_is_replaced_on_a_single_engine():
    async def body(bench):
        asking = asyncio.ensure_future(ask_many(bench, 10, max_tokens=100))
        await asyncio.sleep(1)
        assert bench.models["e0"].silence_streams() == 10
        return await asking

    assert all(asked.complete for asked in on_bench(body, engines=1))


def test_a_disconnected_caller_cancels_at_the_engine():
    async def body(bench):
        asking = asyncio.ensure_future(bench.ask(0, "a b", 10_000))
        await asyncio.sleep(1)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        return bench.models["e0"].in_flight, bench.counter_total("cancelled")

    assert on_bench(body, engines=1) == (0, 1)


def test_after_a_pause_nothing_is_sent_before_the_fleet_is_refreshed():
    async def body(bench):
        entry = bench.entries[0]
        refreshed = []

        async def refresh():
            refreshed.append(bench.counter_total("started"))

        entry.fleet.refresh = refresh
        await bench.ask(0, "before", 3)
        asyncio.get_running_loop()._timers.elapsed_seconds += 60
        await bench.ask(0, "after", 3)
        return refreshed

    assert on_bench(body, engines=1) == [1]


@pytest.mark.parametrize("policy", ["restart", "replay", "export", "of-a-later-release"])
def test_a_leaving_engine_is_emptied_and_every_answer_is_complete(policy):
    async def body(bench):
        policies = bench.intent.policies
        object.__setattr__(policies, "moving", policy)
        asking = asyncio.ensure_future(ask_many(bench, 20, 400, priority=Priority.BATCH))
        await asyncio.sleep(2)
        bench.notice(["e0"], seconds(5))
        await asyncio.sleep(5.5)
        left_there = bench.models["e0"].counts["cancelled"], bench.models["e0"].in_flight
        return left_there, await asking

    (cancelled, in_flight), asked = on_bench(body, engines=3, entries=2)
    assert all(found.complete for found in asked)
    assert in_flight == 0
    assert cancelled > 0


class SlowSink(RecordingSink):
    async def tokens(self, tokens):
        await asyncio.sleep(30)
        await super().tokens(tokens)


def test_a_slow_reader_gets_a_complete_answer_and_delays_no_other():
    async def body(bench):
        runner = bench.entries[0].runner
        sink = SlowSink(bench.clock)
        req = Completion("slow", "counter", "shade-model", "slow", 300)
        slow = asyncio.ensure_future(runner.run(req, sink))
        await asyncio.sleep(10)
        assert (await bench.ask(0, "fast", 50)).duration < seconds(3)
        assert bench.counter_total("decoded") < 250
        await slow
        call = GenerateCall("", 1, "shade-model", "v1", "slow", 300)
        return sink.texts == expected_tokens(call)

    assert on_bench(body, engines=1)


def test_an_exhausted_retry_budget_delays_but_does_not_fail_a_request():
    class Budget:
        def __init__(self):
            self.asked = 0

        def allow(self, pool):
            self.asked += 1
            return self.asked > 3

        def success(self, pool):
            return None

    async def body(bench):
        budget = bench.entries[0].parts.retry_budget = Budget()
        bench.models["e0"].faults.refuse = True
        asking = asyncio.ensure_future(bench.ask(0, "a b", 5, deadline=seconds(60)))
        await asyncio.sleep(8)
        bench.models["e0"].faults.refuse = False
        return (await asking).complete, budget.asked

    whole, asked = on_bench(body, engines=1, cfg=CompletionSettings(avoid=seconds(0.1)))
    assert whole
    assert asked > 3


def test_an_answer_without_its_final_event_is_not_generated_again():
    async def body(bench):
        model = bench.models["e0"]
        model._draw_faults = lambda run: setattr(run, "truncate_after", 5)
        return await bench.ask(0, "a b", 5), model.counts["started"]

    asked, started = on_bench(body, engines=1)
    assert asked.complete
    assert isinstance(asked.outcome, Ok)
    assert started == 1
