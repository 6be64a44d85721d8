"""The entry's view of the backend servers: membership, leaving state and load."""

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
from cicadapond.drain import LeavingServers
from cicadapond.peer import Digest, Member, MemberState, NoPeers, Peers, owner, rank
from cicadapond.routing import ServerView

ZONE_CONTACT_TIMEOUT = datetime.timedelta(seconds=3)
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
Listener = typing.Callable[[str, datetime.timedelta | None], None]


@attrs.define
class _ServerRecord:
    """One backend server, its adapter, and whether the host list still contains it."""

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
      connect: Creates a server's adapter; by default the adapter that the settings name.
    """

    def __init__(self, cfg, clock, metrics, peers: Peers | None = None, connect=None):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._peers = peers or NoPeers()
        self._connect = connect or self._connect_by_settings
        self._known: dict[str, _ServerRecord] = {}
        self._pools: dict[str, list[ServerView]] = {}
        self._digests: dict[str, Digest] = {}
        self._own_loads: dict[str, LoadReport] = {}
        self._leaving_listeners: list[Listener] = []
        self._notify_change: typing.Callable[[], None] = lambda: None
        self._watched: list[str] | None = None
        self._names_at_rebuild: set[str] = set()
        self._replaced: list[Engine | PlainService] = []
        self.leaving_servers = LeavingServers(clock)
        self._peers.subscribe(self.apply_digest)

    # Used by requests

    def views(self, pool: str) -> list[ServerView]:
        """Returns the servers of a pool or service that accept new work."""
        now = self._clock.monotonic()
        return [
            view
            for view in self._pools.get(pool, ())
            if not view.leaving and self._is_zone_usable(view.server.zone, now)
        ]

    def adapter(self, name: str) -> Engine | PlainService:
        """Returns a server's adapter.

        Raises:
          KeyError: If no server of this name is known.
        """
        return self._known[name].adapter

    def server(self, name: str) -> BackendServer | None:
        """Returns a backend server by name, None if it is not known."""
        record = self._known.get(name)
        return record.view.server if record else None

    def request_started(self, name: str) -> None:
        """Counts a request as running on a server."""
        self._known[name].view.own_in_flight += 1

    def request_finished(self, name: str) -> None:
        """Counts a request as no longer running on a server."""
        record = self._known.get(name)
        if record is None:
            return
        record.view.own_in_flight -= 1
        if record.view.own_in_flight == 0 and record.view.leaving:
            self._notify_change()

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server is leaving or unknown, so that it gets no new work."""
        record = self._known.get(name)
        return record is None or record.view.leaving

    def on_leaving(self, callback: Listener) -> None:
        """Registers a callback for servers that begin to leave: name, and time left if known."""
        self._leaving_listeners.append(callback)

    def on_change(self, callback: typing.Callable[[], None]) -> None:
        """Sets the callback for changes of the digest that are to be published at once."""
        self._notify_change = callback

    # Membership

    def apply(self, listing: HostListing) -> list[Engine | PlainService]:
        """Applies a host list.

        Returns:
          Adapters of removed servers without requests in flight; the caller closes them.
        """
        listed = {entry.server.name: entry for entry in listing.hosts}
        for name, entry in listed.items():
            if entry.state is not HostState.GONE:
                self._apply_entry(name, entry)
        for name, record in self._known.items():
            entry = listed.get(name)
            record.listed = entry is not None and entry.state is not HostState.GONE
            if not record.listed:
                record.view.leaving = True
        self.leaving_servers.forget(set(listed))
        unused = self._remove_unused() + self._replaced
        self._replaced = []
        self._rebuild_pools()
        return unused

    def _apply_entry(self, name, entry: HostEntry):
        record = self._known.get(name)
        if record is not None and self._is_replacement(record, entry):
            self._metrics.count("hosts_replaced")
            if record.view.own_in_flight:
                return  # the old host keeps the name until its last streams have ended
            self._replaced.append(self._known.pop(name).adapter)
            self.leaving_servers.unmark(name)
            record = None
        if record is None:
            view = ServerView(entry.server, live_since=self._clock.monotonic())
            record = _ServerRecord(view, self._connect(entry.server))
            self._known[name] = record
            self._sum_peer_in_flight(name)
        record.view.leaving = self.leaving_servers.is_leaving(name)
        if entry.state is HostState.LEAVING:
            self.apply_notice(Notice(name, "host-list"))

    def _is_replacement(self, record, entry):
        """Returns whether a live entry is a new host: changed, or listed again after a gap."""
        if entry.state is not HostState.LIVE:
            return False
        return entry.server != record.view.server or not record.listed

    def _remove_unused(self):
        gone = [
            name
            for name, record in self._known.items()
            if not record.listed and record.view.own_in_flight == 0
        ]
        return [self._known.pop(name).adapter for name in gone]

    def _rebuild_pools(self):
        names = self._known.keys()
        if names != self._names_at_rebuild:
            self._watched = None
            self._names_at_rebuild = set(names)
        self._pools = {}
        for record in self._known.values():
            self._pools.setdefault(record.view.server.pool, []).append(record.view)

    def _connect_by_settings(self, server):
        if server.kind is ServerKind.ENGINE:
            return engines.create(self._cfg.engine_adapter, server, self._clock, self._metrics)
        return plain_services.create(self._cfg.service_adapter, server, self._clock, self._metrics)

    def _is_zone_usable(self, zone, now):
        """Returns whether this process may send work to a data centre.

        It must have heard from there within the last `ZONE_CONTACT_TIMEOUT`. Whoever drains a
        server waits for the acknowledgements of all reachable processes; an unreachable one has
        stopped sending work by itself after this time.
        """
        if zone == self._cfg.zone or isinstance(self._peers, NoPeers):
            return True
        last_heard = self._peers.last_heard_from_zone(zone)
        return last_heard is not None and now - last_heard < ZONE_CONTACT_TIMEOUT

    # Leaving servers

    def apply_notice(self, notice: Notice) -> None:
        """Applies a notice from any source; the server gets no new work from now on."""
        was_leaving = self.leaving_servers.is_leaving(notice.server)
        if not self.leaving_servers.mark(notice.server, notice.source):
            return
        self._metrics.count("leaving_notices", source=notice.source)
        self._update_leaving(notice.server, was_leaving, notice.left)

    def drain(self, name: str) -> int:
        """Marks a server as leaving at an operator's request, and asks peers to acknowledge it.

        Returns:
          The drain's number, which a process publishes in its digest once it applies the drain.
        """
        was_leaving = self.leaving_servers.is_leaving(name)
        if self.leaving_servers.mark(name, "operator", acknowledge=True):
            self._update_leaving(name, was_leaving, None)
        return self.leaving_servers.number(name)

    def undrain(self, name: str) -> bool:
        """Returns a server to service; a notice that is still in force marks it as leaving again.

        Returns:
          Whether it was leaving.
        """
        undone = self.leaving_servers.unmark(name)
        if undone:
            self._update_leaving(name, True, None)
        return undone

    def _update_leaving(self, name, was_leaving, left):
        leaving = self.leaving_servers.is_leaving(name)
        record = self._known.get(name)
        if record is not None and record.listed:
            record.view.leaving = leaving
            if was_leaving and not leaving:
                record.view.live_since = self._clock.monotonic()
        self._notify_change()
        if leaving and not was_leaving:
            for listener in self._leaving_listeners:
                listener(name, left)

    # Digests of other processes

    def apply_digest(self, member: Member) -> None:
        """Applies a member's new digest, or removes the digest of a member that has ended."""
        if (member.state in _LIVE) != (member.name in self._digests):
            self._watched = None
        before = self._digests.get(member.name, Digest())
        digest = member.digest if member.state in _LIVE else Digest()
        self._digests[member.name] = digest
        if member.state not in _LIVE:
            del self._digests[member.name]
        self._merge_numbers(before.leaving, digest.leaving)
        if member.state in _LIVE and digest.revision >= before.revision:
            self._end_withdrawn_drains(before.leaving, digest.leaving)
        self._merge_numbers(before.drains, digest.drains)
        for name in before.in_flight.keys() | digest.in_flight.keys():
            self._add_peer_in_flight(
                name, digest.in_flight.get(name, 0) - before.in_flight.get(name, 0)
            )
        for name, report in digest.loads.items():
            if report is not before.loads.get(name) and report != before.loads.get(name):
                self._store_report(name, report)

    def _merge_numbers(self, before, numbers):
        for name, number in numbers.items():
            was_leaving = self.leaving_servers.is_leaving(name)
            if before.get(name) != number and self.leaving_servers.merge(name, number):
                self._update_leaving(name, was_leaving, None)

    def _end_withdrawn_drains(self, before, numbers):
        """Ends drains that a live originator, such as a controller, no longer publishes."""
        for name in sorted(before.keys() - numbers.keys()):
            if self.leaving_servers.end_drain(name, before[name]):
                self._update_leaving(name, True, None)

    def _add_peer_in_flight(self, name, difference):
        record = self._known.get(name)
        if record is not None:
            record.view.peer_in_flight += difference

    def _sum_peer_in_flight(self, name):
        counts = (digest.in_flight.get(name, 0) for digest in self._digests.values())
        self._known[name].view.peer_in_flight = sum(counts)

    # Load

    def watched(self) -> list[str]:
        """Returns the servers whose load this process polls on behalf of all processes.

        Each server has one watcher, chosen by rendezvous hashing among the live entries of its data
        centre, or among all live entries if its data centre has none.
        """
        if self._watched is None:
            by_zone = self._entries_by_zone()
            everyone = [name for names in by_zone.values() for name in names]
            self._watched = [
                name
                for name, record in self._known.items()
                if owner(name, by_zone.get(record.view.server.zone, everyone)) == self._cfg.name
            ]
        return self._watched

    def first_entries(self, key: str, count: int) -> list[str]:
        """Returns the first `count` live entries of this data centre, ranked by hash for a key."""
        return rank(key, self._entries_by_zone()[self._cfg.zone])[:count]

    def _entries_by_zone(self):
        by_zone: dict[str, list[str]] = {self._cfg.zone: [self._cfg.name]}
        for member in self._peers.members():
            if member.state in _LIVE and member.role == "entry":
                by_zone.setdefault(member.zone, []).append(member.name)
        return by_zone

    def store_report(self, report: LoadReport) -> None:
        """Stores a load report that this process has polled."""
        self._own_loads[report.server] = report
        self._store_report(report.server, report)

    def _store_report(self, name, report):
        if report.leaving:
            self.apply_notice(Notice(name, "engine"))
        record = self._known.get(name)
        at = self._clock.monotonic() - report.age
        if record is not None and (record.view.report is None or at >= record.view.report_at):
            record.view.report = report
            record.view.report_at = at

    # This process's digest

    def digest_parts(self) -> dict:
        """Returns the fleet's fields of this process's digest."""
        watched = set(self.watched())
        self._own_loads = {
            name: report for name, report in self._own_loads.items() if name in watched
        }
        return {
            "in_flight": {
                name: record.view.own_in_flight
                for name, record in self._known.items()
                if record.view.own_in_flight
            },
            "leaving": self.leaving_servers.assigned_numbers(),
            "drains": self.leaving_servers.numbers_to_acknowledge(),
            "loads": dict(self._own_loads),
        }

    def is_in_other_zone(self, name: str) -> bool:
        """Returns whether a server is in another data centre, which needs its in-flight counts."""
        record = self._known.get(name)
        return record is not None and record.view.server.zone != self._cfg.zone

    def state(self) -> list[dict]:
        """Returns the state of every server and the age of its report, for a dump."""
        now = self._clock.monotonic()
        return [
            {
                "name": name,
                "pool": record.view.server.pool,
                "zone": record.view.server.zone,
                "listed": record.listed,
                "leaving": record.view.leaving,
                "sources": self.leaving_servers.sources(name),
                "usable": self._is_zone_usable(record.view.server.zone, now),
                "own_in_flight": record.view.own_in_flight,
                "peer_in_flight": record.view.peer_in_flight,
                "report": record.view.report,
                "report_age": (now - record.view.report_at) if record.view.report else None,
            }
            for name, record in sorted(self._known.items())
        ]
