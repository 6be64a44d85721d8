"""Which start of a backend server wrote an answer, as far as that is known; no I/O.

A server may start again under its name, with other software, and answers before its new entry is
written.  Answers do not say which start wrote them.
"""

import datetime

import attrs

from cicadapond.containment import CrashTracker
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway.data import ServerEntry
from cicadapond.kernel import Clock

# A server's entry is written within this time of its first answer.
MAX_LISTING_DELAY = datetime.timedelta(seconds=2)
# By how much the clocks of a server and a process may differ.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)
# How many starts that answered after a crash are remembered; the oldest are dropped first.
MAX_ANSWERED = 4096


@attrs.define
class _Answered:
    """A start that answered after it was found crashed.

    Attributes:
      at: When it first did so.
      still_listed: Whether its entry was still there when that of a new start was due.
    """

    at: datetime.timedelta
    still_listed: bool = False


class ServerStarts:
    """Tells whether the entry by which a server was chosen is that of the start that answered.

    Args:
      clock: The clock; its wall-clock time is compared with the starts in the entries.
      registry: The known servers.
      crashes: Knows which starts crashed.
    """

    def __init__(self, clock: Clock, registry: ServerRegistry, crashes: CrashTracker):
        self._clock = clock
        self._registry = registry
        self._crashes = crashes
        self._answered: dict[str, _Answered] = {}

    def record_answer(self, entry: ServerEntry) -> None:
        """Records that a server, chosen by an entry, has begun to answer."""
        if self._crashes.crashed_at(entry.start) is not None:
            self._answered.setdefault(entry.start, _Answered(self._clock.monotonic()))
            while len(self._answered) > MAX_ANSWERED:
                del self._answered[next(iter(self._answered))]

    def record_down(self, entry: ServerEntry) -> None:
        """Records that a server was found down: what answered before may have been a new start."""
        self._answered.pop(entry.start, None)

    def is_version_sure(self, entry: ServerEntry, at: datetime.datetime) -> bool:
        """Returns whether the software that answered at a time was that of an entry.

        Args:
          entry: The entry by which the server was chosen.
          at: When its answer began, in UTC.
        """
        writer = entry
        for later in self._registry.later_starts(entry):
            born = datetime.timedelta(milliseconds=later.born) - MAX_CLOCK_DIFFERENCE
            if datetime.timedelta(seconds=at.timestamp()) < born:
                break
            if later.version != entry.version:
                return False
            writer = later
        crashed_at = self._crashes.crashed_at(writer.start)
        return crashed_at is None or at < crashed_at or self._is_still_listed(writer)

    def _is_still_listed(self, entry):
        """Returns whether a start that seemed to have crashed goes on."""
        answered = self._answered.get(entry.start)
        if answered is None:
            return False
        if not answered.still_listed:
            known = self._registry.find(entry.name)
            answered.still_listed = (
                known is not None
                and known.start == entry.start
                and self._registry.is_current_as_of(answered.at + MAX_LISTING_DELAY)
            )
        return answered.still_listed
