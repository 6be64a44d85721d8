"""An event loop on virtual time: waiting costs nothing, and every run takes the same steps.

Only for code that waits through timers and in-process messages; sockets have no place on it.
"""

import asyncio
import datetime
import selectors

from cicadapond.kernel._clock import VIRTUAL_EPOCH, LoopClock


class DeadlockError(RuntimeError):
    """Every task waits and no timer is left that could wake one."""


class _TimerSelector(selectors.SelectSelector):
    """Moves the loop's time forward instead of waiting."""

    def __init__(self):
        super().__init__()
        self.elapsed_seconds = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise DeadlockError("all tasks wait and no timer is left")
        self.elapsed_seconds += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An asyncio event loop whose time moves from timer to timer."""

    def __init__(self):
        self._timers = _TimerSelector()
        super().__init__(self._timers)

    def time(self):
        """Returns the virtual time in seconds since the loop was made."""
        return self._timers.elapsed_seconds


class VirtualClock(LoopClock):
    """The virtual loop's time; the wall clock starts at a fixed instant."""

    def __init__(self):
        super().__init__(wall=lambda: VIRTUAL_EPOCH + self.monotonic())


def run_virtual(coro):
    """Runs a coroutine on a new virtual loop.

    Args:
      coro: The coroutine.

    Returns:
      What it returns.

    Raises:
      DeadlockError: If it waits for something that can no longer happen.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)


def seconds(value: float) -> datetime.timedelta:
    """Returns a duration of so many seconds."""
    return datetime.timedelta(seconds=value)
