"""Tests of what the log tells of an event loop that is behind, and of callers that leave."""

import asyncio
import json

from cicadapond.gateway._loop_watch import LOGGED_DELAY, watch_loop
from cicadapond.gateway.harness import deployment
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.platform.standin import FleetSettings


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


class LateClock(VirtualClock):
    """A clock whose next sleep ends late."""

    late = seconds(0)

    async def sleep(self, duration):
        late, self.late = self.late, seconds(0)
        await super().sleep(duration + late)


def test_a_late_event_loop_is_logged_once_for_each_delay():
    async def main():
        clock, log, test_clock = LateClock(), Log(), VirtualClock()
        delays = []
        task = asyncio.ensure_future(
            watch_loop(clock, log, Metrics(), lambda: delays.append(clock.monotonic()))
        )
        await test_clock.sleep(seconds(1))
        assert not log.lines
        clock.late = 2 * LOGGED_DELAY
        await test_clock.sleep(seconds(1))
        task.cancel()
        assert log.lines == [("loop_delayed", {"delay_ms": 400.0})] and len(delays) == 1

    run_virtual(main())


def test_the_log_tells_where_an_attempt_was_when_its_caller_left(tmp_path, capfd):
    async def main():
        cfg = FleetSettings()
        async with deployment(tmp_path, cfg) as system:
            for model in system.engines():
                model.event_interval_s = 0.1
            caller = system.caller()
            await caller.stream("s-1")
            await system.until(system.ran)
            caller.abort()
            await system.until(lambda: any(model.cancelled_streams for model in system.engines()))

    asyncio.run(main())
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines() if line[:1] == "{"]
    (left,) = [line for line in lines if line["event"] == "caller_left"]
    assert left["server"].startswith("e-") and left["sends"] == 1
    assert left["attempt_ms"] >= 0 and left["is_sending"]
