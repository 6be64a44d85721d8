"""What the log tells of the end of a process, through a pipe that nobody reads for a while."""

import asyncio
import json
import os
import threading

import pytest

from cicadapond.eventlog import EventLog, log_end
from cicadapond.kernel import ManualClock, Metrics

PIPE_BYTES = 64 * 1024


def run(body):
    """Returns the lines of a process that ends by an exception of `body`."""
    received = []

    async def main(writer):
        log = EventLog("edge-1", writer, ManualClock(), Metrics())
        with log_end(log):
            log.write("attempt", reason="x" * PIPE_BYTES)
            await body()

    reader, writer = os.pipe()
    late = threading.Timer(0.05, lambda: received.extend(os.fdopen(reader)))
    late.start()
    try:
        with pytest.raises(KeyError):
            asyncio.run(main(writer))
    finally:
        os.close(writer)
        late.join()
    return [json.loads(line) for line in received]


def test_the_exception_that_ends_a_process_is_written_after_the_queued_lines():
    async def fail():
        raise KeyError("unexpected")

    queued, last = run(fail)
    assert (queued["event"], last["event"]) == ("attempt", "process_failed")
    assert last["reason"] == "KeyError('unexpected')" and last["raised_at"][-1].endswith(" fail")


def test_an_error_in_a_callback_of_the_event_loop_is_logged():
    async def fail():
        asyncio.get_running_loop().call_soon({}.__getitem__, "a callback")
        await asyncio.sleep(0.01)
        raise KeyError("unexpected")

    _, failed, _ = run(fail)
    assert (failed["event"], failed["reason"]) == ("callback_failed", "KeyError('a callback')")
