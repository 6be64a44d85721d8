"""How the documents of all members spread: changes to those who need them, versions compared.

The half of the membership state machine that knows documents; the other half knows who is alive.
"""

import abc
import random
import zlib

from cicadapond.peer._api import MemberState
from cicadapond.peer._documents import FLOODED, URGENT, DigestWriter
from cicadapond.peer._records import (
    LIVE,
    NOTHING_KNOWN,
    LinkState,
    Pending,
    Record,
    Send,
    is_live,
    lacks,
    line_order,
    same_start,
)
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._topology import relays
from cicadapond.peer._wire import MAX_NEWS_ITEMS, Change, Identity, News, Summary, Sync

MAX_LISTED_MEMBERS = 400
OWN_ZONE_SHARE = 0.5
ZONES_ASKED_AT_ONCE = 3


class Exchange(abc.ABC):
    """The documents of all members as one process has them, and what it sends of them.

    Args:
      cfg: The process's own identity and the intervals.
      writer: The own documents.
      rng: Chooses whom to compare with.
      metrics: Takes counts.
    """

    def __init__(self, cfg: PeerSettings, writer: DigestWriter, rng: random.Random, metrics):
        self.cfg = cfg
        self.records: dict[str, Record] = {}
        self.links: dict[str, LinkState] = {}
        self.changed: dict[str, None] = {}  # in order, so that runs repeat
        self.incarnation = 0
        self.state = MemberState.ALIVE
        self._rng = rng
        self._metrics = metrics
        self._writer = writer
        self._local = Pending()
        self._wide = Pending()
        self._outputs: list = []
        self._first_relays: dict[str, bool] = {}  # worked out anew each heartbeat

    @abc.abstractmethod
    def identity(self) -> Identity:
        """Returns the own line of the membership list."""

    def _announce(self, name):
        self.changed[name] = None
        for pending in (self._local, self._wide):
            pending.members[name] = None
            pending.urgent = True

    # Documents

    def _apply(self, sender, change, now):
        record = self.records.get(change.name)
        if record is None or record.state not in LIVE:
            return
        if not same_start(change.incarnation, record.incarnation):
            self._metrics.count("peer_changes_of_other_incarnation")
            return
        document = record.wide if change.wide else record.local
        before = document.version
        changed = document.apply(change.floor, change.base, change.top, change.items)
        if document.version < change.top:
            self._metrics.count("peer_gaps")
        if not changed:
            return
        record.digest = None
        if record.zone != self.cfg.zone:
            record.heard = now
        self.changed[change.name] = None
        if change.wide:
            self._pass_on(sender, record, before, changed)

    def _pass_on(self, sender, record, before, changed):
        """Queues news of another member for those who do not hear it from the member itself."""
        urgent = any(section in URGENT for section, _ in changed)
        own = record.zone == self.cfg.zone
        flooded = any(section in FLOODED for section, _ in changed)
        for section, _ in changed:
            if own or flooded:
                self._queue(self._wide, record.name, True, before, section)
            foreign_sender = sender.zone != self.cfg.zone
            if foreign_sender and not own and (urgent or self._first_relay(record.zone)):
                self._queue(self._local, record.name, True, before, section)

    def _queue(self, pending, name, wide, base, section):
        known = pending.documents.get((name, wide), base)
        pending.documents[name, wide] = min(known, base)
        pending.urgent |= section in URGENT

    def _flush(self, pending, names) -> int:
        """Sends what is pending; returns how many items that were."""
        names = tuple(names)
        members = [self._line(name) for name in pending.members if self._line(name)]
        documents = [
            (name, wide, base, self._document(name, wide))
            for (name, wide), base in pending.documents.items()
        ]
        pending.members.clear()
        pending.documents.clear()
        pending.urgent = False
        if not names:
            return 0
        found = [entry for entry in documents if entry[3] is not None]
        messages = self._news(members, found)
        self._outputs.extend(Send(names, news) for news in messages)
        return sum(len(change.items) for news in messages for change in news.changes)

    def _news(self, members, documents):
        """Returns messages of bounded size with these lines and the documents' newer items."""
        messages = []
        for start in range(0, len(members), MAX_LISTED_MEMBERS):
            messages.append(News(members[start : start + MAX_LISTED_MEMBERS], []))
        room = 0
        for name, wide, base, document in documents:
            for change in self._split(name, wide, base, document):
                if room < len(change.items) or not messages:
                    messages.append(News([], []))
                    room = MAX_NEWS_ITEMS
                messages[-1].changes.append(change)
                room -= len(change.items) + 1
        return messages

    def _split(self, name, wide, base, document):
        incarnation = self._incarnation(name)
        base = 0 if base < document.floor else base
        items = document.since(base)
        while True:
            part, items = items[:MAX_NEWS_ITEMS], items[MAX_NEWS_ITEMS:]
            top = part[-1][2] if items else document.version
            if top > base:
                yield Change(name, incarnation, wide, document.floor, base, top, part)
            base = top
            if not items:
                return

    def _send_own(self, name):
        mine = self.cfg.name
        documents = [(mine, True, 0, self._writer.wide), (mine, False, 0, self._writer.local)]
        news = self._news([self.identity()], documents)
        self._outputs.extend(Send((name,), message) for message in news)

    def _document(self, name, wide):
        if name == self.cfg.name:
            return self._writer.wide if wide else self._writer.local
        record = self.records.get(name)
        if record is None or record.state not in LIVE:
            return None
        return record.wide if wide else record.local

    def _line(self, name):
        if name == self.cfg.name:
            return self.identity()
        record = self.records.get(name)
        return record.identity() if record else None

    def _incarnation(self, name):
        return self.incarnation if name == self.cfg.name else self.records[name].incarnation

    # Comparing versions

    def _versions(self, zone, neighbour):
        """Returns the versions of a data centre's members.

        Local documents are compared only between their owner and a neighbour, a process of the
        same data centre; None asks a process of another one.
        """
        versions = {}
        for record in self.records.values():
            if zone is None or record.zone == zone:
                local = record.local.version if record.name == neighbour else 0
                state = record.state.value
                versions[record.name] = (record.incarnation, state, record.wide.version, local)
        if zone is None or zone == self.cfg.zone:
            local = self._writer.local.version if neighbour else 0
            own = (self.incarnation, self.state.value, self._writer.wide.version, local)
            versions[self.cfg.name] = own
        return versions

    def _compare(self):
        names = self._local_links() or self._foreign_links()
        if not names:
            return
        zones = {record.zone for record in self.records.values()} | {self.cfg.zone}
        own = self._rng.random() < OWN_ZONE_SHARE
        zone = self.cfg.zone if own else self._rng.choice(sorted(zones))
        partner = self._rng.choice(sorted(names))
        near = self.links[partner].zone == self.cfg.zone
        versions = self._versions(zone, partner if near else None)
        self._outputs.append(Send((partner,), Sync(zone, versions)))
        other = self._rng.choice(sorted(names))
        self._outputs.append(Send((other,), Summary(self._checksums())))

    def _checksums(self):
        """Returns a checksum of each data centre's live members, with their incarnations."""
        zones = {self.cfg.zone: [(self.cfg.name, self.incarnation)]}
        for record in self.records.values():
            if record.state in LIVE:
                line = (record.name, record.incarnation)
                zones.setdefault(record.zone, []).append(line)
        return {zone: zlib.crc32(repr(sorted(lines)).encode()) for zone, lines in zones.items()}

    def _differences(self, checksums, neighbour):
        """Returns questions about the data centres of which the other has another list."""
        mine = self._checksums()
        zones = sorted(mine.keys() | checksums.keys())
        differing = [zone for zone in zones if mine.get(zone) != checksums.get(zone)]
        chosen = self._rng.sample(differing, min(ZONES_ASKED_AT_ONCE, len(differing)))
        return [Sync(zone, self._versions(zone, neighbour)) for zone in chosen]

    def _answer(self, question, neighbour):
        mine = self._versions(question.zone, neighbour)
        if question.listed_only:
            mine = {name: mine[name] for name in question.versions if name in mine}
        members, documents = [], []
        for name, versions in mine.items():
            if name not in question.versions and not is_live(versions):
                continue
            theirs = question.versions.get(name, NOTHING_KNOWN)
            if line_order(versions) > line_order(theirs):
                members.append(self._line(name))
            documents.extend(self._newer_documents(name, versions, theirs))
        missing = {
            name: mine.get(name, NOTHING_KNOWN)
            for name, theirs in question.versions.items()
            if lacks(mine.get(name), theirs)
        }
        answer = self._news(members, documents)
        if missing:
            answer.append(Sync(question.zone, missing, listed_only=True))
        return answer

    def _newer_documents(self, name, mine, theirs):
        if not same_start(mine[0], theirs[0]):
            theirs = NOTHING_KNOWN
        for wide, place in ((True, 2), (False, 3)):
            document = self._document(name, wide)
            if document is not None and mine[place] > theirs[place]:
                yield name, wide, theirs[place], document

    # Whom documents go to

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

    def _first_relay(self, zone):
        if not self._first_relays:
            zones = self._live_by_zone()
            mine = zones.pop(self.cfg.zone)
            chosen = relays(self.cfg.zone, mine, zones, self.cfg.relays)
            self._first_relays.update({z: names[0] == self.cfg.name for z, names in chosen.items()})
        return self._first_relays.get(zone, False)
