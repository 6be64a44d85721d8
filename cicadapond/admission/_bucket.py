"""A token bucket that limits the rate of requests; bursts are one second's worth, at least one."""

import datetime

# A smaller bucket would never hold the whole token that a request takes.
MIN_BURST = 1.0
_ZERO = datetime.timedelta()


class TokenBucket:
    """Limits one account's requests to its rate.

    Args:
      rate: Tokens a second.
      now: The monotonic instant at which the bucket is full.
    """

    def __init__(self, rate: float, now: datetime.timedelta):
        self._rate = rate
        self._tokens = self._burst
        self._at = now

    @property
    def _burst(self):
        return max(MIN_BURST, self._rate)

    def set_rate(self, rate: float, now: datetime.timedelta) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst)

    def take(self, now: datetime.timedelta) -> datetime.timedelta:
        """Takes a token.

        Returns:
          Zero if a token was taken, else the time until one is available.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return _ZERO
        return datetime.timedelta(seconds=(1.0 - self._tokens) / self._rate)

    def _refill(self, now):
        elapsed = max(0.0, (now - self._at).total_seconds())
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._at = now
