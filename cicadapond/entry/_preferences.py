"""Parses the request headers for priority, waiting time and asynchronous answers.

`Priority: u=N` is RFC 9218's urgency, `Prefer: respond-async, wait=N` RFC 7240's preferences.
"""

import datetime
import re

import attrs

from cicadapond.data import Priority

MAX_WAIT_SECONDS = 86_400
URGENCIES = {
    Priority.INTERACTIVE: range(0, 3),
    Priority.STANDARD: range(3, 5),
    Priority.BATCH: range(5, 8),
}
_URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:$|[,;])")
_WAIT = re.compile(r"(?:^|[,;])\s*wait=(\d{1,9})\s*(?:$|[,;])")
_RESPOND_ASYNC = re.compile(r"(?:^|[,;])\s*respond-async\s*(?:$|[,;])")


@attrs.frozen
class Preferences:
    """A caller's preferences; None where it states none."""

    priority: Priority | None = None
    wait: datetime.timedelta | None = None
    respond_async: bool = False


def read_preferences(priority: str, prefer: str) -> Preferences:
    """Returns the preferences in the values of the headers Priority and Prefer.

    Values that are not understood are ignored, as both RFCs require.
    """
    return Preferences(
        priority=_priority(priority),
        wait=_wait(prefer),
        respond_async=_RESPOND_ASYNC.search(prefer) is not None,
    )


def _priority(text):
    found = _URGENCY.search(text)
    if found is None:
        return None
    urgency = int(found[1])
    return next(level for level, urgencies in URGENCIES.items() if urgency in urgencies)


def _wait(text):
    found = _WAIT.search(text)
    if found is None:
        return None
    return datetime.timedelta(seconds=min(int(found[1]), MAX_WAIT_SECONDS))
