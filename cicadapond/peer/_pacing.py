"""Spreads large sends over time, so that they leave room on the process's link."""

import asyncio
import collections
import datetime
import typing

from cicadapond.kernel import Clock
from cicadapond.peer._transport import Link

# What may be sent at once after a quiet time.
BURST_BYTES = 32 * 1024
INTERVAL = datetime.timedelta(milliseconds=20)
# With more than this waiting, nothing should be added that can be merged.
MAX_BACKLOG = datetime.timedelta(milliseconds=300)


class PacedSender:
    """Sends messages over links in order, at a limited rate.

    Args:
      rate: The bytes that are sent in a second, 0 for no limit.
      clock: The clock.
    """

    def __init__(self, rate: float, clock: Clock):
        self._rate = rate
        self._clock = clock
        self._queue: collections.deque[tuple[Link, typing.Sequence[bytes]]] = collections.deque()
        self._waiting_bytes = 0
        self._budget = float(BURST_BYTES)
        self._budget_at = clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_behind(self) -> bool:
        """Whether what waits takes longer than `MAX_BACKLOG`."""
        return self._waiting_bytes > self._rate * MAX_BACKLOG.total_seconds()

    def send(self, link: Link, bodies: typing.Sequence[bytes]) -> None:
        """Sends messages, after those that still wait."""
        if not self._rate:
            link.send(bodies)
            return
        self._queue.append((link, bodies))
        self._waiting_bytes += sum(map(len, bodies))
        if self._timer is None:
            self._send_waiting()

    def close(self) -> None:
        """Drops what still waits."""
        self._queue.clear()
        self._waiting_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_waiting(self):
        self._timer = None
        now = self._clock.monotonic()
        earned = self._rate * (now - self._budget_at).total_seconds()
        self._budget = min(self._budget + earned, float(BURST_BYTES))
        self._budget_at = now
        while self._queue and self._budget > 0:
            link, bodies = self._queue.popleft()
            sent = sum(map(len, bodies))
            self._budget -= sent
            self._waiting_bytes -= sent
            link.send(bodies)
        if self._queue:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(INTERVAL.total_seconds(), self._send_waiting)
