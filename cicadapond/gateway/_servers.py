"""Registry of the known backend servers and whether they accept new requests; no I/O."""

import datetime
import typing

import attrs

from cicadapond.continuation import ORIGIN_RETENTION
from cicadapond.kernel import Clock
from cicadapond.provider import era_of
from cicadapond.serving import ServerEntry

# After an outage of the store, running servers whose entries expired are listed again within two
# seconds.
RELIST_TIMEOUT = datetime.timedelta(milliseconds=1800)
# An entry that comes back with an older copy of the store stays unused for this long, unless its
# server writes it again.  If the server has left, the platform removes the entry before, after
# three heartbeat intervals of silence.
RETURNED_ENTRY_TIMEOUT = datetime.timedelta(seconds=6)
# How many starts that accept no more requests are remembered; the oldest are dropped first.
MAX_CLOSED = 4096
# The same for starts whose entries were removed.
MAX_REMOVED = 4096
# The same for the software of starts.
MAX_STARTS = 4096
# Streams that a server began before it went may be continued for this long.
SOFTWARE_VERSION_RETENTION = ORIGIN_RETENTION
# A server is listed for longer than this, so that a table read anew after it shows each one.
MIN_LISTED_TIME = datetime.timedelta(seconds=4)
_NEVER = datetime.timedelta.min


@attrs.frozen
class ServerChange:
    """The effect of an update.

    `kind` is "joined", "changed", "restarted", "leaving", "expiring" or "gone".  An expiring entry
    was removed and is still used for a while, as it may come back.
    """

    name: str
    kind: str
    entry: ServerEntry | None


