"""True time, for windows of wall-clock time on machines whose clocks jump.

The difference between the machine's wall clock and its suspension-proof clock is read once, at
the start, so later jumps change nothing.  A start during a jump is put right by the other
processes: all compare the wall clock with the steady clock of the platform's store.
"""

import datetime
import statistics

from cicadapond.kernel import BootClock

# Ordinary differences between machines' clocks are smaller; jumps are larger.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)
MIN_READINGS = 3
# Clocks that differ by 100 parts in a million drift 60 ms apart in two such terms.
BOUND_LIFETIME = datetime.timedelta(minutes=5)


class TrueClock(BootClock):
    """The machine's time, of which the wall part does not jump."""

    def __init__(self):
        super().__init__()
        self._origin = super().now() - self.monotonic()
        self._service_origin: datetime.timedelta | None = None

    def now(self):
        return self._origin + self.monotonic()

    def observe_service_time(self, service_time: datetime.timedelta) -> None:
        """Takes the store's steady clock as of now."""
        if self._service_origin is None:
            self._service_origin = service_time - self.monotonic()

    def store_epoch(self) -> float | None:
        """Returns this machine's wall-clock time at the store's zero, in Unix seconds."""
        if self._service_origin is None:
            return None
        return (self._origin - self._service_origin).timestamp()

    def correct(self, readings: list[float]) -> datetime.timedelta | None:
        """Takes the readings of all processes; returns the correction if one was needed."""
        own = self.store_epoch()
        if own is None or len(readings) < MIN_READINGS:
            return None
        difference = datetime.timedelta(seconds=statistics.median(readings) - own)
        if abs(difference) <= MAX_CLOCK_DIFFERENCE:
            return None
        self._origin += difference
        return difference


class StoreClock:
    """When, by this machine's clock, the platform's store gave an answer.

    The store's steady clock in each answer bounds how far it is ahead of this machine's: by no
    more than its reading less the instant at which the call left.  The tightest bound of recent
    calls places the moment of each answer, a long poll's too, to within one short call.  Bounds
    are forgotten, as two clocks drift apart.
    """

    def __init__(self):
        self._offset_bound: datetime.timedelta | None = None
        self._next_offset_bound: datetime.timedelta | None = (
            None  # the tightest bound of the current term
        )
        self._term_began: datetime.timedelta | None = None

    def answered_at(
        self,
        service_time: datetime.timedelta,
        called_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns an instant not after the store's answer, and not before the call left.

        Args:
          service_time: The store's clock in the answer.
          asked: The monotonic instant before the call left.
          now: The monotonic instant after the answer came.
        """
        bound = service_time - called_at
        self._expire_bounds(now)
        self._next_offset_bound = (
            bound if self._next_offset_bound is None else min(self._next_offset_bound, bound)
        )
        self._offset_bound = bound if self._offset_bound is None else min(self._offset_bound, bound)
        answered = service_time - self._offset_bound
        if answered > now:  # the store's clock has begun anew
            self._offset_bound = self._next_offset_bound = bound
            answered = called_at
        return answered

    def local_time_of(
        self, service_time: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns an instant not after a reading of the store's clock that another process took.

        Args:
          service_time: The reading.
          now: The monotonic instant.

        Returns:
          None if this process cannot place the reading.
        """
        if self._offset_bound is None or now - self._term_began > 2 * BOUND_LIFETIME:
            return None
        answered = service_time - self._offset_bound
        return answered if answered <= now else None

    def _expire_bounds(self, now):
        if self._term_began is None:
            self._term_began = now
        elif now - self._term_began > BOUND_LIFETIME:
            self._offset_bound, self._next_offset_bound = self._next_offset_bound, None
            self._term_began = now
