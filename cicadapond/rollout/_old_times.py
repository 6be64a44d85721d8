"""How long requests take on the old version of a service, at the longest, by route.

It answers the load at the end of a shift: requests that would still run when the servers of the old
version stop are held until then.
"""

import collections
import datetime
import heapq
import typing

# The longest of the last responses, without one in `MANY`, is exceeded by this factor at most; what
# takes longer yet has the time for which a completion waits.
LONGEST_FACTOR, MANY = 1.25, 20
# With few of them responses last up to this many times their mean.
MEAN_FACTOR = 2.0
# A single response that took longer than this many times the mean is a fault's, not the route's.
MAX_MEAN_FACTOR = 4.0
# The longest response of this time counts, as the load may have grown since the order.
LONGEST_TIME = datetime.timedelta(seconds=3)
# No more responses than these are kept for each route.
MAX_RECENT = 100
# Assumed of a route without responses.
UNKNOWN = datetime.timedelta(milliseconds=400)


class OldTimes:
    """The durations of responses of the old version."""

    def __init__(self):
        self._means: dict[str, datetime.timedelta] = {}
        # By route, responses of the last time: (when, duration).
        self._recent: dict[str, collections.deque] = collections.defaultdict(collections.deque)

    def set_means(self, durations: typing.Mapping[str, float]) -> None:
        """Takes the mean durations by route, in seconds."""
        self._means = {
            route: datetime.timedelta(seconds=duration) for route, duration in durations.items()
        }

    def record(self, route: str, took: datetime.timedelta, now: datetime.timedelta) -> None:
        """Records a response that ended at a monotonic time."""
        recent = self._recent[route]
        recent.append((now, took))
        self._drop_old(recent, now)

    def lasts(self, route: str, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long a request takes at the longest that begins at a monotonic time."""
        recent = self._recent[route]
        self._drop_old(recent, now)
        # One in `MANY` is left out, as engines that have just started are slower.
        slowest = heapq.nlargest(len(recent) // MANY + 1, (took for _, took in recent))
        longest = LONGEST_FACTOR * (slowest[-1] if slowest else UNKNOWN)
        mean = self._means.get(route)
        if mean is None:
            return longest
        if len(recent) < MANY:
            longest = max(longest if recent else mean, MEAN_FACTOR * mean)
        return min(longest, MAX_MEAN_FACTOR * mean)

    def _drop_old(self, recent, now):
        while recent and (recent[0][0] < now - LONGEST_TIME or len(recent) > MAX_RECENT):
            recent.popleft()
