"""Capacity planning: which hosts to hold, to meet the latency targets at the lowest cost.

No I/O: a policy plans from prices, refusals, reclaims and need; the controller carries the plan
out.
"""

from cicadapond.capacity._api import (
    CapacityPolicy,
    CapacityView,
    HeldHost,
    Offer,
    PoolNeed,
    Target,
    capacity_policies,
    target_of,
)
from cicadapond.capacity._host_changes import HostChanges, host_changes
from cicadapond.capacity._memory import (
    UTILISATION_TARGET,
    NeedTracker,
    OfferKey,
    PoolLoad,
    ReclaimRates,
    Refusals,
)
from cicadapond.capacity._policies import CheapestMix, CheapestZone, OnDemandOnly

__all__ = [
    "UTILISATION_TARGET",
    "CapacityPolicy",
    "CapacityView",
    "CheapestMix",
    "CheapestZone",
    "HostChanges",
    "HeldHost",
    "NeedTracker",
    "Offer",
    "OfferKey",
    "OnDemandOnly",
    "PoolLoad",
    "PoolNeed",
    "ReclaimRates",
    "Refusals",
    "Target",
    "capacity_policies",
    "host_changes",
    "target_of",
]
