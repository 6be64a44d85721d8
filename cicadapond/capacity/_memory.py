"""What capacity remembers between plans: refusals, reclaims and the recent need."""

import collections
import datetime
import math
import random

import attrs

from cicadapond.data import Market
from cicadapond.kernel import seconds

OfferKey = tuple[str, str, Market]

FIRST_BACKOFF = seconds(10)
LONGEST_BACKOFF = seconds(60)
RECLAIM_MEMORY = datetime.timedelta(hours=2)
SCALE_DOWN_HOLD = seconds(600)
UTILISATION_TARGET = 0.75
BACKLOG_WINDOW = seconds(15)
BACKLOG_LIMIT = seconds(60)
_HOUR = datetime.timedelta(hours=1)


@attrs.define
class _Backoff:
    wait: datetime.timedelta
    until: datetime.timedelta


class Refusals:
    """Which starts are not worth a try yet.

    After each refusal in a row the wait doubles; it is drawn anew between a half and the whole,
    so that controllers do not ask all at once.

    Args:
      rng: Draws the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._backoffs: dict[OfferKey, _Backoff] = {}

    def refused(
        self,
        key: OfferKey,
        now: datetime.timedelta,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Notes a refusal at a monotonic instant."""
        known = self._backoffs.get(key)
        wait = FIRST_BACKOFF if known is None else min(2 * known.wait, LONGEST_BACKOFF)
        drawn = wait * self._rng.uniform(0.5, 1.0)
        self._backoffs[key] = _Backoff(wait, now + max(drawn, retry_after or drawn))

    def started(self, key: OfferKey) -> None:
        """Notes that a start was accepted."""
        self._backoffs.pop(key, None)

    def available(self, key: OfferKey, now: datetime.timedelta) -> bool:
        """Returns whether a start is worth a try."""
        known = self._backoffs.get(key)
        return known is None or now >= known.until

    def state(self, now: datetime.timedelta) -> dict:
        """Returns the backoffs in force, in seconds, for a dump."""
        return {
            " ".join((zone, machine_class, market.value)): (found.until - now).total_seconds()
            for (zone, machine_class, market), found in self._backoffs.items()
            if found.until > now
        }


class ReclaimRates:
    """How often hosts of each kind are reclaimed, weighed towards the recent past."""

    def __init__(self):
        self._reclaims = collections.Counter()
        self._host_hours = collections.Counter()
        self._at: datetime.timedelta | None = None

    def observe(self, held: dict[OfferKey, int], now: datetime.timedelta) -> None:
        """Counts the time that hosts were held since the last call, and lets the past fade."""
        elapsed = datetime.timedelta() if self._at is None else now - self._at
        self._at = now
        fade = math.exp(-elapsed / RECLAIM_MEMORY)
        for counts in (self._reclaims, self._host_hours):
            for key in counts:
                counts[key] *= fade
        for key, count in held.items():
            self._host_hours[key] += count * (elapsed / _HOUR)

    def reclaimed(self, key: OfferKey) -> None:
        """Notes a reclaim."""
        self._reclaims[key] += 1

    def per_hour(self, key: OfferKey) -> float:
        """Returns reclaims per host and hour; little experience counts as one quiet hour."""
        return self._reclaims[key] / (1.0 + self._host_hours[key])


@attrs.frozen
class PoolLoad:
    """Requests running and waiting in a pool."""

    running: float = 0.0
    waiting: float = 0.0


class NeedTracker:
    """The slots that a pool needs: up at once, down only after a quiet while.

    Of the requests that wait, no more count than run: a backlog shows a lack of slots but is not
    itself the number that is lacking.  None count while the backlog is on its way to be worked
    off within BACKLOG_LIMIT.
    """

    def __init__(self, hold: datetime.timedelta = SCALE_DOWN_HOLD):
        self._hold = hold
        self._recent: dict[str, collections.deque] = {}
        self._backlogs: dict[str, collections.deque] = {}

    def need(self, pool: str, load: PoolLoad, now: datetime.timedelta) -> float:
        """Notes a pool's load, and returns how many slots are needed.

        The need is the highest of the hold's time, at the utilisation that keeps the wait for a
        slot short.
        """
        falling = self._is_falling(pool, load.waiting, now)
        busy = load.running + (0.0 if falling else min(load.waiting, load.running))
        recent = self._recent.setdefault(pool, collections.deque())
        while recent and recent[-1][1] <= busy:
            recent.pop()
        recent.append((now, busy))
        while now - recent[0][0] > self._hold:
            recent.popleft()
        return recent[0][1] / UTILISATION_TARGET

    def _is_falling(self, pool, waiting, now):
        """Notes a backlog; returns whether it ends in time at the rate at which it falls."""
        backlogs = self._backlogs.setdefault(pool, collections.deque())
        backlogs.append((now, waiting))
        while now - backlogs[0][0] > BACKLOG_WINDOW:
            backlogs.popleft()
        before, most = backlogs[0]
        fallen = most - waiting
        return fallen > 0 and waiting * (now - before) <= fallen * BACKLOG_LIMIT
