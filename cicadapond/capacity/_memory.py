"""State that is kept between plans: refusals, reclaims and the recent need."""

import collections
import datetime
import math
import random

import attrs

from cicadapond.data import Market
from cicadapond.kernel import seconds

OfferKey = tuple[str, str, Market]

INITIAL_BACKOFF = seconds(10)
MAX_BACKOFF = seconds(60)
RECLAIM_DECAY_TIME = datetime.timedelta(hours=2)
SCALE_DOWN_HOLD = seconds(600)
UTILISATION_TARGET = 0.75
BACKLOG_WINDOW = seconds(15)
MAX_BACKLOG_TIME = seconds(60)
_HOUR = datetime.timedelta(hours=1)


@attrs.define
class _Backoff:
    wait: datetime.timedelta
    until: datetime.timedelta


class Refusals:
    """Exponential backoff of starts that the cloud has refused.

    The wait doubles with each consecutive refusal, up to MAX_BACKOFF.  A jittered value between
    half and all of it is used, so that the controllers do not retry all at once.

    Args:
      rng: Draws the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._backoffs: dict[OfferKey, _Backoff] = {}

    def record_refusal(
        self,
        key: OfferKey,
        now: datetime.timedelta,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Records a refusal at a monotonic instant; the wait is at least `retry_after`."""
        backoff = self._backoffs.get(key)
        wait = INITIAL_BACKOFF if backoff is None else min(2 * backoff.wait, MAX_BACKOFF)
        jittered_wait = wait * self._rng.uniform(0.5, 1.0)
        self._backoffs[key] = _Backoff(wait, now + max(jittered_wait, retry_after or jittered_wait))

    def record_start(self, key: OfferKey) -> None:
        """Records that a start was accepted, which ends the backoff."""
        self._backoffs.pop(key, None)

    def available(self, key: OfferKey, now: datetime.timedelta) -> bool:
        """Returns whether a start may be tried."""
        backoff = self._backoffs.get(key)
        return backoff is None or now >= backoff.until

    def state(self, now: datetime.timedelta) -> dict:
        """Returns the backoffs in force, in seconds, for a dump."""
        return {
            " ".join((zone, machine_class, market.value)): (backoff.until - now).total_seconds()
            for (zone, machine_class, market), backoff in self._backoffs.items()
            if backoff.until > now
        }


class ReclaimRates:
    """How often hosts of each kind are reclaimed, with exponential decay of past counts."""

    def __init__(self):
        self._reclaims = collections.Counter()
        self._host_hours = collections.Counter()
        self._at: datetime.timedelta | None = None

    def observe(self, held: dict[OfferKey, int], now: datetime.timedelta) -> None:
        """Counts the time that hosts were held since the last call, and decays past counts."""
        elapsed = datetime.timedelta() if self._at is None else now - self._at
        self._at = now
        decay = math.exp(-elapsed / RECLAIM_DECAY_TIME)
        for counts in (self._reclaims, self._host_hours):
            for key in counts:
                counts[key] *= decay
        for key, count in held.items():
            self._host_hours[key] += count * (elapsed / _HOUR)

    def record_reclaim(self, key: OfferKey) -> None:
        """Records a reclaim."""
        self._reclaims[key] += 1

    def per_hour(self, key: OfferKey) -> float:
        """Returns reclaims per host and hour.

        One host-hour without reclaims is added, so that a short observation gives no high rate.
        """
        return self._reclaims[key] / (1.0 + self._host_hours[key])


@attrs.frozen
class PoolLoad:
    """Requests running and waiting in a pool."""

    running: float = 0.0
    waiting: float = 0.0


class NeedTracker:
    """Tracks the slots that a pool needs: up at once, and down only after a hold time.

    Waiting requests count up to the number of running ones: a backlog shows that slots are
    missing, but its length is not the number of missing slots.  They do not count while the
    backlog shrinks fast enough to be worked off within MAX_BACKLOG_TIME.
    """

    def __init__(self, hold: datetime.timedelta = SCALE_DOWN_HOLD):
        self._hold = hold
        self._recent: dict[str, collections.deque] = {}
        self._backlogs: dict[str, collections.deque] = {}

    def need(self, pool: str, load: PoolLoad, now: datetime.timedelta) -> float:
        """Records a pool's load, and returns how many slots are needed.

        The need is the highest load within the hold time, at a utilisation that keeps the wait for
        a slot short.
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
        """Records a backlog; returns whether it shrinks fast enough to end in time."""
        backlogs = self._backlogs.setdefault(pool, collections.deque())
        backlogs.append((now, waiting))
        while now - backlogs[0][0] > BACKLOG_WINDOW:
            backlogs.popleft()
        since, previous = backlogs[0]
        decrease = previous - waiting
        return decrease > 0 and waiting * (now - since) <= decrease * MAX_BACKLOG_TIME
