"""A bound on what one process holds of the bytes of others; decides without I/O."""

from cicadapond.memory._budget import (
    DEFAULT_MEMORY_BYTES,
    RESERVE_BYTES,
    Account,
    Kind,
    MemoryBudget,
    bound_of,
)

__all__ = [
    "Account",
    "DEFAULT_MEMORY_BYTES",
    "Kind",
    "MemoryBudget",
    "RESERVE_BYTES",
    "bound_of",
]
