"""Classes of calls to the platform's storage; a lower number is served first."""

import enum


class StoreClass(enum.IntEnum):
    """Priority class of a call to the platform's storage, in order of precedence."""

    LEASE = 0
    AT_MOST_ONCE = 1
    DOCUMENT = 2
    JOURNAL = 3
    STATISTICS = 4
