"""Exit codes of `cicadapond-ctl`."""

import enum


class Exit(enum.IntEnum):
    """What a command came to."""

    OK = 0
    UNAVAILABLE = 1  # the table service or a process did not answer; nothing was changed
    USAGE = 2  # wrong arguments or settings
    REJECTED = 3  # the document would not hold, or the check found something
    STALE = 4  # somebody else changed the section first
    FORBIDDEN = 5  # the key may not edit the section
    UNKNOWN = 6  # the edit may have been made; apply it again with the same token
    BEHIND = 7  # accepted, but not yet in force in every process that was asked
    NOT_FOUND = 8  # no line of the given logs tells of the request
