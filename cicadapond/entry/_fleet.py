"""The entry's view of the backend servers: who there is, who leaves, how loaded each is."""

import datetime
import typing

import attrs

from cicadapond.backend import Engine, PlainService, engines, plain_services
from cicadapond.data import (
    BackendServer,
    HostEntry,
    HostListing,
    HostState,
    LoadReport,
    Notice,
    ServerKind,
)
from cicadapond.drain import LeavingBook
from cicadapond.peer import Digest, Member, MemberState, NoPeers, Peers, owner, rank
from cicadapond.routing import ServerView

ZONE_TERM = datetime.timedelta(seconds=3)
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
Listener = typing.Callable[[str, datetime.timedelta | None], None]


@attrs.define
class _Known:
    """One backend server: its view, its adapter, and whether the host list still has it."""

    view: ServerView
    adapter: Engine | PlainService
    listed: bool = True


class Fleet:
    """All backend servers that this process knows.

    Args:
      cfg: The entry's settings.
      clock: Gives the time.
      metrics: Takes counts.
      peers: The other processes of the system.
      connect: Makes a server's adapter; by default the one that the settings name.
    """

    def __init__(self, cfg, clock, metrics, peers: Peers | None = None, connect=None):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._peers = peers or NoPeers()
        self._connect = connect or self._connect_by_settings
        self._known: dict[str, _Known] = {}
        self._pools: dict[str, list[ServerView]] = {}
        self._heard: dict[str, Digest] = {}
        self._own_loads: dict[str, LoadReport] = {}
        self._leaving_listeners: list[Listener] = []
        self._changed: typing.Callable[[], None] = lambda: None
        self._watched: list[str] | None = None
        self._watched_of: set[str] = set()
        self._replaced: list[Engine | PlainService] = []
        self.book = LeavingBook(clock)
        self._peers.subscribe(self.hear)

    # What requests use

    def views(self, pool: str) -> list[ServerView]:
        """Returns the servers of a pool or service that take new work."""
        now = self._clock.monotonic()
        return [
            view
            for view in self._pools.get(pool, ())
            if not view.leaving and self._may_use(view.server.zone, now)
        ]

    def adapter(self, name: str) -> Engine | PlainService:
        """Returns a server's adapter.

        Raises:
          KeyError: If no server of this name is known.
        """
        return self._known[name].adapter

    def server(self, name: str) -> BackendServer | None:
        """Returns a backend server by name, None if it is not known."""
        known = self._known.get(name)
        return known.view.server if known else None

    def started(self, name: str) -> None:
        """Counts a request as running on a server."""
        self._known[name].view.own_in_flight += 1

    def finished(self, name: str) -> None:
        """Counts a request as no longer running on a server."""
        known = self._known.get(name)
        if known is None:
            return
        known.view.own_in_flight -= 1
        if known.view.own_in_flight == 0 and known.view.leaving:
            self._changed()

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server takes no new work, as unknown ones do not."""
        known = self._known.get(name)
        return known is None or known.view.leaving

    def on_leaving(self, callback: Listener) -> None:
        """Calls `callback` with a server's name, and the time left if known, once it leaves."""
        self._leaving_listeners.append(callback)

    def on_change(self, callback: typing.Callable[[], None]) -> None:
        """Calls `callback` when the own digest has news that must not wait."""
        self._changed = callback

    # Who there is

    def apply(self, listing: HostListing) -> list[Engine | PlainService]:
        """Takes a host list.

        Returns:
          Adapters of servers that are gone and have nothing in flight; the caller closes them.
        """
        listed = {entry.server.name: entry for entry in listing.hosts}
        for name, entry in listed.items():
            if entry.state is not HostState.GONE:
                self._take_entry(name, entry)
        for name, known in self._known.items():
            entry = listed.get(name)
            known.listed = entry is not None and entry.state is not HostState.GONE
            if not known.listed:
                known.view.leaving = True
        self.book.forget(set(listed))
        closed = self._collect() + self._replaced
        self._replaced = []
        self._rebuild_pools()
        return closed

    def _take_entry(self, name, entry: HostEntry):
        known = self._known.get(name)
        if known is not None and self._is_new_host(known, entry):
            self._metrics.count("hosts_replaced")
            if known.view.own_in_flight:
                return  # until its last streams have ended, the old host keeps the name
            self._replaced.append(self._known.pop(name).adapter)
            self.book.undo(name)
            known = None
        if known is None:
            view = ServerView(entry.server, live_since=self._clock.monotonic())
            known = _Known(view, self._connect(entry.server))
            self._known[name] = known
            self._sum_peers(name)
        known.view.leaving = self.book.is_leaving(name)
        if entry.state is HostState.LEAVING:
            self.notice(Notice(name, "host-list"))

    def _is_new_host(self, known, entry):
        """Whether a line is of another host than before: another address, or back after a gap."""
        if entry.state is not HostState.LIVE:
            return False
        return entry.server != known.view.server or not known.listed

    def _collect(self):
        gone = [
            name
            for name, known in self._known.items()
            if not known.listed and known.view.own_in_flight == 0
        ]
        return [self._known.pop(name).adapter for name in gone]

    def _rebuild_pools(self):
        names = self._known.keys()
        if names != self._watched_of:
            self._watched = None
            self._watched_of = set(names)
        self._pools = {}
        for known in self._known.values():
            self._pools.setdefault(known.view.server.pool, []).append(known.view)

    def _connect_by_settings(self, server):
        if server.kind is ServerKind.ENGINE:
            return engines.create(self._cfg.engine_adapter, server, self._clock, self._metrics)
        return plain_services.create(self._cfg.service_adapter, server, self._clock, self._metrics)

    def _may_use(self, zone, now):
        """Whether this process may send work to a data centre: it must hear from there.

        Those who drain a server wait for every process that they can ask; one that they cannot
        ask has stopped by itself when the term is over.
        """
        if zone == self._cfg.zone or isinstance(self._peers, NoPeers):
            return True
        heard = self._peers.heard_from_zone(zone)
        return heard is not None and now - heard < ZONE_TERM

    # Who leaves

    def notice(self, notice: Notice) -> None:
        """Takes a notice from any source; the server takes no new work from now on."""
        was_leaving = self.book.is_leaving(notice.server)
        if not self.book.mark(notice.server, notice.source):
            return
        self._metrics.count("leaving_notices", source=notice.source)
        self._apply_book(notice.server, was_leaving, notice.left)

    def drain(self, name: str) -> int:
        """Marks a server as leaving on an operator's word, with acknowledgements.

        Returns:
          The drain's number.
        """
        was_leaving = self.book.is_leaving(name)
        if self.book.mark(name, "operator", acknowledge=True):
            self._apply_book(name, was_leaving, None)
        return self.book.number(name)

    def undrain(self, name: str) -> bool:
        """Lets a server take work again; a notice that still holds marks it anew.

        Returns:
          Whether it was leaving.
        """
        undone = self.book.undo(name)
        if undone:
            self._apply_book(name, True, None)
        return undone

    def _apply_book(self, name, was_leaving, left):
        leaving = self.book.is_leaving(name)
        known = self._known.get(name)
        if known is not None and known.listed:
            known.view.leaving = leaving
            if was_leaving and not leaving:
                known.view.live_since = self._clock.monotonic()
        self._changed()
        if leaving and not was_leaving:
            for listener in self._leaving_listeners:
                listener(name, left)

    # What other processes say

    def hear(self, member: Member) -> None:
        """Takes a member's digest, or its end."""
        if (member.state in _LIVE) != (member.name in self._heard):
            self._watched = None
        before = self._heard.get(member.name, Digest())
        digest = member.digest if member.state in _LIVE else Digest()
        self._heard[member.name] = digest
        if member.state not in _LIVE:
            del self._heard[member.name]
        self._merge_numbers(before.leaving, digest.leaving)
        if member.state in _LIVE and digest.revision >= before.revision:
            self._take_withdrawals(before.leaving, digest.leaving)
        self._merge_numbers(before.drains, digest.drains)
        for name in before.in_flight.keys() | digest.in_flight.keys():
            self._count_peers(name, digest.in_flight.get(name, 0) - before.in_flight.get(name, 0))
        for name, report in digest.loads.items():
            if report is not before.loads.get(name) and report != before.loads.get(name):
                self._take_report(name, report)

    def _merge_numbers(self, before, numbers):
        for name, number in numbers.items():
            was_leaving = self.book.is_leaving(name)
            if before.get(name) != number and self.book.merge(name, number):
                self._apply_book(name, was_leaving, None)

    def _take_withdrawals(self, before, numbers):
        """Ends drains that their live originator no longer names, as a controller does."""
        for name in sorted(before.keys() - numbers.keys()):
            if self.book.withdraw(name, before[name]):
                self._apply_book(name, True, None)

    def _count_peers(self, name, difference):
        known = self._known.get(name)
        if known is not None:
            known.view.peer_in_flight += difference

    def _sum_peers(self, name):
        counts = (digest.in_flight.get(name, 0) for digest in self._heard.values())
        self._known[name].view.peer_in_flight = sum(counts)

    # Load

    def watched(self) -> list[str]:
        """Returns the servers that this process polls for all: each has one watcher.

        It is one of the live entries of the server's data centre, by rendezvous hash, or of all
        if that has none.
        """
        if self._watched is None:
            by_zone = self._entries_by_zone()
            everyone = [name for names in by_zone.values() for name in names]
            self._watched = [
                name
                for name, known in self._known.items()
                if owner(name, by_zone.get(known.view.server.zone, everyone)) == self._cfg.name
            ]
        return self._watched

    def first_entries(self, key: str, count: int) -> list[str]:
        """Returns the live entries of the own data centre that a task falls to, by hash."""
        return rank(key, self._entries_by_zone()[self._cfg.zone])[:count]

    def _entries_by_zone(self):
        by_zone: dict[str, list[str]] = {self._cfg.zone: [self._cfg.name]}
        for member in self._peers.members():
            if member.state in _LIVE and member.role == "entry":
                by_zone.setdefault(member.zone, []).append(member.name)
        return by_zone

    def report(self, report: LoadReport) -> None:
        """Takes a report that this process has polled."""
        self._own_loads[report.server] = report
        self._take_report(report.server, report)

    def _take_report(self, name, report):
        if report.leaving:
            self.notice(Notice(name, "engine"))
        known = self._known.get(name)
        at = self._clock.monotonic() - report.age
        if known is not None and (known.view.report is None or at >= known.view.report_at):
            known.view.report = report
            known.view.report_at = at

    # The own digest

    def digest_parts(self) -> dict:
        """Returns what the fleet has to say in the own digest."""
        watched = set(self.watched())
        self._own_loads = {
            name: report for name, report in self._own_loads.items() if name in watched
        }
        return {
            "in_flight": {
                name: known.view.own_in_flight
                for name, known in self._known.items()
                if known.view.own_in_flight
            },
            "leaving": self.book.originated(),
            "drains": self.book.acknowledged(),
            "loads": dict(self._own_loads),
        }

    def is_foreign(self, name: str) -> bool:
        """Returns whether a server is of another data centre; its counts matter there."""
        known = self._known.get(name)
        return known is not None and known.view.server.zone != self._cfg.zone

    def state(self) -> list[dict]:
        """Returns every view with its ages, for a dump."""
        now = self._clock.monotonic()
        return [
            {
                "name": name,
                "pool": known.view.server.pool,
                "zone": known.view.server.zone,
                "listed": known.listed,
                "leaving": known.view.leaving,
                "sources": self.book.sources(name),
                "usable": self._may_use(known.view.server.zone, now),
                "own_in_flight": known.view.own_in_flight,
                "peer_in_flight": known.view.peer_in_flight,
                "report": known.view.report,
                "report_age": (now - known.view.report_at) if known.view.report else None,
            }
            for name, known in sorted(self._known.items())
        ]
