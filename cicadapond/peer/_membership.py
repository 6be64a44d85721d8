"""The membership state machine: no sockets, no waiting; messages and the time in, outputs out.

In a data centre every process has a connection to every other one, on which it sends heartbeats
and the changes of its own digest.  A member that does not answer is probed through others before
it is suspected, and it can refute the suspicion with a higher incarnation.  Between data centres a
few processes of each, chosen by rendezvous hash, exchange what concerns everyone and pass it on.
What was missed anyway is found by comparing versions.
"""

import datetime
import random
import typing

import attrs

from cicadapond.data import Endpoint
from cicadapond.peer._api import Digest, Member, MemberState
from cicadapond.peer._documents import URGENT, DigestWriter, Document, read_digest
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._topology import rank
from cicadapond.peer._wire import (
    MAX_NEWS_ITEMS,
    Ack,
    Beat,
    Change,
    Identity,
    News,
    ProbeReply,
    ProbeRequest,
    Sync,
)

# An incarnation is the start time in milliseconds, shifted, plus the count of refutations.
REFUTATION_BITS = 16
PROBES = 3
MAX_LISTED_MEMBERS = 400
REMEMBERED_BEATS = 8
OWN_ZONE_SHARE = 0.5
NOTHING_KNOWN = (0, MemberState.ALIVE.value, 0, 0)
_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_LIVE = (MemberState.ALIVE, MemberState.SUSPECT)
_STATE_ORDER = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)

# What the state machine asks its task to do


@attrs.frozen(slots=True)
class Send:
    """Send a message on the own connection to each of these members."""

    names: tuple[str, ...]
    message: typing.Any


@attrs.frozen(slots=True)
class Redial:
    """Close the own connection to a member, which has gone silent, and dial anew."""

    name: str


@attrs.define
class Record:
    """What is known of one other process."""

    name: str
    zone: str
    role: str
    endpoint: Endpoint
    incarnation: int
    state: MemberState
    state_since: datetime.timedelta
    heard: datetime.timedelta
    vouched: datetime.timedelta = _ZERO
    probed: datetime.timedelta = _ZERO
    local: Document = attrs.field(factory=Document)
    wide: Document = attrs.field(factory=Document)
    digest: Digest | None = None

    def identity(self) -> Identity:
        """Returns the line of the membership list."""
        host, port = self.endpoint.host, self.endpoint.port
        state = self.state.value
        return Identity(self.name, self.zone, self.role, host, port, self.incarnation, state)

    def member(self) -> Member:
        """Returns the record as other modules see it."""
        if self.digest is None:
            self.digest = read_digest(self.local, self.wide)
        version = self.local.version + self.wide.version
        return Member(
            self.name,
            self.zone,
            self.role,
            self.incarnation,
            self.state,
            self.heard,
            version,
            self.digest,
        )


@attrs.define
class LinkState:
    """The own connection to one member: heartbeats sent, and when the last acknowledged left."""

    up_since: datetime.timedelta
    zone: str
    number: int = 0
    sent: dict = attrs.field(factory=dict)
    acked: datetime.timedelta | None = None


@attrs.define
class Pending:
    """News that waits to be sent to the members of one channel."""

    members: set = attrs.field(factory=set)
    documents: dict = attrs.field(factory=dict)
    urgent: bool = False


