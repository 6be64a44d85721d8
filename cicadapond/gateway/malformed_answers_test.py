"""What is recorded of malformed answers, and what their callers get."""

import asyncio

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import Broken, Whole
from cicadapond.gateway._malformed_answers import LOG_INTERVAL, MalformedAnswers
from cicadapond.gateway.harness import deployment
from cicadapond.kernel import ManualClock, Metrics, seconds
from cicadapond.platform.standin import EngineFault, FleetSettings
from cicadapond.serving import ResponseHead, ServerEntry

ENTRY = ServerEntry("e-1", "pool", Endpoint("::1", 1), "z", 8, born=7)
MALFORMED = Broken("not HTTP", is_malformed=True, received_bytes=9)


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append(fields)


def test_malformed_answers_are_logged_at_a_bounded_rate_and_all_counted():
    clock, log, metrics = ManualClock(), Log(), Metrics()
    answers = MalformedAnswers(clock, log, metrics)
    for _ in range(50):
        answers.record(ENTRY, MALFORMED, seconds(2))
    answers.record(ENTRY, Broken("closed"), seconds(2))
    answers.record(ENTRY, Whole(ResponseHead(200, (), "r"), b""), seconds(2))
    clock.advance(LOG_INTERVAL)
    answers.record(ENTRY, MALFORMED, seconds(2))
    expected = {
        "server": "e-1",
        "start": "e-1/7",
        "reason": "not HTTP",
        "received_bytes": 9,
        "took_ms": 2000,
    }
    assert log.lines == [expected | {"unlogged": 0}, expected | {"unlogged": 49}]


@pytest.mark.parametrize("kind", ["stream", "plain"])
def test_the_answer_to_a_request_whose_server_did_not_end_promises_nothing(tmp_path, kind):
    """Guards against REFUSED: the request ran, whatever its server sent."""

    async def main():
        async with deployment(tmp_path, FleetSettings(), 1) as system, asyncio.timeout(30):
            system.fail_next(*[EngineFault.ENDLESS_BODY] * 8)
            caller = system.caller()
            if kind == "stream":
                await caller.stream("m-1")
                answer = await caller.read_response()
            else:
                answer = await caller.exchange("m-1", "/post/x")
            assert answer.status in (502, 504) and system.ran().count("m-1") >= 1
            metrics = system.node.parts.metrics
            assert metrics.total("server_answers_malformed") >= 1

    asyncio.run(main())
