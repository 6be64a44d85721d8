"""An event loop on virtual time: sleeping takes no real time, and runs are deterministic.

Only for code that waits on timers and in-process messages; sockets are not supported.
"""

import asyncio
import datetime
import selectors

from cicadapond.kernel._clock import VIRTUAL_EPOCH, LoopClock


class DeadlockError(RuntimeError):
    """All tasks are waiting and no timer is pending that could wake one."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.elapsed_seconds = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise DeadlockError("all tasks are waiting and no timer is pending")
        self.elapsed_seconds += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An asyncio event loop whose time advances from timer to timer."""

    def __init__(self):
        self._timers = _VirtualTimeSelector()
        super().__init__(self._timers)

    def time(self):
        """Returns the virtual time in seconds since the loop was created."""
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
      The coroutine's result.

    Raises:
      DeadlockError: If all tasks are waiting and no timer is pending.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)


def seconds(value: float) -> datetime.timedelta:
    """Returns a duration of `value` seconds."""
    return datetime.timedelta(seconds=value)
