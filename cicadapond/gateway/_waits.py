"""For what, and how long, one request has waited before it was sent."""

import collections
import contextlib
import datetime
import typing

from cicadapond.kernel import Clock


class WaitTimes:
    """The times that one request has spent in the steps before a server has it.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._spent: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def measure(self, step: str) -> typing.Iterator[None]:
        """Adds the time that the body takes to that of a step."""
        begun = self._clock.monotonic()
        try:
            yield
        finally:
            took = self._clock.monotonic() - begun
            self._spent[step] += took // datetime.timedelta(microseconds=100)

    def in_milliseconds(self) -> dict[str, float]:
        """Returns the time spent in each step, in milliseconds, without those that took none."""
        return {step: tenths / 10 for step, tenths in self._spent.items() if tenths}
