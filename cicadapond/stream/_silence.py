"""Time-outs for streams that produce nothing, and detection of pauses of this process.

After a pause, time-outs may have expired although the engines did respond.
"""

import asyncio
import datetime

import attrs

from cicadapond.data import Priority
from cicadapond.kernel import Clock, doubled, seconds

TICK_INTERVAL = seconds(0.25)
PAUSE_LIMIT = seconds(1)


@attrs.frozen
class SilenceLimits:
    """Time-outs for an attempt that produces nothing.

    The time-out for the first token includes the wait for a slot; it is longer for batch requests,
    as nobody is waiting for them.  Each consecutive attempt that times out doubles the limit, so
    that a slow pool is not mistaken for an unresponsive one indefinitely.

    Attributes:
      first_token: The time-out for the first token.
      first_token_batch: The same for batch requests.
      between_tokens: The time-out between tokens.
      longest: The upper limit after doubling.
    """

    first_token: datetime.timedelta = seconds(10)
    first_token_batch: datetime.timedelta = seconds(120)
    between_tokens: datetime.timedelta = seconds(5)
    longest: datetime.timedelta = seconds(600)

    def limit(self, priority: Priority, got_tokens: bool, silent_attempts: int):
        """Returns the time-out for the next event.

        Args:
          priority: The request's priority.
          got_tokens: Whether this attempt has produced a token.
          silent_attempts: The number of consecutive earlier attempts that timed out.
        """
        if got_tokens:
            base = self.between_tokens
        elif priority is Priority.BATCH:
            base = self.first_token_batch
        else:
            base = self.first_token
        return doubled(base, silent_attempts, self.longest)


class PauseDetector:
    """Detects that this process has been paused.

    A background task records the time at each tick.  A task that runs after a pause but before
    the next tick sees the gap, too.

    Args:
      clock: The clock.
      interval: The time between ticks.
      limit: A longer gap counts as a pause.
    """

    def __init__(
        self,
        clock: Clock,
        interval: datetime.timedelta = TICK_INTERVAL,
        limit: datetime.timedelta = PAUSE_LIMIT,
    ):
        self._clock = clock
        self._interval = interval
        self._limit = limit
        self._last_tick = None
        self._task = None
        self._paused = False

    def start(self) -> None:
        """Starts the background task; does nothing if it is running."""
        if self._task is None or self._task.done():
            self._last_tick = self._clock.monotonic()
            self._task = asyncio.ensure_future(self._tick())

    def stop(self) -> None:
        """Stops the background task."""
        if self._task is not None:
            self._task.cancel()

    def paused(self) -> bool:
        """Returns whether there was a pause since `clear` was last called."""
        self._check_gap()
        return self._paused

    def clear(self) -> None:
        """Forgets the pause; called once what was known before it has been refreshed."""
        self._paused = False

    def _check_gap(self):
        now = self._clock.monotonic()
        if self._last_tick is not None and now - self._last_tick > self._limit:
            self._paused = True
        self._last_tick = now

    async def _tick(self):
        while True:
            await self._clock.sleep(self._interval)
            self._check_gap()
