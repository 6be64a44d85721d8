"""A rate limit that tells how long to wait, shared by the client's budget and the stand-ins."""

import datetime

ZERO = datetime.timedelta()


class RateLimit:
    """Admits work at a steady rate with a small burst.

    Args:
      per_second: How much work is admitted each second.
      burst: How much work is admitted at once after an idle time.
    """

    def __init__(self, per_second: float, burst: float = 1.0):
        self.per_second = per_second
        self._burst_seconds = burst / per_second
        self._free_seconds = float("-inf")

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long work that arrives now would wait."""
        ahead = self._free_seconds - self._burst_seconds - now.total_seconds()
        return datetime.timedelta(seconds=max(0.0, ahead))

    def take(self, cost: float, now: datetime.timedelta) -> datetime.timedelta:
        """Takes work in.

        Args:
          cost: How much work it is.
          now: The monotonic instant.

        Returns:
          How long it has to wait before it is done.
        """
        wait = self.wait(now)
        start = max(self._free_seconds, now.total_seconds())
        self._free_seconds = start + cost / self.per_second
        return wait
