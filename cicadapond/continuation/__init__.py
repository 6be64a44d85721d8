"""Which software version began each stream, so that it goes on at the same one; no I/O.

What two versions write does not fit together, and the servers do not check it.
"""

from cicadapond.continuation._origins import (
    BUCKET,
    MIN_TOLD_AGE,
    ORIGIN_RETENTION,
    UNKNOWN_VERSION,
    Buckets,
    StreamOrigins,
    bucket_number,
    drop_old_buckets,
    merge_buckets,
)
from cicadapond.continuation._stored import (
    VERSIONS_REFRESH,
    BucketRows,
    StoredOrigins,
    UntoldStreams,
    VersionHistory,
    bucket_key,
    read_rows,
    versions_row,
)

__all__ = [
    "BUCKET",
    "MIN_TOLD_AGE",
    "ORIGIN_RETENTION",
    "UNKNOWN_VERSION",
    "VERSIONS_REFRESH",
    "BucketRows",
    "Buckets",
    "StoredOrigins",
    "StreamOrigins",
    "UntoldStreams",
    "VersionHistory",
    "bucket_key",
    "bucket_number",
    "drop_old_buckets",
    "merge_buckets",
    "read_rows",
    "versions_row",
]
