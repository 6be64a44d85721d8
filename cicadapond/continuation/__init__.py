"""Which software version began each stream, so that it goes on at the same one; no I/O.

What two versions write does not fit together, and the servers do not check it.
"""

from cicadapond.continuation._origins import (
    ORIGIN_RETENTION,
    Buckets,
    StreamOrigins,
    drop_old_buckets,
    merge_buckets,
)

__all__ = [
    "ORIGIN_RETENTION",
    "Buckets",
    "StreamOrigins",
    "drop_old_buckets",
    "merge_buckets",
]
