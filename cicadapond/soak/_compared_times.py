"""Compares the times of sound requests without and with costly answers of another server.

Busy processes beside the deployment slow both alike, and excuse nothing.
"""

import statistics
import typing

import attrs

from cicadapond.soak._records import LOOKUP, PLAIN, History, Violation

# The median of the times may grow by this factor.
MAX_FACTOR = 1.5
# With fewer requests, chance decides.
MIN_COMPARED = 40


@attrs.frozen
class Medians:
    """The median times of sound requests in seconds, and how many there were at least."""

    without: float
    disturbed: float
    count: int

    @property
    def factor(self) -> float:
        """By what factor the times grow."""
        return self.disturbed / self.without


def medians(history: History) -> Medians | None:
    """Returns what all comparisons together found, None if there were too few requests."""
    phases = history.compared_times
    without = _times(history, [(each.begin, each.middle) for each in phases])
    disturbed = _times(history, [(each.middle, each.end) for each in phases])
    count = min(len(without), len(disturbed))
    if count < MIN_COMPARED:
        return None
    return Medians(statistics.median(without), statistics.median(disturbed), count)


def disturbed_times(history: History) -> typing.Iterator[Violation]:
    """Yields violations if costly answers of one server slowed requests to others."""
    found = medians(history)
    if found is not None and found.factor > MAX_FACTOR:
        times = f"{1000 * found.without:.0f} to {1000 * found.disturbed:.0f} ms"
        detail = f"median of {found.count} requests or more: {times}"
        yield Violation("costly answers", "times of sound requests", detail)


def _times(history, phases):
    """Returns how long the plain requests took that were sent in one of the phases."""
    return [
        call.ended_at - call.sent_at
        for call in history.calls
        if call.kind in (PLAIN, LOOKUP)
        and not call.has_left
        and any(begin <= call.sent_at < end for begin, end in phases)
    ]
