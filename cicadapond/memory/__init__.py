"""A bound on what one process holds of the bytes of others; decides without I/O."""

from cicadapond.memory._budget import (
    DEFAULT_MEMORY_BYTES,
    RESERVE_BYTES,
    Account,
    Kind,
    MemoryBudget,
    bound_of,
)
from cicadapond.memory._callers import CallerSlot, CallerSlots, CallerState, max_connections

__all__ = [
    "Account",
    "CallerSlot",
    "CallerSlots",
    "CallerState",
    "DEFAULT_MEMORY_BYTES",
    "Kind",
    "MemoryBudget",
    "RESERVE_BYTES",
    "bound_of",
    "max_connections",
]
