"""Notices that a service is out, so that calls fail at once instead of waiting for it."""

import asyncio
import datetime
import random

from cicadapond.kernel import Clock

JITTER_SHARE = 0.5


class Circuit:
    """Opens after failures in a row, and closes when a probe succeeds.

    Args:
      trip_after: How many failures in a row open it.
      interval: How long to wait between probes; jittered.
      probe: A coroutine function that returns whether the service answers.
      clock: Gives the time.
      rng: Decides the jitter.
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
        self._prober = None
        self.is_open = False
        self.openings = 0

    def succeeded(self) -> None:
        """Takes note of an answer."""
        self._failures = 0
        self.is_open = False

    def failed(self) -> None:
        """Takes note of a call that the service did not answer."""
        self._failures += 1
        if self._failures >= self._trip_after and not self.is_open:
            self.is_open = True
            self.openings += 1
            self._prober = asyncio.ensure_future(self._probe_until_closed())

    def close(self) -> None:
        """Ends probing."""
        if self._prober is not None:
            self._prober.cancel()

    async def _probe_until_closed(self):
        while self.is_open:
            jitter = 1 + JITTER_SHARE * self._rng.random()
            await self._clock.sleep(self._interval * jitter)
            if self.is_open and await self._probe():
                self.succeeded()
