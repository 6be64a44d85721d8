"""Which start of a backend server wrote an answer, as far as that is known; no I/O.

A server may start again under its name, with other software, and answers before its new entry is
written.  Answers do not say which start wrote them.
"""

import datetime

import attrs

from cicadapond.containment import CrashTracker
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.kernel import Clock
from cicadapond.serving import ServerEntry

# A server's entry is written within this time of its first answer.
MAX_LISTING_DELAY = datetime.timedelta(seconds=2)
# By how much the clocks of a server and a process may differ.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)
DEFAULT_MAX_TABLE_AGE = datetime.timedelta(seconds=3)
# For how long a server's word holds for further requests: shorter than it takes to start again.
MAX_ANSWER_AGE = datetime.timedelta(milliseconds=100)
# How many starts that answered after a crash are remembered; the oldest are dropped first.
MAX_ANSWERED = 4096
# The same for starts of which the server was asked.
MAX_STATED = 4096


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
      max_table_age: The age that the server table reaches while the store answers.

    Attributes:
      max_table_age: The same.
    """

    def __init__(
        self,
        clock: Clock,
        registry: ServerRegistry,
        crashes: CrashTracker,
        max_table_age: datetime.timedelta = DEFAULT_MAX_TABLE_AGE,
    ):
        self._clock = clock
        self._registry = registry
        self._crashes = crashes
        self._answered: dict[str, _Answered] = {}
        # When a server was last asked and said that it is this start.
        self._confirmed: dict[str, datetime.datetime] = {}
        # When the start that answers in place of a listed one began, since 1970.
        self._successors: dict[str, datetime.timedelta] = {}
        # When a connection to a start was last found broken.
        self._broken: dict[str, datetime.datetime] = {}
        self.max_table_age = max_table_age

    def record_answer(self, entry: ServerEntry) -> None:
        """Records that a server, chosen by an entry, has begun to answer."""
        if self._crashes.crashed_at(entry.start) is not None:
            self._answered.setdefault(entry.start, _Answered(self._clock.monotonic()))
            while len(self._answered) > MAX_ANSWERED:
                del self._answered[next(iter(self._answered))]

    def record_down(self, entry: ServerEntry) -> None:
        """Records that a server was found down: what answered before may have been a new start."""
        self._answered.pop(entry.start, None)

    def record_broken(self, entry: ServerEntry) -> None:
        """Records that a connection to a server broke, which may have ended."""
        _remember(self._broken, entry.start, self._clock.now())

    def record_stated(self, entry: ServerEntry, born: int, asked_at: datetime.datetime) -> None:
        """Records when the server at an entry's address says that it started.

        Args:
          entry: The entry.
          born: The start, in Unix milliseconds.
          asked_at: When it was asked, in UTC.
        """
        _remember(self._confirmed, attrs.evolve(entry, born=born).start, asked_at)
        if born == entry.born:
            self._successors.pop(entry.start, None)
        elif born > entry.born:
            began = datetime.timedelta(milliseconds=born)
            first = min(began, self._successors.get(entry.start, began))
            _remember(self._successors, entry.start, first)

    def is_confirmed(self, entry: ServerEntry, since: datetime.datetime) -> bool:
        """Returns whether a server, asked at a time or later, said that it is an entry's start."""
        confirmed_at = self._confirmed.get(entry.start)
        return confirmed_at is not None and confirmed_at >= since

    def is_just_confirmed(self, entry: ServerEntry) -> bool:
        """Returns whether a server has said a moment ago, and since it last broke, the same."""
        return self.is_confirmed(entry, self.word_holds_since(entry))

    def word_holds_since(self, entry: ServerEntry) -> datetime.datetime:
        """Returns since when, in UTC, what a server has said of its start still holds."""
        since = self._clock.now() - MAX_ANSWER_AGE
        return max(since, self._broken.get(entry.start, since))

    def has_unlisted(self, service: str) -> bool:
        """Returns whether a server of a service has started again and is not listed anew yet."""
        return any(
            entry.start in self._successors or self._crashes.has_restarted(entry.start)
            for entry in self._registry.all()
            if entry.service == service
        )

    def watch_answer(self, entry: ServerEntry) -> "AnswerVersion":
        """Records that a server, chosen by an entry, has begun to answer.

        Returns:
          The software version of its answer.
        """
        self.record_answer(entry)
        begun = self._clock.monotonic()
        is_current = self._registry.is_current_as_of(begun - self.max_table_age)
        return AnswerVersion(self, entry, self._clock.now(), begun, is_current)

    def version_of(self, answer: "AnswerVersion") -> str | None:
        """Returns the software version that wrote an answer, None if it is not sure."""
        entry, at = answer.entry, answer.at
        if self.is_confirmed(entry, at):
            return entry.version
        for later in self._registry.later_starts(entry):
            began = datetime.timedelta(milliseconds=later.born) + MAX_CLOCK_DIFFERENCE
            if began <= _since_epoch(at) and self.is_confirmed(later, at):
                return later.version
        if not self.is_version_sure(entry, at):
            return None
        is_listed = self._registry.find(entry.name) is not None
        is_reread = is_listed and self._registry.is_current_as_of(answer.begun)
        return entry.version if answer.is_current or is_reread else None

    def is_version_sure(self, entry: ServerEntry, at: datetime.datetime) -> bool:
        """Returns whether the software that answered at a time was that of an entry.

        Args:
          entry: The entry by which the server was chosen.
          at: When its answer began, in UTC.
        """
        writer = self._listed_writer(entry, at)
        if writer is None:
            return False
        crashed_at = self._crashes.crashed_at(writer.start)
        return (
            crashed_at is None
            or at < crashed_at
            or self.is_confirmed(writer, at)
            or self._is_still_listed(writer)
        )

    def may_be_sure(self, entry: ServerEntry, at: datetime.datetime) -> bool:
        """Returns whether nothing but a crash speaks against an entry's software at a time.

        A crash may have been told wrongly, and the server itself knows.
        """
        return self._listed_writer(entry, at) is not None

    def _listed_writer(self, entry, at):
        """Returns the entry of the start that answered at a time by the table, None if another."""
        writer = entry
        for later in self._registry.later_starts(entry):
            born = datetime.timedelta(milliseconds=later.born) - MAX_CLOCK_DIFFERENCE
            if _since_epoch(at) < born:
                break
            if later.version != entry.version:
                return None
            writer = later
        return None if self._is_succeeded(writer, at) else writer

    def _is_succeeded(self, entry, at):
        """Returns whether a server said that another start had followed before a time."""
        born = self._successors.get(entry.start)
        return born is not None and _since_epoch(at) >= born - MAX_CLOCK_DIFFERENCE

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


@attrs.define
class AnswerVersion:
    """The software version that wrote an answer, as far as it is known.

    Attributes:
      entry: The entry by which the server was chosen.
      at: When the answer began, in UTC.
      begun: The same as a monotonic time.
      is_current: Whether the server table was current then.
      version: The version that the answer is taken to be of.
    """

    _starts: ServerStarts
    entry: ServerEntry
    at: datetime.datetime
    begun: datetime.timedelta
    is_current: bool
    version: str = attrs.field(default=attrs.Factory(lambda self: self.entry.version, True))

    def is_sure(self) -> bool:
        """Returns whether the answer is, by what has become known, of this version."""
        return self._starts.version_of(self) == self.version

    def settle(self) -> bool:
        """Takes the version that has become known; returns whether one has."""
        known = self._starts.version_of(self)
        if known is not None:
            self.version = known
        return known is not None


def _since_epoch(at):
    return datetime.timedelta(seconds=at.timestamp())


def _remember(known, start, value):
    known.pop(start, None)
    known[start] = value
    while len(known) > MAX_STATED:
        del known[next(iter(known))]
