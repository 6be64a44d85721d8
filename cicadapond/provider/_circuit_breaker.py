"""Detects that a service is unavailable, so that calls fail at once instead of waiting for it."""

import asyncio
import datetime
import random

from cicadapond.kernel import Clock

JITTER_SHARE = 0.5


class CircuitBreaker:
    """Opens after consecutive failures and closes when a probe or a call succeeds.

    Args:
      trip_after: Number of consecutive failures that open it.
      interval: The time between probes; jittered.
      probe: A coroutine function that returns whether the service answers.
      clock: The clock.
      rng: Source of jitter.
    """

    def __init__(
        self,
        trip_after: int,
        interval: datetime.timedelta,
        probe,
        clock: Clock,
        rng: random.Random,
    ):
        self._trip_after = trip_after
        self._interval = interval
        self._probe = probe
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._probe_task = None
        self.is_open = False
        self.times_opened = 0

    def record_success(self) -> None:
        """Records an answered call and closes the circuit."""
        self._failures = 0
        self.is_open = False

    def record_failure(self) -> None:
        """Records a call that the service did not answer."""
        self._failures += 1
        if self._failures >= self._trip_after and not self.is_open:
            self.is_open = True
            self.times_opened += 1
            self._probe_task = asyncio.ensure_future(self._probe_until_closed())

    def close(self) -> None:
        """Stops probing; an open circuit stays open."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    async def _probe_until_closed(self):
        while self.is_open:
            jitter = 1 + JITTER_SHARE * self._rng.random()
            await self._clock.sleep(self._interval * jitter)
            if self.is_open and await self._probe():
                self.record_success()
