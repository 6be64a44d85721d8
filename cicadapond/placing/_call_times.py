"""How long calls to the servers of a plain service take; no I/O.

A server whose first calls were slow (a cold start, a slow phase of its host) is not chosen while
others seem faster, so that nothing new is learned of it.  What was measured of a server therefore
counts less the more calls have gone elsewhere since, and the mean of the service takes its place,
so that the server is tried again.  Durations are milliseconds at the usual pace with a free slot.
"""

import attrs

# The assumed duration of a call before any was measured, and the weight of each measured one in the
# mean of the service.
INITIAL_CALL_MS = 30.0
CALL_TIME_GAIN = 0.1
# What was measured of a server counts half after so many calls to each server of the service; with
# 6 fewer calls were in time where servers have slow phases.
HALF_LIFE_ROUNDS = 15.0
# It counts half after this time as well: a process with a call a second would take minutes else.
HALF_LIFE_MS = 10_000.0
# A call counts as at most this multiple of the mean; one slow call says little.
MAX_CALL_RATIO = 4.0
# A call that took this multiple of the mean, after what was measured before had become this light,
# is one more retry that found the server still slow.  Each doubles the half-lives, up to
# MAX_SLOW_RETRIES: without it, 2 to 4% of the calls went to a server that is always 2.4 times
# slower.
SLOW_RATIO = 1.5
RETRY_WEIGHT = 0.5
MAX_SLOW_RETRIES = 3
# The weight of the mean of the service in the estimate of a server, in calls.
PRIOR_CALLS = 1.0
# That mean counts as this much shorter, so that of servers that seem equal the one that was
# measured least is tried.
PRIOR_DISCOUNT = 0.05


@attrs.define
class _Measured:
    """The calls to one server: their weight and mean, and when they were counted last."""

    weight: float
    mean_ms: float
    calls: int
    at: float
    slow_retries: int = 0


class CallTimes:
    """The call times of one service's servers."""

    def __init__(self):
        self._servers: dict[str, _Measured] = {}
        self._mean_ms: float | None = None
        self._calls = 0

    def expected_ms(self, server: str, now: float) -> float:
        """Returns the expected duration of a call; `now` is in milliseconds of monotonic time."""
        mean_ms = self._mean_ms if self._mean_ms is not None else INITIAL_CALL_MS
        prior_ms = (1.0 - PRIOR_DISCOUNT) * mean_ms
        found = self._servers.get(server)
        if found is None:
            return prior_ms
        weight = self._weight(found, now)
        return (weight * found.mean_ms + PRIOR_CALLS * prior_ms) / (weight + PRIOR_CALLS)

    def record(self, server: str, call_ms: float, now: float) -> None:
        """Records a measured call."""
        self._calls += 1
        mean_ms = self._mean_ms if self._mean_ms is not None else call_ms
        call_ms = min(call_ms, MAX_CALL_RATIO * mean_ms)
        self._mean_ms = mean_ms + CALL_TIME_GAIN * (call_ms - mean_ms)
        found = self._servers.get(server)
        if found is None:
            self._servers[server] = _Measured(1.0, call_ms, self._calls, now)
            return
        weight = self._weight(found, now)
        if call_ms < SLOW_RATIO * self._mean_ms:
            found.slow_retries = 0
        elif weight < RETRY_WEIGHT:
            found.slow_retries = min(MAX_SLOW_RETRIES, found.slow_retries + 1)
        found.weight = weight + 1.0
        found.mean_ms += (call_ms - found.mean_ms) / found.weight
        found.calls, found.at = self._calls, now

    def remove(self, server: str) -> None:
        """Drops what was measured of a server that is gone."""
        self._servers.pop(server, None)

    def _weight(self, found, now):
        rounds = (self._calls - found.calls) / len(self._servers)
        half_lives = rounds / HALF_LIFE_ROUNDS + (now - found.at) / HALF_LIFE_MS
        return found.weight * 0.5 ** (half_lives / 2**found.slow_retries)
