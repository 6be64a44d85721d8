"""What a controller remembers between decisions; all of it can be lost and is learnt again."""

import datetime
import random

import attrs

from cicadapond.capacity import NeedTracker, ReclaimRates, Refusals


@attrs.define
class ControlMemory:
    """Refusals, reclaim rates and recent need.

    `surge_since` is when each pool was first seen to need a version change without a host more
    than planned being ready.
    """

    refusals: Refusals
    rates: ReclaimRates = attrs.field(factory=ReclaimRates)
    needs: NeedTracker = attrs.field(factory=NeedTracker)
    surge_since: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    reclaimed: set[str] = attrs.field(factory=set)

    @classmethod
    def fresh(cls, rng: random.Random) -> "ControlMemory":
        """Returns a memory without experience."""
        return cls(Refusals(rng))
