"""Bounds the reads of the store that requests ask for; no I/O."""

import datetime
import typing

from cicadapond.kernel import Clock

# What all processes together may use of the store's reads.
SHARE_OF_READS = 0.1
MAX_BURST = 8.0


class ReadBudget:
    """This process's part of the reads that requests may ask for.

    Args:
      reads_per_second: What the store takes from all processes together.
      processes: Returns how many processes there are.
      clock: The clock.
    """

    def __init__(self, reads_per_second: float, processes: typing.Callable[[], int], clock: Clock):
        self._shared_rate = SHARE_OF_READS * reads_per_second
        self._processes = processes
        self._clock = clock
        self._left = MAX_BURST
        self._at: datetime.timedelta = clock.monotonic()

    def take(self) -> bool:
        """Returns whether one more read may be made now, and counts it."""
        self._refill()
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def time_until_next(self) -> datetime.timedelta:
        """Returns the time until one more read may be made."""
        self._refill()
        missing = max(0.0, 1 - self._left)
        return datetime.timedelta(seconds=missing / self._rate())

    def _refill(self):
        now = self._clock.monotonic()
        passed = (now - self._at).total_seconds()
        self._left = min(MAX_BURST, self._left + self._rate() * passed)
        self._at = now

    def _rate(self):
        return self._shared_rate / self._processes()
