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


class NeedTracker:
    """The slots that a pool needs: up at once, down only after a quiet while."""

    def __init__(self, hold: datetime.timedelta = SCALE_DOWN_HOLD):
        self._hold = hold
        self._recent: dict[str, collections.deque] = {}

    def need(self, pool: str, busy_slots: float, now: datetime.timedelta) -> float:
        """Notes how many slots are in use or waited for, and returns how many are needed.

        The need is the highest of the hold's time, at the utilisation that keeps the wait for a
        slot short.
        """
        recent = self._recent.setdefault(pool, collections.deque())
        while recent and recent[-1][1] <= busy_slots:
            recent.pop()
        recent.append((now, busy_slots))
        while now - recent[0][0] > self._hold:
            recent.popleft()
        return recent[0][1] / UTILISATION_TARGET
