"""Latency, rate limits and injected faults of the simulated storage services."""

import datetime
import random

import attrs

from cicadapond.kernel import AnswerLost, Clock, Unavailable
from cicadapond.provider import RateLimit

ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class StorageTiming:
    """Latency and rate limits of a storage service.

    A transaction costs one write per `rows_per_write` rows that it names.  A request that would
    wait longer than `longest_queue` for the rate limit is refused.
    """

    latency: datetime.timedelta = 3 * _MILLISECOND
    jitter: datetime.timedelta = 2 * _MILLISECOND
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    rows_per_write: int = 25
    longest_queue: datetime.timedelta = 1000 * _MILLISECOND


@attrs.define
class StorageFaults:
    """The faults that are active now; all may be changed at any time.

    Attributes:
      outage: Every new request is refused; requests in flight are lost.
      hang: No request is answered, and no write that arrives takes effect.
      extra_latency: Added to each request's round trip.
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
    """Applies rate limits, latency and faults to requests.

    Args:
      timing: Latency and rate limits.
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

    async def write(self, cost: int, operation):
        """Serves a write.

        Returns:
          What `operation` returns; Unavailable if it was not called; AnswerLost otherwise.
        """
        refusal = self._refuse(self._writes)
        if refusal is not None:
            return refusal
        self.writes_served += cost
        await self._clock.sleep(
            self._writes.reserve(cost, self._clock.monotonic()) + self._one_way_delay()
        )
        if self._is_down() or self._rng.random() < self.faults.lose_before:
            return await self._lose_answer()
        outcome = operation()
        await self._clock.sleep(self._one_way_delay())
        if self._is_down() or self._rng.random() < self.faults.lose_after:
            return await self._lose_answer()
        return outcome

    async def read(self, cost: int, operation):
        """Serves a read; returns what `operation` returns, or Unavailable."""
        refusal = self._refuse(self._reads)
        if refusal is not None:
            return refusal
        self.reads_served += cost
        await self._clock.sleep(
            self._reads.reserve(cost, self._clock.monotonic()) + self._one_way_delay()
        )
        outcome = operation()
        await self._clock.sleep(self._one_way_delay())
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

    def _one_way_delay(self):
        jitter = self.timing.jitter * self._rng.random()
        return (self.timing.latency + jitter + self.faults.extra_latency) / 2

    async def _lose_answer(self):
        await self._clock.sleep(self.faults.loss_notice)
        return AnswerLost("the storage service's answer was lost")
