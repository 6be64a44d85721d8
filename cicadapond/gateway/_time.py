"""True time, for windows of wall-clock time on machines whose clocks jump.

The difference between the machine's wall clock and its suspension-proof clock is read once, at
the start, so later jumps change nothing.  A start during a jump is put right by the other
processes: all compare the wall clock with the steady clock of the platform's store.
"""

import datetime
import statistics

from cicadapond.kernel import BootClock

# Ordinary differences between machines' clocks are smaller; jumps are larger.
LARGEST_DIFFERENCE = datetime.timedelta(milliseconds=300)
LEAST_READINGS = 3


class TrueClock(BootClock):
    """The machine's time, of which the wall part does not jump."""

    def __init__(self):
        super().__init__()
        self._origin = super().now() - self.monotonic()
        self._service_origin: datetime.timedelta | None = None

    def now(self):
        return self._origin + self.monotonic()

    def observed(self, service_time: datetime.timedelta) -> None:
        """Takes the store's steady clock as of now."""
        if self._service_origin is None:
            self._service_origin = service_time - self.monotonic()

    def reading(self) -> float | None:
        """Returns this machine's wall-clock time at the store's zero, in Unix seconds."""
        if self._service_origin is None:
            return None
        return (self._origin - self._service_origin).timestamp()

    def correct(self, readings: list[float]) -> datetime.timedelta | None:
        """Takes the readings of all processes; returns the correction if one was needed."""
        own = self.reading()
        if own is None or len(readings) < LEAST_READINGS:
            return None
        difference = datetime.timedelta(seconds=statistics.median(readings) - own)
        if abs(difference) <= LARGEST_DIFFERENCE:
            return None
        self._origin += difference
        return difference
