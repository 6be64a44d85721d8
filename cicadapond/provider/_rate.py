"""A rate limit that returns how long to wait; used by the client's budget and the stand-ins."""

import datetime

ZERO = datetime.timedelta()


class RateLimit:
    """Admits work at a steady rate with a small burst.

    Args:
      per_second: Units of work admitted per second.
      burst: Units of work admitted at once after an idle period, besides the first.
    """

    def __init__(self, per_second: float, burst: float = 1.0):
        self.per_second = per_second
        self._burst_seconds = burst / per_second
        self._free_at_seconds = float("-inf")

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long work that arrives at the monotonic instant `now` would wait."""
        wait_seconds = self._free_at_seconds - self._burst_seconds - now.total_seconds()
        return datetime.timedelta(seconds=max(0.0, wait_seconds))

    def reserve(self, cost: float, now: datetime.timedelta) -> datetime.timedelta:
        """Reserves capacity for a piece of work.

        Args:
          cost: The units of work.
          now: The monotonic instant.

        Returns:
          How long the work has to wait before it starts.
        """
        wait = self.wait(now)
        start = max(self._free_at_seconds, now.total_seconds())
        self._free_at_seconds = start + cost / self.per_second
        return wait
