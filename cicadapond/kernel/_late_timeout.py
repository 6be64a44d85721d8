"""A time-out that is fair to an event loop that is behind."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def late_timeout(delay_s: float | None):
    """Works as `asyncio.timeout`, but first lets the body read what had been received by then.

    An event loop that is behind runs the callbacks of sockets and timers in one turn.  The former
    only schedule the task that reads, so that a plain time-out would cancel it before it does.

    Args:
      delay_s: The time limit in seconds, None for none.

    Raises:
      TimeoutError: If the body has not ended in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        timer = None
        if delay_s is not None:
            # To reschedule into the past takes another turn of the loop.
            timer = loop.call_later(delay_s, timeout.reschedule, loop.time())
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
