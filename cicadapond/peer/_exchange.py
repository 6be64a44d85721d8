"""Dissemination of the documents of all members: changes are pushed, lost ones found by versions.

This is the half of the membership state machine that handles documents; the other half,
`_membership.py`, tracks which members are alive.
"""

import abc
import datetime
import random
import zlib

from cicadapond.peer._api import MemberState
from cicadapond.peer._documents import FLOODED, HELD, URGENT, DigestWriter
from cicadapond.peer._records import (
    LIVE,
    NOTHING_KNOWN,
    LinkState,
    PendingUpdates,
    Record,
    Send,
    is_behind,
    is_live,
    precedence,
    same_start,
)
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._topology import hubs, relays
from cicadapond.peer._wire import MAX_UPDATE_ITEMS, Change, Identity, Summary, Sync, Update

MAX_UPDATE_MEMBERS = 400
OWN_ZONE_SYNC_SHARE = 0.5
MAX_ZONES_SYNCED_AT_ONCE = 3
# Missing changes of one member are requested no more often than this.
REQUEST_INTERVAL = datetime.timedelta(seconds=1)


class Exchange(abc.ABC):
    """The documents of all members as one process has them, and the messages that spread them.

    Args:
      cfg: The process's own identity and the intervals.
      writer: Holds this process's own documents.
      rng: Chooses the members to compare versions with.
      metrics: Receives the counts.
    """

    def __init__(self, cfg: PeerSettings, writer: DigestWriter, rng: random.Random, metrics):
        self.cfg = cfg
        self.records: dict[str, Record] = {}
        self.links: dict[str, LinkState] = {}
        self.changed: dict[str, None] = {}  # ordered, so that runs are deterministic
        self.incarnation = 0
        self.state = MemberState.ALIVE
        # Whether updates wait, as this process has sent as much as it may.
        self.holds_updates = False
        # Whether all updates wait, as what was to be sent before has not left yet.
        self.is_congested = False
        self._rng = rng
        self._metrics = metrics
        self._writer = writer
        self._local_pending = PendingUpdates()
        self._wide_pending = PendingUpdates()
        self._outputs: list = []
        self._first_relay_cache: dict[str, bool] = {}  # recomputed after each heartbeat
        self._unreachable: dict[str, datetime.timedelta] = {}
        self._hubs: list[str] | None = None  # recomputed after each change of the members

    @abc.abstractmethod
    def identity(self) -> Identity:
        """Returns this process's entry in the membership list."""

    # Hubs

    def own_hubs(self) -> list[str]:
        """Returns the reachable hubs of this data centre, the primary one first; [] without hubs.

        All members choose the same ones as long as they agree on who is alive and reachable.
        """
        if not self.cfg.hubs:
            return []
        if self._hubs is None:
            live = [self.cfg.name, *self._live_by_zone()[self.cfg.zone][1:]]
            reachable = [name for name in live if name not in self._unreachable]
            self._hubs = hubs(self.cfg.zone, reachable, self.cfg.hubs)
        return self._hubs

    def is_hub(self) -> bool:
        """Returns whether the other processes of this data centre connect to this one."""
        return not self.cfg.hubs or self.cfg.name in self.own_hubs()

    def is_primary_hub(self) -> bool:
        """Returns whether this process forwards to the members of its data centre."""
        return not self.cfg.hubs or self.own_hubs()[0] == self.cfg.name

    def _announce(self, name):
        self.changed[name] = None
        for pending in (self._local_pending, self._wide_pending):
            pending.members[name] = None
            pending.urgent = True

    # Documents

    def _apply(self, sender, change, now) -> bool:
        """Applies a change of a document; returns whether earlier ones are missing."""
        record = self.records.get(change.name)
        if record is None or record.state not in LIVE:
            return False
        if not same_start(change.incarnation, record.incarnation):
            self._metrics.count("peer_changes_of_other_incarnation")
            return False
        document = record.wide if change.wide else record.local
        before = document.version
        changed = document.apply(change.floor, change.base, change.top, change.items)
        has_gap = document.version < change.top
        if has_gap:
            self._metrics.count("peer_gaps")
        if not changed:
            return has_gap
        record.digest = None
        if record.zone != self.cfg.zone:
            record.last_heard = now
        self.changed[change.name] = None
        if change.wide:
            self._forward(sender, record, before, changed)
        return has_gap

    def _forward(self, sender, record, before, changed):
        """Queues changes of another member for those who do not get them from the member itself."""
        if self.cfg.hubs:
            self._forward_as_hub(sender, record, before, changed)
            return
        urgent = any(section in URGENT for section, _ in changed)
        is_own_zone = record.zone == self.cfg.zone
        flooded = any(section in FLOODED for section, _ in changed)
        for section, _ in changed:
            if is_own_zone or flooded:
                self._enqueue(self._wide_pending, record.name, True, before, section)
            sender_is_foreign = sender.zone != self.cfg.zone
            if (
                sender_is_foreign
                and not is_own_zone
                and (urgent or self._is_first_relay(record.zone))
            ):
                self._enqueue(self._local_pending, record.name, True, before, section)

    def _forward_as_hub(self, sender, record, before, changed):
        """Queues changes between data centres and members, which only hubs connect.

        The hubs of a data centre receive the same changes; only the primary one forwards them.
        """
        if not self.is_primary_hub():
            return
        is_own_zone = record.zone == self.cfg.zone
        sent_by_itself = is_own_zone and record.name in self.own_hubs()
        for section, _ in changed:
            if is_own_zone and not sent_by_itself:
                self._enqueue(self._wide_pending, record.name, True, before, section)
                self._enqueue(self._local_pending, record.name, True, before, section)
            elif not is_own_zone and sender.zone != self.cfg.zone:
                self._enqueue(self._local_pending, record.name, True, before, section)

    def _enqueue(self, pending, name, wide, base, section):
        known = pending.documents.get((name, wide), base)
        pending.documents[name, wide] = min(known, base)
        pending.urgent |= section in URGENT
        if section in URGENT and section not in HELD:
            pending.prompt.add((name, wide))

    def _flush_local(self) -> int:
        """Sends what is pending for this data centre; returns the number of items sent.

        This process's own local document goes only to the hubs, if there are any.
        """
        if self.is_congested:
            return 0
        links = self._local_links()
        own = (self.cfg.name, False)
        if not self.cfg.hubs or self.holds_updates or own not in self._local_pending.documents:
            return self._flush(self._local_pending, links) * len(links)
        base = self._local_pending.documents.pop(own)
        messages = self._build_updates([], [(*own, base, self._writer.local)])
        recipients = tuple(name for name in self.own_hubs() if name in self.links)
        if recipients:
            self._outputs.extend(Send(recipients, message) for message in messages)
        return self._flush(self._local_pending, links) * len(links)

    def _flush(self, pending, names) -> int:
        """Sends the pending updates; returns the number of items in them."""
        if self.is_congested:
            return 0
        names = tuple(names)
        member_names, taken = pending.take(self.holds_updates)
        members = [self._identity_of(name) for name in member_names if self._identity_of(name)]
        documents = [
            (name, wide, base, self._document(name, wide)) for (name, wide), base in taken.items()
        ]
        if not names:
            return 0
        known_documents = [entry for entry in documents if entry[3] is not None]
        messages = self._build_updates(members, known_documents)
        self._outputs.extend(Send(names, updates) for updates in messages)
        return sum(len(change.items) for updates in messages for change in updates.changes)

    def _build_updates(self, members, documents):
        """Returns messages of bounded size with membership entries and changes of documents.

        Args:
          members: The entries.
          documents: Tuples (name, wide, base, document); items above version `base` are included.
        """
        messages = []
        for start in range(0, len(members), MAX_UPDATE_MEMBERS):
            messages.append(Update(members[start : start + MAX_UPDATE_MEMBERS], []))
        free_slots = 0
        for name, wide, base, document in documents:
            for change in self._split_changes(name, wide, base, document):
                if free_slots < len(change.items) or not messages:
                    messages.append(Update([], []))
                    free_slots = MAX_UPDATE_ITEMS
                messages[-1].changes.append(change)
                free_slots -= len(change.items) + 1
        return messages

    def _split_changes(self, name, wide, base, document):
        incarnation = self._incarnation(name)
        base = 0 if base < document.floor else base
        items = document.since(base)
        while True:
            part, items = items[:MAX_UPDATE_ITEMS], items[MAX_UPDATE_ITEMS:]
            top = part[-1][2] if items else document.version
            if top > base:
                yield Change(name, incarnation, wide, document.floor, base, top, part)
            base = top
            if not items:
                return

    def _send_own_documents(self, name):
        own_name = self.cfg.name
        documents = [(own_name, True, 0, self._writer.wide)]
        if not self.cfg.hubs or name in self.own_hubs():
            documents.append((own_name, False, 0, self._writer.local))
        updates = self._build_updates([self.identity()], documents)
        self._outputs.extend(Send((name,), message) for message in updates)

    def _document(self, name, wide):
        if name == self.cfg.name:
            return self._writer.wide if wide else self._writer.local
        record = self.records.get(name)
        if record is None or record.state not in LIVE:
            return None
        return record.wide if wide else record.local

    def _identity_of(self, name):
        if name == self.cfg.name:
            return self.identity()
        record = self.records.get(name)
        return record.identity() if record else None

    def _incarnation(self, name):
        return self.incarnation if name == self.cfg.name else self.records[name].incarnation

    # Comparing versions

    def _versions(self, zone, neighbour):
        """Returns the versions of the members of `zone`, of all if it is None, for another process.

        Versions of local documents are compared only between their owner and a process of the same
        data centre: `neighbour` is the name of the other process if it is one, else None.
        """
        versions = {}
        for record in self.records.values():
            if zone is None or record.zone == zone:
                local = record.local.version if record.name == neighbour else 0
                state = record.state.value
                versions[record.name] = (record.incarnation, state, record.wide.version, local)
        if zone is None or zone == self.cfg.zone:
            has_local = neighbour and (not self.cfg.hubs or neighbour in self.own_hubs())
            local = self._writer.local.version if has_local else 0
            own = (self.incarnation, self.state.value, self._writer.wide.version, local)
            versions[self.cfg.name] = own
        return versions

    def _compare_versions(self):
        candidates = self._local_links() or self._foreign_links()
        if not candidates:
            return
        zones = {record.zone for record in self.records.values()} | {self.cfg.zone}
        is_own_zone = self._rng.random() < OWN_ZONE_SYNC_SHARE
        zone = self.cfg.zone if is_own_zone else self._rng.choice(sorted(zones))
        partner = self._rng.choice(sorted(candidates))
        is_neighbour = self.links[partner].zone == self.cfg.zone
        versions = self._versions(zone, partner if is_neighbour else None)
        self._outputs.append(Send((partner,), Sync(zone, versions)))
        summary_partner = self._rng.choice(sorted(candidates))
        self._outputs.append(Send((summary_partner,), Summary(self._checksums())))

    def _checksums(self):
        """Returns a checksum of each data centre's live members, with their incarnations."""
        zones = {self.cfg.zone: [(self.cfg.name, self.incarnation)]}
        for record in self.records.values():
            if record.state in LIVE:
                member = (record.name, record.incarnation)
                zones.setdefault(record.zone, []).append(member)
        return {zone: zlib.crc32(repr(sorted(members)).encode()) for zone, members in zones.items()}

    def _sync_requests(self, checksums, neighbour):
        """Returns `Sync` requests for some of the data centres whose checksums differ."""
        mine = self._checksums()
        zones = sorted(mine.keys() | checksums.keys())
        differing = [zone for zone in zones if mine.get(zone) != checksums.get(zone)]
        chosen = self._rng.sample(differing, min(MAX_ZONES_SYNCED_AT_ONCE, len(differing)))
        return [Sync(zone, self._versions(zone, neighbour)) for zone in chosen]

    def _requests_for_missing(self, names, sender, now):
        """Returns requests to a sender for what is missing of some members' documents."""
        neighbour = sender.name if sender.zone == self.cfg.zone else None
        requests = []
        for name in names:
            record = self.records[name]
            if now - record.requested_at >= REQUEST_INTERVAL:
                record.requested_at = now
                versions = self._versions(record.zone, neighbour)
                requests.append(Sync(record.zone, {name: versions[name]}, listed_only=True))
        return requests

    def _reply_to_sync(self, request, neighbour):
        mine = self._versions(request.zone, neighbour)
        if request.listed_only:
            mine = {name: mine[name] for name in request.versions if name in mine}
        members, documents = [], []
        for name, versions in mine.items():
            if name not in request.versions and not is_live(versions):
                continue
            theirs = request.versions.get(name, NOTHING_KNOWN)
            if precedence(versions) > precedence(theirs):
                members.append(self._identity_of(name))
            documents.extend(self._newer_documents(name, versions, theirs))
        missing = {
            name: mine.get(name, NOTHING_KNOWN)
            for name, theirs in request.versions.items()
            if is_behind(mine.get(name), theirs)
        }
        replies = self._build_updates(members, documents)
        if missing:
            replies.append(Sync(request.zone, missing, listed_only=True))
        return replies

    def _newer_documents(self, name, mine, theirs):
        if not same_start(mine[0], theirs[0]):
            theirs = NOTHING_KNOWN
        for wide, version_index in ((True, 2), (False, 3)):
            document = self._document(name, wide)
            if document is not None and mine[version_index] > theirs[version_index]:
                yield name, wide, theirs[version_index], document

    # Recipients of documents

    def _local_links(self):
        return [name for name, link in self.links.items() if link.zone == self.cfg.zone]

    def _foreign_links(self):
        return [name for name, link in self.links.items() if link.zone != self.cfg.zone]

    def _live_by_zone(self):
        zones = {self.cfg.zone: [self.cfg.name]}
        for record in self.records.values():
            if record.state in LIVE:
                zones.setdefault(record.zone, []).append(record.name)
        return zones

    def _is_first_relay(self, zone):
        if not self._first_relay_cache:
            zones = self._live_by_zone()
            own_members = zones.pop(self.cfg.zone)
            chosen = relays(self.cfg.zone, own_members, zones, self.cfg.relays)
            self._first_relay_cache.update(
                {z: names[0] == self.cfg.name for z, names in chosen.items()}
            )
        return self._first_relay_cache.get(zone, False)
