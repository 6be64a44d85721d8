"""Exit codes of `cicadapond-ctl`."""

import enum


class Exit(enum.IntEnum):
    """Result of a command, as the program's exit code; `meaning` is its text in the help page."""

    meaning: str

    def __new__(cls, code: int, meaning: str):
        member = int.__new__(cls, code)
        member._value_ = code
        member.meaning = meaning
        return member

    OK = 0, "done"
    UNAVAILABLE = 1, "the table service or a process did not answer; nothing was changed"
    USAGE = 2, "wrong arguments or settings"
    REJECTED = 3, "the document would be invalid, or the check found errors"
    STALE = 4, "another edit changed the section first"
    FORBIDDEN = 5, "the key may not edit the section"
    UNKNOWN = 6, "the edit may have been made; apply it again with the same token to find out"
    BEHIND = 7, "accepted, but not yet in force in all known processes"
    NOT_FOUND = 8, "the given logs have no line about the request"
    WARNINGS = 9, "the check found no errors, but warnings"
