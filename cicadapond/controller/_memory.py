"""State that a controller keeps between decisions; if lost, it is built up again."""

import datetime
import random

import attrs

from cicadapond.capacity import NeedTracker, ReclaimRates, Refusals


@attrs.define
class ControlMemory:
    """Refusals, reclaim rates and recent need.

    Attributes:
      refusals: Purchases that the cloud has refused.
      rates: How often hosts are reclaimed.
      needs: The recent need of each pool.
      surge_wanted_since: By pool, when a version change was first needed while no host beyond
        the planned number was ready; in monotonic time.
      leaving_hosts: IDs of the hosts that were being reclaimed at the last decision.
    """

    refusals: Refusals
    rates: ReclaimRates = attrs.field(factory=ReclaimRates)
    needs: NeedTracker = attrs.field(factory=NeedTracker)
    surge_wanted_since: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    leaving_hosts: set[str] = attrs.field(factory=set)

    @classmethod
    def empty(cls, rng: random.Random) -> "ControlMemory":
        """Returns a memory without observations."""
        return cls(Refusals(rng))
