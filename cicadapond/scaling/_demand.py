"""Measures the engine time that requests ask for, as a rate; no I/O."""

import datetime
import math

from cicadapond.kernel import Clock

# Short enough to follow a burst, long enough to bridge the gaps between requests.
HALF_LIFE = datetime.timedelta(seconds=2)


class DemandMeter:
    """Measures demand by service, as the number of engines that its requests keep busy.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._work_s: dict[str, tuple[float, datetime.timedelta]] = {}

    def add(self, service: str, work: datetime.timedelta) -> None:
        """Counts the work of one request."""
        now = self._clock.monotonic()
        self._work_s[service] = (self._decayed(service, now) + work.total_seconds(), now)

    def busy_engines(self) -> dict[str, float]:
        """Returns, for each service, how many engines its requests keep busy."""
        now = self._clock.monotonic()
        # At a steady rate the decayed sum is the rate times the mean lifetime of its terms.
        mean_life_s = HALF_LIFE.total_seconds() / math.log(2.0)
        return {service: self._decayed(service, now) / mean_life_s for service in self._work_s}

    def _decayed(self, service, now):
        work, updated_at = self._work_s.get(service, (0.0, now))
        return work * 0.5 ** ((now - updated_at) / HALF_LIFE)
