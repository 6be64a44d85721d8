"""Clocks for machines whose wall clocks jump.

The offset between the machine's wall clock and its monotonic clock, which also runs while the
machine is suspended, is read once at the start, so later jumps have no effect.  A process that
starts while its wall clock is wrong is corrected with the readings of the other processes: each
compares its wall clock with the monotonic clock of the platform's store.
"""

import datetime
import statistics

from cicadapond.kernel import BootClock

# Normal differences between machines' clocks are smaller than this; jumps are larger.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)
MIN_READINGS = 3
# A bound on the offset of two clocks is used for one to two lifetimes; clocks whose rates differ by
# 100 ppm drift apart by 60 ms in two.
BOUND_LIFETIME = datetime.timedelta(minutes=5)


class TrueClock(BootClock):
    """The machine's clock, with a wall-clock time that does not jump."""

    def __init__(self):
        super().__init__()
        self._origin = super().now() - self.monotonic()
        self._store_origin: datetime.timedelta | None = None

    def now(self):
        return self._origin + self.monotonic()

    def observe_service_time(self, store_time: datetime.timedelta) -> None:
        """Records what the store's monotonic clock reads now; only the first call has an effect."""
        if self._store_origin is None:
            self._store_origin = store_time - self.monotonic()

    def store_epoch(self) -> float | None:
        """Returns the wall-clock time at which the store's clock was zero, in Unix seconds.

        None before the first observation of the store's clock.
        """
        if self._store_origin is None:
            return None
        return (self._origin - self._store_origin).timestamp()

    def correct(self, readings: list[float]) -> datetime.timedelta | None:
        """Sets this clock to the median of all processes' clocks if the two differ abnormally.

        Differences of up to `MAX_CLOCK_DIFFERENCE` are not corrected.

        Args:
          readings: The `store_epoch` of each process, in Unix seconds.

        Returns:
          The correction, None if none was needed.
        """
        own = self.store_epoch()
        if own is None or len(readings) < MIN_READINGS:
            return None
        difference = datetime.timedelta(seconds=statistics.median(readings) - own)
        if abs(difference) <= MAX_CLOCK_DIFFERENCE:
            return None
        self._origin += difference
        return difference


class StoreClock:
    """Converts times of the store's monotonic clock to this machine's monotonic clock.

    Each answer of the store contains the store's time.  That time less the local time at which
    the call was sent is an upper bound on the offset between the two clocks.  The tightest bound
    of recent calls gives the time of each answer, also that of a long poll, to within the
    duration of one short call.  Bounds expire, as the clocks drift apart.
    """

    def __init__(self):
        self._offset_bound: datetime.timedelta | None = None
        # The tightest bound of the current lifetime.
        self._next_offset_bound: datetime.timedelta | None = None
        self._term_began: datetime.timedelta | None = None

    def answered_at(
        self,
        store_time: datetime.timedelta,
        called_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns a local time not after the store's answer, and not before the call was sent.

        Args:
          store_time: The store's time in the answer.
          called_at: The monotonic time before the call was sent.
          now: The monotonic time after the answer was received.
        """
        bound = store_time - called_at
        self._expire_bounds(now)
        self._next_offset_bound = (
            bound if self._next_offset_bound is None else min(self._next_offset_bound, bound)
        )
        self._offset_bound = bound if self._offset_bound is None else min(self._offset_bound, bound)
        answered = store_time - self._offset_bound
        if answered > now:  # the store's clock has restarted
            self._offset_bound = self._next_offset_bound = bound
            answered = called_at
        return answered

    def local_time_of(
        self, store_time: datetime.timedelta, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns a local time not after a reading of the store's clock by another process.

        Args:
          store_time: The reading.
          now: The current monotonic time.

        Returns:
          The local time, None if the reading cannot be converted: there is no recent bound, or
          the reading would be in the future.
        """
        if self._offset_bound is None or now - self._term_began > 2 * BOUND_LIFETIME:
            return None
        answered = store_time - self._offset_bound
        return answered if answered <= now else None

    def _expire_bounds(self, now):
        if self._term_began is None:
            self._term_began = now
        elif now - self._term_began > BOUND_LIFETIME:
            self._offset_bound, self._next_offset_bound = self._next_offset_bound, None
            self._term_began = now