class Membership:
    """Membership as one process sees it.

    Args:
      cfg: The process's own identity and the intervals.
      now: The monotonic time.
      started: The wall-clock time of the start, from which the incarnation is made.
      rng: Chooses whom to probe and to compare with.
      metrics: Takes counts.
      wide_server: Whether counts in flight for a backend server matter in other data centres.
    """

    def __init__(
        self,
        cfg: PeerSettings,
        now: datetime.timedelta,
        started: datetime.datetime,
        rng: random.Random,
        metrics,
        wide_server: typing.Callable[[str], bool] = lambda server: False,
    ):
        self.cfg = cfg
        self.incarnation = int(started.timestamp() * 1000) << REFUTATION_BITS
        self.state = MemberState.ALIVE
        self.superseded = False
        self.records: dict[str, Record] = {}
        self.links: dict[str, LinkState] = {}
        self.zone_heard: dict[str, datetime.timedelta] = {}
        self.zone_answered: dict[str, datetime.timedelta] = {}
        self._own_answers: dict[str, datetime.timedelta] = {}
        self.changed: set[str] = set()
        self._rng = rng
        self._metrics = metrics
        self._writer = DigestWriter(cfg.wide_loads, wide_server)
        self._local = Pending()
        self._wide = Pending()
        self._outputs: list = []
        self._wanted: dict[str, Endpoint] | None = None
        self._unreachable: dict[str, datetime.timedelta] = {}
        self._last_tick = now
        self._grace = now
        self._next = dict.fromkeys(("beat", "relay", "sync", "sweep"), now)

    # What the process does

    def identity(self) -> Identity:
        """Returns the own line of the membership list."""
        cfg = self.cfg
        host, port = cfg.endpoint.host, cfg.endpoint.port
        return Identity(
            cfg.name, cfg.zone, cfg.role, host, port, self.incarnation, self.state.value
        )

    def publish(self, digest: Digest, now: datetime.timedelta) -> None:
        """Replaces the own digest."""
        before = {True: self._writer.wide.version, False: self._writer.local.version}
        for wide, section, _ in self._writer.publish(digest, now):
            self._queue(self._local, self.cfg.name, wide, before[wide], section)
            if wide:
                self._queue(self._wide, self.cfg.name, wide, before[wide], section)

    def leave(self) -> None:
        """Says that this process ends, so that nobody has to find out."""
        self.state = MemberState.LEFT
        self._announce(self.cfg.name)

    def tick(self, now: datetime.timedelta) -> None:
        """Does what is due; called a few times a second."""
        if now - self._last_tick > 2 * self.cfg.beat:
            self._grace = now
            self._metrics.count("peer_pauses")
        self._last_tick = now
        if self._due("relay", now, self.cfg.relay_beat):
            self._flush(self._wide, self._foreign_links())
            self._beat(now, self._foreign_links())
        if self._due("beat", now, self.cfg.beat):
            self._flush(self._local, self._local_links())
            self._beat(now, self._local_links())
            self._check_members(now)
        if self._due("sync", now, self.cfg.sync):
            self._compare()
        if self._due("sweep", now, 10 * _SECOND):
            self._sweep(now)
        self._check_links(now)

    def outputs(self) -> list:
        """Returns what to do since the last call, urgent news included."""
        if self._local.urgent:
            self._flush(self._local, self._local_links())
        if self._wide.urgent:
            self._flush(self._wide, self._foreign_links())
        outputs, self._outputs = self._outputs, []
        return outputs

    @property
    def urgent(self) -> bool:
        """Whether there is news that must not wait for the next heartbeat."""
        return self._local.urgent or self._wide.urgent

    # Connections

    def wanted(self) -> dict[str, Endpoint]:
        """Returns the members that this process keeps an own connection to."""
        if self._wanted is None:
            self._wanted = self._choose_wanted()
        return self._wanted

    def link_up(self, name: str, now: datetime.timedelta) -> None:
        """Takes note that the own connection to a member is up and both ends are known."""
        record = self.records[name]
        first = not self._local_links()
        self.links[name] = LinkState(now, record.zone)
        if record.zone == self.cfg.zone:
            self._send_own(name)
        if record.zone != self.cfg.zone or first:
            versions = self._versions(None, record.zone == self.cfg.zone)
            self._outputs.append(Send((name,), Sync(None, versions)))
        self._beat(now, (name,))

    def link_down(self, name: str, now: datetime.timedelta) -> None:
        """Takes note that the own connection to a member is gone, or could not be made."""
        self.links.pop(name, None)
        record = self.records.get(name)
        if record is not None and record.zone != self.cfg.zone:
            self._unreachable[name] = now
            self._wanted = None

    def hear(self, sender: str, message, now: datetime.timedelta) -> list:
        """Takes a message.

        Args:
          sender: The member whose connection it came on.
          message: The decoded message.
          now: The monotonic time.

        Returns:
          Messages to send back on the same connection.
        """
        record = self.records.get(sender)
        if record is None:
            return []
        record.heard = now
        match message:
            case Beat(number):
                if record.zone != self.cfg.zone:
                    self._own_answers[record.zone] = now
                    self._answer_zone(record.zone, now)
                ack = Ack(number, self._zone_ages(now))
                accused = record.state is not MemberState.ALIVE
                return [ack, News([record.identity()], [])] if accused else [ack]
            case Ack(number, zone_ages):
                self._take_ack(record, number, zone_ages, now)
            case News(members, changes):
                for identity in members:
                    self.merge(identity, now)
                for change in changes:
                    self._apply(record, change, now)
            case Sync():
                return self._answer(message, record.zone == self.cfg.zone)
            case ProbeRequest(target):
                return [ProbeReply(target, self._probe_age(target, now))]
            case ProbeReply(target, age) if age is not None and target in self.records:
                probed = self.records[target]
                probed.vouched = max(probed.vouched, now - age * _MILLISECOND)
        return []

    def hello(self, identity: Identity, now: datetime.timedelta) -> bool:
        """Takes the first message of a connection.

        Returns:
          Whether the connection is of use: not to this process itself.
        """
        if identity.name == self.cfg.name:
            return False
        self.merge(identity, now)
        self.records[identity.name].heard = now
        return True

    # The membership list

    def merge(self, identity: Identity, now: datetime.timedelta) -> None:
        """Takes a line of the membership list, if it is newer than what is known."""
        if identity.name == self.cfg.name:
            self._merge_own(identity)
            return
        state = MemberState(identity.state)
        known = self.records.get(identity.name)
        if known is None and state not in _LIVE:
            return  # forgotten here already; taking it back would keep it for ever
        if known is None:
            endpoint = Endpoint(identity.host, identity.port)
            known = Record(
                identity.name,
                identity.zone,
                identity.role,
                endpoint,
                identity.incarnation,
                state,
                now,
                now,
                vouched=now,
            )
            self.records[identity.name] = known
        elif not _newer(identity.incarnation, state, known):
            return
        else:
            self._replace_line(known, identity, state, now)
        if state not in _LIVE:
            self._drop_documents(known)
        self._wanted = None
        self._announce(identity.name)

    def _replace_line(self, known, identity, state, now):
        if not _same_start(identity.incarnation, known.incarnation):
            self._drop_documents(known)
            known.vouched = now
        known.zone = identity.zone
        known.role = identity.role
        known.endpoint = Endpoint(identity.host, identity.port)
        known.incarnation = identity.incarnation
        known.state = state
        known.state_since = now

    def _drop_documents(self, known):
        known.local = Document()
        known.wide = Document()
        known.digest = None

    def _merge_own(self, identity):
        if identity.incarnation >> REFUTATION_BITS > self.incarnation >> REFUTATION_BITS:
            if not self.superseded:
                self._metrics.count("peer_superseded")
            self.superseded = True
            return
        accused = identity.state != MemberState.ALIVE.value
        if self.state in _LIVE and accused and identity.incarnation >= self.incarnation:
            self.incarnation = identity.incarnation + 1
            self._metrics.count("peer_refutations")
            self._announce(self.cfg.name)

    def _announce(self, name):
        self.changed.add(name)
        for pending in (self._local, self._wide):
            pending.members.add(name)
            pending.urgent = True

    # Documents

    def _apply(self, sender, change, now):
        record = self.records.get(change.name)
        if record is None or record.state not in _LIVE:
            return
        if not _same_start(change.incarnation, record.incarnation):
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
        self.changed.add(change.name)
        if change.wide:
            self._pass_on(sender, record, before, changed)

    def _pass_on(self, sender, record, before, changed):
        """Queues news of another member for those who do not hear it from the member itself."""
        urgent = any(section in URGENT for section, _ in changed)
        own = record.zone == self.cfg.zone
        for section, _ in changed:
            if own or urgent:
                self._queue(self._wide, record.name, True, before, section)
            foreign_sender = sender.zone != self.cfg.zone
            if foreign_sender and not own and (urgent or self._first_relay(record.zone)):
                self._queue(self._local, record.name, True, before, section)

    def _queue(self, pending, name, wide, base, section):
        known = pending.documents.get((name, wide), base)
        pending.documents[name, wide] = min(known, base)
        pending.urgent |= section in URGENT

    def _flush(self, pending, names):
        names = tuple(names)
        members = [self._line(name) for name in pending.members if self._line(name)]
        documents = [
            (name, wide, base, self._document(name, wide))
            for (name, wide), base in pending.documents.items()
        ]
        pending.members.clear()
        pending.documents.clear()
        pending.urgent = False
        if names:
            found = [entry for entry in documents if entry[3] is not None]
            self._outputs.extend(Send(names, news) for news in self._news(members, found))

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
        if record is None or record.state not in _LIVE:
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

    def _versions(self, zone, with_local):
        """Returns the versions of a data centre's members; of local documents only inside it."""
        versions = {}
        for record in self.records.values():
            if zone is None or record.zone == zone:
                local = record.local.version if with_local else 0
                state = record.state.value
                versions[record.name] = (record.incarnation, state, record.wide.version, local)
        if zone is None or zone == self.cfg.zone:
            local = self._writer.local.version if with_local else 0
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
        versions = self._versions(zone, self.links[partner].zone == self.cfg.zone)
        self._outputs.append(Send((partner,), Sync(zone, versions)))

    def _answer(self, question, with_local):
        mine = self._versions(question.zone, with_local)
        if question.listed_only:
            mine = {name: mine[name] for name in question.versions if name in mine}
        members, documents = [], []
        for name, versions in mine.items():
            if name not in question.versions and not _is_live(versions):
                continue
            theirs = question.versions.get(name, NOTHING_KNOWN)
            if _line_order(versions) > _line_order(theirs):
                members.append(self._line(name))
            documents.extend(self._newer_documents(name, versions, theirs))
        missing = {
            name: mine.get(name, NOTHING_KNOWN)
            for name, theirs in question.versions.items()
            if _lacks(mine.get(name), theirs)
        }
        answer = self._news(members, documents)
        if missing:
            answer.append(Sync(question.zone, missing, listed_only=True))
        return answer

    def _newer_documents(self, name, mine, theirs):
        if not _same_start(mine[0], theirs[0]):
            theirs = NOTHING_KNOWN
        for wide, place in ((True, 2), (False, 3)):
            document = self._document(name, wide)
            if document is not None and mine[place] > theirs[place]:
                yield name, wide, theirs[place], document

    # Heartbeats, probes and suspicion

    def _beat(self, now, names):
        for name in names:
            link = self.links[name]
            link.number += 1
            link.sent[link.number] = now
            link.sent.pop(link.number - REMEMBERED_BEATS, None)
            self._outputs.append(Send((name,), Beat(link.number)))

    def _take_ack(self, record, number, zone_ages, now):
        link = self.links.get(record.name)
        sent = link.sent.get(number) if link else None
        if sent is None:
            return
        link.acked = max(link.acked or sent, sent)
        self._hear_zone(record.zone, sent)
        if record.zone != self.cfg.zone:
            return
        for zone, (heard, answered) in zone_ages.items():
            if heard >= 0:
                self._hear_zone(zone, sent - heard * _MILLISECOND)
            if answered >= 0:
                self._answer_zone(zone, now - answered * _MILLISECOND)

    def _hear_zone(self, zone, instant):
        self.zone_heard[zone] = max(self.zone_heard.get(zone, instant), instant)

    def _answer_zone(self, zone, instant):
        self.zone_answered[zone] = max(self.zone_answered.get(zone, instant), instant)

    def _zone_ages(self, now):
        """Returns the ages of the data centres that this process talks to directly."""
        ages = {}
        for link in self.links.values():
            if link.zone != self.cfg.zone and link.acked is not None:
                heard = (now - link.acked) // _MILLISECOND
                ages[link.zone] = (min(ages.get(link.zone, (heard,))[0], heard), -1)
        for zone, at in self._own_answers.items():
            heard = ages.get(zone, (-1,))[0]
            ages[zone] = (heard, (now - at) // _MILLISECOND)
        return ages

    def _last_direct(self, record):
        link = self.links.get(record.name)
        acked = link.acked if link and link.acked is not None else _ZERO
        return max(acked, record.heard)

    def _probe_age(self, target, now):
        record = self.records.get(target)
        if record is None or record.zone != self.cfg.zone:
            return None
        return (now - self._last_direct(record)) // _MILLISECOND

    def _check_members(self, now):
        silence = self.cfg.silence
        for record in self.records.values():
            if record.zone != self.cfg.zone or record.state not in _LIVE:
                continue
            if record.state is MemberState.SUSPECT:
                if now - max(record.state_since, self._grace) > self.cfg.suspicion:
                    self._set_state(record, MemberState.DEAD, now)
                continue
            last = max(self._last_direct(record), self._grace)
            if now - last <= silence:
                continue
            self._probe(record, now)
            if now - max(last, record.vouched) > silence + self.cfg.beat:
                self._set_state(record, MemberState.SUSPECT, now)

    def _probe(self, record, now):
        others = [name for name in self._local_links() if name != record.name]
        chosen = self._rng.sample(sorted(others), min(PROBES, len(others)))
        if chosen:
            record.probed = now
            self._outputs.append(Send(tuple(chosen), ProbeRequest(record.name)))

    def _set_state(self, record, state, now):
        self._metrics.count("peer_" + state.value)
        record.state = state
        record.state_since = now
        if state not in _LIVE:
            self._drop_documents(record)
        self._wanted = None
        self._announce(record.name)

    def _check_links(self, now):
        for name, link in list(self.links.items()):
            last = max(link.acked or link.up_since, link.up_since, self._grace)
            if now - last > self.cfg.silence:
                self._metrics.count("peer_silent_connections")
                self.link_down(name, now)
                self._outputs.append(Redial(name))

    # Housekeeping

    def _due(self, name, now, interval):
        if now < self._next[name]:
            return False
        self._next[name] = max(self._next[name] + interval, now)
        return True

    def _sweep(self, now):
        for name, record in list(self.records.items()):
            if record.state not in _LIVE and now - record.state_since > self.cfg.forget:
                del self.records[name]
                self.links.pop(name, None)
                self._unreachable.pop(name, None)
        self._unreachable = {
            name: since for name, since in self._unreachable.items() if now - since < 10 * _SECOND
        }
        known = {record.zone for record in self.records.values()} | {self.cfg.zone}
        for ages in (self.zone_heard, self.zone_answered, self._own_answers):
            for zone in ages.keys() - known:
                del ages[zone]
        self._wanted = None

    def _local_links(self):
        return [name for name, link in self.links.items() if link.zone == self.cfg.zone]

    def _foreign_links(self):
        return [name for name, link in self.links.items() if link.zone != self.cfg.zone]

    def _live_by_zone(self):
        zones = {self.cfg.zone: [self.cfg.name]}
        for record in self.records.values():
            if record.state in _LIVE:
                zones.setdefault(record.zone, []).append(record.name)
        return zones

    def _first_relay(self, zone):
        mine = self._live_by_zone()[self.cfg.zone]
        return rank(f"{self.cfg.zone}>{zone}", mine)[0] == self.cfg.name

    def _choose_wanted(self):
        zones = self._live_by_zone()
        mine = zones.pop(self.cfg.zone)
        names = [name for name in mine if name != self.cfg.name]
        for zone, members in zones.items():
            relays = rank(f"{self.cfg.zone}>{zone}", mine)[: self.cfg.relays]
            if self.cfg.name in relays:
                ranked = rank(f"{zone}>{self.cfg.zone}", members)
                ranked.sort(key=lambda name: name in self._unreachable)
                names.extend(ranked[: self.cfg.relays])
        dead = [
            record.name
            for record in self.records.values()
            if record.zone == self.cfg.zone and record.state is MemberState.DEAD
        ]
        if dead:
            names.append(self._rng.choice(dead))
        return {name: self.records[name].endpoint for name in names}


def _order(state: str) -> int:
    return _STATE_ORDER.index(MemberState(state))


def _line_order(versions):
    return versions[0], _order(versions[1])


def _is_live(versions):
    return versions[1] in (MemberState.ALIVE.value, MemberState.SUSPECT.value)


def _same_start(incarnation, other):
    return incarnation >> REFUTATION_BITS == other >> REFUTATION_BITS


def _newer(incarnation, state, known):
    if incarnation != known.incarnation:
        return incarnation > known.incarnation
    return _STATE_ORDER.index(state) > _STATE_ORDER.index(known.state)


def _lacks(mine, theirs):
    """Whether somebody else's versions of a member show that something is missing here."""
    if mine is None:
        return _is_live(theirs)
    if _line_order(theirs) != _line_order(mine):
        return _line_order(theirs) > _line_order(mine)
    return theirs[2] > mine[2] or theirs[3] > mine[3]
