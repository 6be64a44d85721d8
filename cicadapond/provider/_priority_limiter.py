"""Rate limiter for calls: more urgent classes go first, and the queues are bounded."""

import asyncio
import collections
import datetime
import heapq
import itertools

from cicadapond.provider._classes import StoreClass
from cicadapond.provider._rate import ZERO, RateLimit

INCREASE_SHARE = 0.02  # share of the floor, per successful call
DECREASE_FACTOR = 0.5
BURST_SECONDS = 0.1  # at the floor's rate, but at least one call


class PriorityRateLimiter:
    """One rate limit with a bounded queue per class.

    The rate never falls below `floor`, this process's even share.  It rises above the floor while
    calls are waiting and the service accepts them, and halves when the service reports that it is
    over its limit, so that busy processes use the capacity that idle ones leave.

    Args:
      floor: The calls per second that this process may always make.
      ceiling: The calls per second of the whole service.
      queue_limit: The maximum number of waiting calls of one class.
      clock: The clock.
    """

    def __init__(self, floor: float, ceiling: float, queue_limit: int, clock):
        self._floor = floor
        self._ceiling = ceiling
        self._queue_limit = queue_limit
        self._clock = clock
        self._limit = RateLimit(floor, burst=max(1.0, floor * BURST_SECONDS))
        self._waiting = []
        self._sequence = itertools.count()
        self._dispatcher = None
        self.queued = collections.Counter()

    @property
    def rate(self) -> float:
        """The current rate in calls per second."""
        return self._limit.per_second

    @property
    def is_idle(self) -> bool:
        """Whether a call would be admitted without waiting."""
        return not self._waiting and self._limit.wait(self._clock.monotonic()) <= ZERO

    def set_floor(self, floor: float) -> None:
        """Sets this process's even share."""
        scaled = self.rate * floor / self._floor
        self._floor = floor
        self._set_rate(scaled)

    def record_success(self) -> None:
        """Raises the rate by `INCREASE_SHARE` of the floor if calls are waiting."""
        if self._waiting:
            self._set_rate(self.rate + INCREASE_SHARE * self._floor)

    def record_throttled(self) -> None:
        """Multiplies the rate by `DECREASE_FACTOR`, but keeps it at least at the even share."""
        self._set_rate(self.rate * DECREASE_FACTOR)

    async def acquire(self, store_class: StoreClass, longest_wait: datetime.timedelta) -> bool:
        """Waits until this call is admitted.

        Returns:
          False if the class's queue is full or the call was not admitted within `longest_wait`.
        """
        if self.queued[store_class] >= self._queue_limit:
            return False
        start = self._clock.monotonic()
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (store_class, next(self._sequence), turn))
        self.queued[store_class] += 1
        self._dispatch_if_needed()
        try:
            async with asyncio.timeout(longest_wait.total_seconds()):
                await turn
        except TimeoutError:
            return False
        finally:
            self.queued[store_class] -= 1
        return self._clock.monotonic() - start <= longest_wait

    def close(self) -> None:
        """Cancels the dispatcher task."""
        if self._dispatcher is not None:
            self._dispatcher.cancel()

    def _set_rate(self, rate):
        self._limit.per_second = min(self._ceiling, max(self._floor, rate))

    def _dispatch_if_needed(self):
        if self._dispatcher is None or self._dispatcher.done():
            self._dispatcher = asyncio.ensure_future(self._dispatch())

    async def _dispatch(self):
        while self._waiting:
            wait = self._limit.wait(self._clock.monotonic())
            if wait > ZERO:
                await self._clock.sleep(wait)
                continue
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._limit.reserve(1.0, self._clock.monotonic())
                turn.set_result(None)
