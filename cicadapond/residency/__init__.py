"""KV residency: which prompt parts the engines keep in memory, and what follows from it."""

from cicadapond.residency._calls import PartCalls
from cicadapond.residency._data import (
    CallsExceeded,
    NoAnswer,
    PartChange,
    PartEvents,
    PartList,
)

__all__ = [
    "CallsExceeded",
    "NoAnswer",
    "PartCalls",
    "PartChange",
    "PartEvents",
    "PartList",
]
