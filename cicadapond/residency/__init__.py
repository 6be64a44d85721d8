"""KV residency: which prompt parts the engines keep in memory, and what follows from it."""

from cicadapond.residency._cached_parts import (
    FETCH_MARGIN,
    CachedParts,
    Fetch,
    Following,
    NothingKnown,
    Residency,
)
from cicadapond.residency._calls import PartCalls
from cicadapond.residency._data import (
    CallsExceeded,
    NoAnswer,
    PartChange,
    PartEvents,
    PartList,
)
from cicadapond.residency._directory import PartDirectory
from cicadapond.residency._hashes import SharedParts, merge_groups, part_hash
from cicadapond.residency._holdings import EngineHoldings
from cicadapond.residency._publication import HeldParts, PacedValues, Publication
from cicadapond.residency._watching import WatchPlan

__all__ = [
    "FETCH_MARGIN",
    "CachedParts",
    "CallsExceeded",
    "EngineHoldings",
    "Fetch",
    "Following",
    "HeldParts",
    "NoAnswer",
    "NothingKnown",
    "PacedValues",
    "PartCalls",
    "PartDirectory",
    "PartChange",
    "PartEvents",
    "PartList",
    "Publication",
    "Residency",
    "SharedParts",
    "WatchPlan",
    "merge_groups",
    "part_hash",
]
