"""The part of a rate limit that one of several processes may use, without asking the others."""

import datetime
import typing

import attrs

from cicadapond.kernel import Clock


@attrs.frozen
class RateShares:
    """What all processes together may use of a rate limit.

    Attributes:
      lasting: The share of it in the long run.
      peak: The share of it for a while.
      burst: How many calls a process may make at the peak rate after a pause, besides the first.
    """

    lasting: float
    peak: float
    burst: int


class SharedRate:
    """When this process may make its next call; each process has an even part of the rate.

    Args:
      clock: The clock.
      per_second: The limit for all processes, in calls a second.
      shares: What they may use of it.
      processes: Returns how many processes there are.
    """

    def __init__(
        self,
        clock: Clock,
        per_second: float,
        shares: RateShares,
        processes: typing.Callable[[], int],
    ):
        self._clock = clock
        self._per_second = per_second
        self._shares = shares
        self._processes = processes
        # How many calls the lasting rate has not made up for yet; as a time, it would depend on the
        # number of processes when they were made.
        self._debt = 0.0
        self._counted_at = clock.monotonic()
        self._called_at: datetime.timedelta | None = None

    def next_at(self) -> datetime.timedelta:
        """Returns from which monotonic time on the next call is permitted."""
        self._make_up()
        missing = self._debt - self._shares.burst
        permitted = self._clock.monotonic() + missing * self.interval(self._shares.lasting)
        if self._called_at is None:
            return permitted
        return max(permitted, self._called_at + self.interval(self._shares.peak))

    def interval(self, share: float) -> datetime.timedelta:
        """Returns the time between two calls of a process if all use a share of the limit."""
        return datetime.timedelta(seconds=self._processes() / (share * self._per_second))

    def has_spare(self) -> bool:
        """Returns whether a call now would delay none that is made later."""
        self._make_up()
        return not self._debt

    def record_call(self) -> None:
        """Records that a call begins."""
        self._called_at = self._clock.monotonic()
        self.record_cost(1)

    def record_cost(self, calls: int) -> None:
        """Records that the last call counts as more calls than one."""
        self._make_up()
        self._debt += calls

    def _make_up(self):
        now = self._clock.monotonic()
        made_up = (now - self._counted_at) / self.interval(self._shares.lasting)
        self._debt = max(0.0, self._debt - made_up)
        self._counted_at = now
