"""The clock as an interface, so that tests and scenarios can control the time.

Durations are `datetime.timedelta`, wall-clock instants are aware `datetime.datetime` in UTC, and
monotonic instants are a `timedelta` since an arbitrary origin, comparable only within one
process.
"""

import abc
import asyncio
import datetime
import time

ZERO = datetime.timedelta()
VIRTUAL_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Clock(abc.ABC):
    """Gives the time and waits for durations."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, aware and in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary origin, which never decreases."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Returns once `duration` has passed."""


class LoopClock(Clock):
    """The running event loop's time.

    On an ordinary loop this is the machine's time; on a virtual loop it is virtual time.

    Args:
      wall: Returns the wall-clock time; the machine's by default.
    """

    def __init__(self, wall=None):
        self._wall = wall or (lambda: datetime.datetime.now(datetime.UTC))

    def now(self):
        return self._wall()

    def monotonic(self):
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration):
        await asyncio.sleep(max(0.0, duration.total_seconds()))


class BootClock(LoopClock):
    """The machine's time, with a monotonic clock that also advances while the machine is suspended.

    For anything that must expire even across a suspension: a lease, a cached copy.
    """

    def monotonic(self):
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock(Clock):
    """A clock that only `advance` and `sleep` move, at once; for tests of code without I/O."""

    def __init__(self):
        self._elapsed = ZERO

    def now(self):
        return VIRTUAL_EPOCH + self._elapsed

    def monotonic(self):
        return self._elapsed

    async def sleep(self, duration):
        self.advance(duration)
        await asyncio.sleep(0)

    def advance(self, duration: datetime.timedelta) -> None:
        """Moves the clock forward.

        Args:
          duration: How far.

        Raises:
          ValueError: If `duration` is negative.
        """
        if duration < ZERO:
            raise ValueError(f"cannot advance a clock by a negative duration: {duration}")
        self._elapsed += duration
