"""Limits the retries that this process sends to a service."""

import collections
import datetime

from cicadapond.kernel import Clock

# The rest of the limit is left for the retries of processes that the process count does not include
# yet.
USABLE_FRACTION = 0.8


class RetryLimiter:
    """Counts first sends and retries per service over a sliding window.

    Each process is limited to a ratio of its own requests plus an equal part of the slack, so
    that the total limit holds whatever the processes know of each other.

    Args:
      ratio: Retries allowed per request.
      slack: Retries allowed in addition, for all processes together.
      window: The length of the window.
      clock: The clock.
    """

    def __init__(self, ratio: float, slack: float, window: datetime.timedelta, clock: Clock):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._clock = clock
        self._first_sends: dict[str, collections.deque] = {}
        self._retries: dict[str, collections.deque] = {}

    def record_request(self, service: str) -> None:
        """Counts a new request to a service."""
        self._record(self._first_sends, service)

    def allow(self, service: str, processes: int) -> bool:
        """Counts a retry if it is within the limit; returns whether it is.

        Args:
          service: The service.
          processes: How many processes share the slack.
        """
        first_sends = self._count_recent(self._first_sends, service)
        retries = self._count_recent(self._retries, service)
        limit = self._ratio * first_sends + self._slack / max(1, processes)
        if retries + 1 > limit * USABLE_FRACTION:
            return False
        self._record(self._retries, service)
        return True

    def _record(self, sends, service):
        self._count_recent(sends, service)
        sends.setdefault(service, collections.deque()).append(self._clock.monotonic())

    def _count_recent(self, sends, service):
        timestamps = sends.get(service)
        if not timestamps:
            return 0
        cutoff = self._clock.monotonic() - self._window
        while timestamps and timestamps[0] < cutoff:
            timestamps.popleft()
        return len(timestamps)
