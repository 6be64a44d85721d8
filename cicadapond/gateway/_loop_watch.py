"""Measures how late the event loop runs, which delays all that this process does."""

import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.gateway._request import milliseconds
from cicadapond.kernel import Clock, Metrics

INTERVAL = datetime.timedelta(milliseconds=100)
# Delays from here on have a line in the log.
LOGGED_DELAY = datetime.timedelta(milliseconds=200)


async def watch_loop(
    clock: Clock, log: EventLog, metrics: Metrics, on_delay: typing.Callable[[], None]
) -> None:
    """Records the delay of a periodic timer until cancelled.

    A machine that stood still is seen as a delay too.

    Args:
      clock: The clock.
      log: The event log.
      metrics: The metrics.
      on_delay: Called after a delay that is logged.
    """
    while True:
        due = clock.monotonic() + INTERVAL
        await clock.sleep(INTERVAL)
        delay = clock.monotonic() - due
        metrics.record("loop_delay", max(delay, datetime.timedelta()))
        if delay >= LOGGED_DELAY:
            log.write("loop_delayed", delay_ms=milliseconds(delay))
            on_delay()
