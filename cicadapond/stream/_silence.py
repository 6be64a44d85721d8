"""How long an attempt may be silent before it is given up, and when a process was paused."""

import asyncio
import datetime

import attrs

from cicadapond.data import Priority
from cicadapond.kernel import Clock, seconds

TICK_INTERVAL = seconds(0.25)
PAUSE_LIMIT = seconds(1)


@attrs.frozen
class SilenceLimits:
    """Limits of silence.

    The first token waits for a slot, longer for work that nobody waits for; each silent attempt
    in a row doubles the limit, so that a slow pool is not taken for a silent one for ever.
    """

    first_token: datetime.timedelta = seconds(10)
    first_token_batch: datetime.timedelta = seconds(120)
    between_tokens: datetime.timedelta = seconds(5)
    longest: datetime.timedelta = seconds(600)

    def limit(self, priority: Priority, got_tokens: bool, silent_before: int):
        """Returns how long the next event may take.

        Args:
          priority: The request's priority.
          got_tokens: Whether this attempt has given a token yet.
          silent_before: Attempts in a row that were given up for silence.
        """
        if got_tokens:
            base = self.between_tokens
        elif priority is Priority.BATCH:
            base = self.first_token_batch
        else:
            base = self.first_token
        return min(self.longest, base * 2**silent_before)


class PauseWatch:
    """Finds out whether this process has just been paused.

    A ticker notes the time; a task that runs before the ticker has caught up sees the gap.

    Args:
      clock: Gives the time.
      interval: Time between ticks.
      limit: A gap longer than this is a pause.
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
        self._last = None
        self._task = None
        self._paused = False

    def start(self) -> None:
        """Starts the ticker; safe to call again."""
        if self._task is None or self._task.done():
            self._last = self._clock.monotonic()
            self._task = asyncio.ensure_future(self._tick())

    def stop(self) -> None:
        """Ends the ticker."""
        if self._task is not None:
            self._task.cancel()

    def paused(self) -> bool:
        """Returns whether there was a gap since `refreshed` was last called."""
        self._note()
        return self._paused

    def refreshed(self) -> None:
        """Notes that what this process knew before the gap has been read anew."""
        self._paused = False

    def _note(self):
        now = self._clock.monotonic()
        if self._last is not None and now - self._last > self._limit:
            self._paused = True
        self._last = now

    async def _tick(self):
        while True:
            await self._clock.sleep(self._interval)
            self._note()
