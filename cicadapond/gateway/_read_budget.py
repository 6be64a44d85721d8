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
        now = self._clock.monotonic()
        rate = self._shared_rate / self._processes()
        self._left = min(MAX_BURST, self._left + rate * (now - self._at).total_seconds())
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
