"""The structured log: lines are complete, the queue is bounded, writes never block."""

import asyncio
import json
import os

from cicadapond.eventlog import EventLog
from cicadapond.eventlog._log import MAX_LINES_PER_SECOND, MAX_QUEUED_BYTES
from cicadapond.kernel import ManualClock, Metrics, seconds


def run_with_pipe(check):
    async def main():
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        clock, metrics = ManualClock(), Metrics()
        try:
            check(EventLog("edge-1", writer, clock, metrics), clock, metrics, reader)
        finally:
            os.close(reader)
            os.close(writer)

    asyncio.run(main())


def read_lines(reader):
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_line_contains_time_process_event_and_fields():
    def check(log, clock, metrics, reader):
        log.write("refused", request="r-1", status=429, configuration_age_ms=12)
        log.flush()
        (line,) = read_lines(reader)
        assert line == {
            "at": "2026-01-01T00:00:00.000+00:00",
            "process": "edge-1",
            "event": "refused",
            "request": "r-1",
            "status": 429,
            "configuration_age_ms": 12,
        }

    run_with_pipe(check)


def test_unread_pipe_does_not_block_and_memory_stays_bounded():
    def check(log, clock, metrics, reader):
        for second in range(40):
            for number in range(MAX_LINES_PER_SECOND):
                log.write("attempt", request=f"r-{second}-{number}", reason="x" * 50)
            log.flush()
            clock.advance(seconds(1))
        assert log.queued_bytes <= MAX_QUEUED_BYTES
        assert metrics.counter("log_lines_dropped") > 0
        read_lines(reader)
        log.flush()
        log.write("after")
        after_lines = []
        for _ in range(40):
            log.flush()
            after_lines += [line for line in read_lines(reader) if line["event"] == "after"]
        assert after_lines[0]["dropped_before"] > 0

    run_with_pipe(check)


def test_burst_is_cut_at_the_rate_limit_and_next_line_counts_dropped_lines():
    def check(log, clock, metrics, reader):
        for number in range(MAX_LINES_PER_SECOND + 50):
            log.write("attempt", number=number)
        clock.advance(seconds(1))
        log.write("after")
        lines = []
        for _ in range(40):
            log.flush()
            lines += read_lines(reader)
        assert len(lines) == MAX_LINES_PER_SECOND + 1
        assert lines[-1]["dropped_before"] == 50

    run_with_pipe(check)
