"""Faults of the storage stand-ins, and how one request to them goes through its latency."""

import datetime
import random

import attrs

from cicadapond.kernel import AnswerLost, Clock, Unavailable
from cicadapond.provider import RateLimit

ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class StorageTiming:
    """What a storage service carries.

    A transaction costs one write for each `rows_per_write` rows that it names.
    """

    latency: datetime.timedelta = 3 * _MILLISECOND
    jitter: datetime.timedelta = 2 * _MILLISECOND
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    rows_per_write: int = 25
    longest_queue: datetime.timedelta = 1000 * _MILLISECOND


@attrs.define
class StorageFaults:
    """The faults that are on now; all may be changed at any time.

    Attributes:
      outage: Every request is refused; requests on their way are lost.
      hang: No request is answered, and none takes effect.
      extra_latency: Added to each request's time.
      lose_after: Share of writes whose answer is lost after they took effect.
      lose_before: Share of writes that are lost before they take effect.
      loss_notice: How long until the client learns that no answer will come.
    """

    outage: bool = False
    hang: bool = False
    extra_latency: datetime.timedelta = ZERO
    lose_after: float = 0.0
    lose_before: float = 0.0
    loss_notice: datetime.timedelta = 500 * _MILLISECOND


class StorageServer:
    """Takes requests through rate limits, latency and faults.

    Args:
      timing: What it carries.
      clock: Gives the time.
      rng: Decides jitter and losses.
    """

    def __init__(self, timing: StorageTiming, clock: Clock, rng: random.Random):
        self.timing = timing
        self.faults = StorageFaults()
        self.writes_served = 0
        self.reads_served = 0
        self.refused = 0
        self._clock = clock
        self._rng = rng
        self._writes = RateLimit(timing.writes_per_second, burst=timing.writes_per_second / 10)
        self._reads = RateLimit(timing.reads_per_second, burst=timing.reads_per_second / 10)

    async def write(self, cost: int, act):
        """Serves a write.

        Returns:
          What `act` returns, Unavailable (it was not called) or AnswerLost.
        """
        refusal = self._refuse(self._writes)
        if refusal is not None:
            return refusal
        self.writes_served += cost
        await self._clock.sleep(self._writes.take(cost, self._clock.monotonic()) + self._way())
        if self._is_down() or self._rng.random() < self.faults.lose_before:
            return await self._lost()
        outcome = act()
        await self._clock.sleep(self._way())
        if self._is_down() or self._rng.random() < self.faults.lose_after:
            return await self._lost()
        return outcome

    async def read(self, cost: int, act):
        """Serves a read; returns what `act` returns, or Unavailable."""
        refusal = self._refuse(self._reads)
        if refusal is not None:
            return refusal
        self.reads_served += cost
        await self._clock.sleep(self._reads.take(cost, self._clock.monotonic()) + self._way())
        outcome = act()
        await self._clock.sleep(self._way())
        if self._is_down():
            await self._clock.sleep(self.faults.loss_notice)
            return Unavailable("the storage service does not answer")
        return outcome

    def _is_down(self):
        return self.faults.outage or self.faults.hang

    def _refuse(self, limit):
        if self.faults.outage:
            return Unavailable("the storage service is out")
        wait = limit.wait(self._clock.monotonic())
        if wait > self.timing.longest_queue:
            self.refused += 1
            return Unavailable("the storage service is over its rate limit", retry_after=wait)
        return None

    def _way(self):
        jitter = self.timing.jitter * self._rng.random()
        return (self.timing.latency + jitter + self.faults.extra_latency) / 2

    async def _lost(self):
        await self._clock.sleep(self.faults.loss_notice)
        return AnswerLost("the storage service's answer was lost")