class ServerRegistry:
    """The known backend servers by name.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: dict[str, ServerEntry] = {}
        self._versions: dict[str, int] = {}
        self._removal_due: dict[str, datetime.timedelta] = {}
        # Starts that accept no more requests.  Kept after their entry is gone, as an entry that
        # lapsed while the store was away comes back.
        self._closed: dict[str, int] = {}
        # The era of the last snapshot.
        self._era: int | None = None
        # The starts whose entries were removed, by name.
        self._removed: dict[str, int] = {}
        # Until when an entry that came back with an older copy is not used.
        self._returned: dict[str, datetime.timedelta] = {}
        # The service and the software version of each start, also of those that have gone.
        self._software: dict[str, tuple[str, str]] = {}
        self._current_as_of: datetime.timedelta | None = None
        # Since when each start of a server may be leaving.
        self._leaving_since: dict[str, datetime.timedelta] = {}
        # When the last server of a service and software version went.
        self._gone_versions: dict[tuple[str, str], datetime.timedelta] = {}
        # The entry of the start that followed another one under the same name.
        self._next_starts: dict[str, ServerEntry] = {}
        # Until when servers of which no entry was seen may have begun streams.
        self._unseen_until = _NEVER

    def usable(self, service: str) -> list[ServerEntry]:
        """Returns the servers of a service that accept new requests."""
        self._drop_overdue()
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and self.takes_requests(entry)
        ]

    def all(self) -> tuple[ServerEntry, ...]:
        """Returns all known servers, including leaving ones."""
        self._drop_overdue()
        return tuple(self._entries.values())

    def software_versions(self, service: str) -> set[str]:
        """Returns the software versions of a service's servers, also of those that went lately."""
        return {version for of_service, version in self._known_software() if of_service == service}

    def software_versions_of_others(self, service: str) -> set[str]:
        """Returns the same of all other services together."""
        return {version for of_service, version in self._known_software() if of_service != service}

    def _known_software(self):
        """Returns the service and the software version of all servers that went at most lately."""
        self._drop_overdue()
        oldest = self._clock.monotonic() - SOFTWARE_VERSION_RETENTION
        found = {(entry.service, entry.version) for entry in self._entries.values()}
        return found | {key for key, gone_at in self._gone_versions.items() if gone_at >= oldest}

    def knows_all_versions(self, since: datetime.timedelta) -> bool:
        """Returns whether `software_versions` has all versions that were listed before a time.

        Args:
          since: The monotonic time.
        """
        return self.is_current_as_of(since) and self._clock.monotonic() >= self._unseen_until

    def is_current_as_of(self, time: datetime.timedelta) -> bool:
        """Returns whether the entries are those of the store at a monotonic time or later."""
        return self._current_as_of is not None and self._current_as_of >= time

    def age(self) -> datetime.timedelta | None:
        """Returns how long ago the entries were those of the store, None if never."""
        if self._current_as_of is None:
            return None
        return self._clock.monotonic() - self._current_as_of

    def later_starts(self, entry: ServerEntry) -> typing.Iterator[ServerEntry]:
        """Yields the entries of the starts that followed under a server's name, oldest first."""
        following = self._next_starts.get(entry.start)
        while following is not None:
            yield following
            following = self._next_starts.get(following.start)

    def find(self, name: str) -> ServerEntry | None:
        """Returns a known server, also a leaving one, or None."""
        return self._entries.get(name)

    def software_of(self, start: str) -> tuple[str, str] | None:
        """Returns the service and the software version of a start, None if it is not known."""
        return self._software.get(start)

    def leaving_since(self, entry: ServerEntry) -> datetime.timedelta | None:
        """Returns since when a start of a server may be leaving, None if it does not leave.

        The store has it from then on or from a later time, up to when this process heard of it.
        """
        return self._leaving_since.get(entry.start)

    def confirm_current(self, since: datetime.timedelta) -> None:
        """Records that the entries were those of the store at this monotonic time."""
        self._current_as_of = max(since, self._current_as_of or since)

    def takes_requests(self, entry: ServerEntry) -> bool:
        """Returns whether this start of a server still accepts new requests."""
        known = self._entries.get(entry.name)
        if known is None or known.born != entry.born or known.is_leaving:
            return False
        if self._clock.monotonic() < self._returned.get(entry.name, _NEVER):
            return False
        return self._closed.get(entry.name) != entry.born

    def put(self, entry: ServerEntry, version: int) -> ServerChange | None:
        """Adds or updates an entry; returns the change, None if there is none."""
        if not self._is_newer(entry.name, version):
            return None
        self._returned.pop(entry.name, None)
        known = self._entries.get(entry.name)
        if known is not None:
            self._record_gone(known)
            if not entry.born:
                # A row without the start is no sign of another one, of which nothing is known.
                entry = attrs.evolve(entry, born=known.born)
        before = known.born if known is not None else self._removed.get(entry.name)
        if before is not None and entry.born > before:
            self._next_starts[f"{entry.name}/{before}"] = entry
            while len(self._next_starts) > MAX_STARTS:
                del self._next_starts[next(iter(self._next_starts))]
        self._entries[entry.name] = entry
        self._software[entry.start] = (entry.service, entry.version)
        while len(self._software) > MAX_STARTS:
            del self._software[next(iter(self._software))]
        if entry.is_leaving:
            self._record_leaving(entry)
        self._removal_due.pop(entry.name, None)
        if known is None:
            return ServerChange(entry.name, "leaving" if entry.is_leaving else "joined", entry)
        if entry.is_leaving and not known.is_leaving:
            return ServerChange(entry.name, "leaving", entry)
        if entry.born != known.born and known.born:
            return ServerChange(entry.name, "restarted", entry)
        return ServerChange(entry.name, "changed", entry) if known != entry else None

    def remove(self, name: str, version: int, after_outage: bool) -> ServerChange | None:
        """Removes an entry; returns the change, None if there is none now.

        Args:
          name: The server's name.
          version: The version of the removal.
          after_outage: Whether the store had an outage, during which the entry may have
            expired although the server still runs; the removal is delayed then.
        """
        if not self._is_newer(name, version):
            return None
        if name not in self._entries:
            self._record_unseen()
            return None
        if after_outage:
            self._removal_due.setdefault(name, self._clock.monotonic() + RELIST_TIMEOUT)
            return ServerChange(name, "expiring", self._entries[name])
        return self._drop(name)

    def replace(
        self,
        entries: typing.Mapping[str, tuple[ServerEntry, int]],
        version: int,
        after_outage: bool,
    ) -> list[ServerChange]:
        """Applies a snapshot of the server table; returns the changes."""
        era = era_of(version)
        is_older_copy = self._era is not None and era > self._era
        self._era = era
        read_at = self._current_as_of
        if read_at is not None and self._clock.monotonic() - read_at > MIN_LISTED_TIME:
            self._record_unseen()
        put = self._put_back if is_older_copy else self.put
        changes = [put(entry, at) for entry, at in entries.values()]
        for name in list(self._entries):
            if name not in entries:
                changes.append(self.remove(name, version, after_outage))
        return [change for change in changes if change is not None]

    def _put_back(self, entry, version):
        """Adds or updates an entry from an older copy, which may be out of date."""
        known = self._entries.get(entry.name)
        if known is not None and known.born > entry.born:
            return None
        if known is not None and known.born == entry.born and known.is_leaving:
            self.mark_closed(known)
        change = self.put(entry, version)
        if known is None and self._removed.get(entry.name) == entry.born:
            self._returned[entry.name] = self._clock.monotonic() + RETURNED_ENTRY_TIMEOUT
        return change

    def mark_closed(self, entry: ServerEntry) -> None:
        """Records that this start of a server accepts no more requests, whatever the table says.

        It said so itself, or another start answers at its address.
        """
        self._record_leaving(entry)
        self._closed[entry.name] = entry.born
        while len(self._closed) > MAX_CLOSED:
            del self._closed[next(iter(self._closed))]

    def _is_newer(self, name, version):
        if version <= self._versions.get(name, 0):
            return False
        self._versions[name] = version
        return True

    def _drop_overdue(self):
        now = self._clock.monotonic()
        for name in [name for name, due in self._removal_due.items() if due <= now]:
            self._drop(name)

    def _drop(self, name):
        entry = self._entries.pop(name, None)
        self._removal_due.pop(name, None)
        self._returned.pop(name, None)
        if entry is not None:
            self._removed.pop(name, None)
            self._removed[name] = entry.born
            while len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
            self._record_leaving(entry)
            if not entry.born:  # a later start under this name cannot be told from this one
                self._closed.pop(name, None)
            self._record_gone(entry)
        return ServerChange(name, "gone", entry)

    def _record_leaving(self, entry):
        now = self._clock.monotonic()
        since = self._current_as_of if self._current_as_of is not None else now
        self._leaving_since.setdefault(entry.start, min(since, now))
        while len(self._leaving_since) > MAX_STARTS:
            del self._leaving_since[next(iter(self._leaving_since))]

    def _record_unseen(self):
        """Records that servers may have been listed and removed between two reads of the table."""
        self._unseen_until = self._clock.monotonic() + SOFTWARE_VERSION_RETENTION

    def _record_gone(self, entry):
        self._gone_versions[entry.service, entry.version] = self._clock.monotonic()
