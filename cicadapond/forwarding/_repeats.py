"""How many repeats of requests a service may get from this process."""

import collections
import datetime

from cicadapond.kernel import Clock

# What is left of the bound for repeats that other processes' counts do not show yet.
USED_SHARE = 0.8


class RepeatBudget:
    """Counts first sends and repeats per service over a sliding window.

    Each of the system's processes keeps to its own requests' share and an even part of the
    slack, so that the sum holds whatever they know of each other.

    Args:
      ratio: Repeats allowed per request.
      slack: Repeats allowed besides, for all processes together.
      window: The length of the window.
      clock: Gives the time.
    """

    def __init__(self, ratio: float, slack: float, window: datetime.timedelta, clock: Clock):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._clock = clock
        self._firsts: dict[str, collections.deque] = {}
        self._repeats: dict[str, collections.deque] = {}

    def first(self, service: str) -> None:
        """Counts a request for a service."""
        self._add(self._firsts, service)

    def allow(self, service: str, processes: int) -> bool:
        """Spends a repeat; returns whether there was one.

        Args:
          service: The service.
          processes: How many processes share the slack.
        """
        firsts = self._recent(self._firsts, service)
        repeats = self._recent(self._repeats, service)
        limit = self._ratio * firsts + self._slack / max(1, processes)
        if repeats + 1 > limit * USED_SHARE:
            return False
        self._add(self._repeats, service)
        return True

    def _add(self, counts, service):
        self._recent(counts, service)
        counts.setdefault(service, collections.deque()).append(self._clock.monotonic())

    def _recent(self, counts, service):
        instants = counts.get(service)
        if not instants:
            return 0
        oldest = self._clock.monotonic() - self._window
        while instants and instants[0] < oldest:
            instants.popleft()
        return len(instants)
