"""Lets calls through at a rate, those of a better class first, from bounded queues."""

import asyncio
import collections
import datetime
import heapq
import itertools

from cicadapond.provider._classes import StoreClass
from cicadapond.provider._rate import ZERO, RateLimit

INCREASE_SHARE = 0.02  # of the floor, for each call that went well
DECREASE_FACTOR = 0.5
BURST_SECONDS = 0.1


class Gate:
    """A queue per class before one rate limit.

    The rate never falls under `floor`, this process's even share.  It rises above it while the
    service takes what is sent and halves when the service says that it is over its limit, so
    that busy processes use what idle ones leave.

    Args:
      floor: The rate a second that this process may always use.
      ceiling: The rate a second of the whole service.
      queue_limit: How many calls of one class wait at most.
      clock: Gives the time.
    """

    def __init__(self, floor: float, ceiling: float, queue_limit: int, clock):
        self._floor = floor
        self._ceiling = ceiling
        self._queue_limit = queue_limit
        self._clock = clock
        self._limit = RateLimit(floor, burst=max(1.0, floor * BURST_SECONDS))
        self._waiting = []
        self._numbers = itertools.count()
        self._dispatcher = None
        self.queued = collections.Counter()

    @property
    def rate(self) -> float:
        """How many calls a second pass now."""
        return self._limit.per_second

    @property
    def idle(self) -> bool:
        """Whether a call would pass without waiting."""
        return not self._waiting and self._limit.wait(self._clock.monotonic()) <= ZERO

    def resize(self, floor: float) -> None:
        """Sets this process's even share."""
        scaled = self.rate * floor / self._floor
        self._floor = floor
        self._set_rate(scaled)

    def went_well(self) -> None:
        """Raises the rate a little if calls are waiting for it."""
        if self._waiting:
            self._set_rate(self.rate + INCREASE_SHARE * self._floor)

    def was_throttled(self) -> None:
        """Lowers the rate towards the even share."""
        self._set_rate(self.rate * DECREASE_FACTOR)

    async def enter(self, store_class: StoreClass, longest_wait: datetime.timedelta) -> bool:
        """Waits for this call's turn.

        Returns:
          False if the class's queue is full or the turn did not come within `longest_wait`.
        """
        if self.queued[store_class] >= self._queue_limit:
            return False
        start = self._clock.monotonic()
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (store_class, next(self._numbers), turn))
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
        """Ends the dispatcher."""
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
                self._limit.take(1.0, self._clock.monotonic())
                turn.set_result(None)
