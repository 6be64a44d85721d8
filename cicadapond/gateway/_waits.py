"""For what, and how long, one request has waited before it was sent."""

import contextlib
import datetime
import typing

from cicadapond.kernel import Clock


def milliseconds(duration: datetime.timedelta) -> float:
    """Returns a duration in milliseconds, rounded for the log."""
    return round(duration / datetime.timedelta(milliseconds=1), 1)


class WaitTimes:
    """The times that one request has spent in the steps before a server has it.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._spent: dict[str, datetime.timedelta] = {}

    @contextlib.contextmanager
    def measure(self, step: str) -> typing.Iterator[None]:
        """Adds the time that the body takes to that of a step."""
        begun = self._clock.monotonic()
        try:
            yield
        finally:
            took = self._clock.monotonic() - begun
            self._spent[step] = self._spent.get(step, datetime.timedelta()) + took

    def in_milliseconds(self) -> dict[str, float]:
        """Returns the time spent in each step, in milliseconds, without those that took none."""
        spent = {step: milliseconds(duration) for step, duration in self._spent.items()}
        return {step: value for step, value in spent.items() if value}
