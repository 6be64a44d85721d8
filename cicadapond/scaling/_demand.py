"""How much engine time requests ask for, as a rate; no I/O."""

import datetime
import math

from cicadapond.kernel import Clock

# Short enough to follow a burst, long enough to bridge the gaps between requests.
HALF_LIFE = datetime.timedelta(seconds=2)


class DemandMeter:
    """Engine time asked for by service, as busy engines: milliseconds of work a millisecond.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._work: dict[str, tuple[float, datetime.timedelta]] = {}

    def add(self, service: str, work: datetime.timedelta) -> None:
        """Counts the work of one request."""
        now = self._clock.monotonic()
        self._work[service] = (self._decayed(service, now) + work.total_seconds(), now)

    def busy_engines(self) -> dict[str, float]:
        """Returns, for each service, how many engines its requests keep busy."""
        now = self._clock.monotonic()
        # The decaying sum of a steady rate is the rate times the mean life of its parts.
        mean_life_s = HALF_LIFE.total_seconds() / math.log(2.0)
        return {service: self._decayed(service, now) / mean_life_s for service in self._work}

    def _decayed(self, service, now):
        work, at = self._work.get(service, (0.0, now))
        return work * 0.5 ** ((now - at) / HALF_LIFE)
