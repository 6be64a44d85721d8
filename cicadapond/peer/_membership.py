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

from cicadapond.data import Endpoint
from cicadapond.peer._api import Digest, MemberState
from cicadapond.peer._documents import DigestWriter, Document
from cicadapond.peer._exchange import Exchange
from cicadapond.peer._records import (
    LIVE,
    REFUTATION_BITS,
    LinkState,
    Record,
    Redial,
    Send,
    newer,
    same_start,
)
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._topology import rank, relays
from cicadapond.peer._wire import Ack, Beat, Identity, News, ProbeReply, ProbeRequest, Summary, Sync

PROBES = 3
# Ordinary news to the data centre waits until what was sent last has taken its share of a second.
NEWS_BYTES_PER_SECOND = 2500
ITEM_BYTES = 22
# Counts that are older than this are of no use for placing.
LONGEST_NEWS_INTERVAL = datetime.timedelta(seconds=25)
REMEMBERED_BEATS = 8
_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Membership(Exchange):
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
        super().__init__(cfg, DigestWriter(cfg.wide_loads, wide_server), rng, metrics)
        self.incarnation = int(started.timestamp() * 1000) << REFUTATION_BITS
        self.superseded = False
        self.zone_heard: dict[str, datetime.timedelta] = {}
        self.zone_answered: dict[str, datetime.timedelta] = {}
        self._own_answers: dict[str, datetime.timedelta] = {}
        self._wanted: dict[str, Endpoint] | None = None
        self._unreachable: dict[str, datetime.timedelta] = {}
        self._last_tick = now
        self._grace = now
        self._next = dict.fromkeys(("beat", "news", "relay", "sync", "sweep"), now)

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
            links = self._local_links()
            self._first_relays.clear()
            if now >= self._next["news"]:
                sent = self._flush(self._local, links) * len(links)
                interval = sent * ITEM_BYTES / NEWS_BYTES_PER_SECOND * _SECOND
                self._next["news"] = now + min(interval, LONGEST_NEWS_INTERVAL)
            self._beat(now, links)
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
            versions = self._versions(None, self._neighbour(record))
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
                return self._answer(message, self._neighbour(record))
            case Summary(checksums):
                return self._differences(checksums, self._neighbour(record))
            case ProbeRequest(target):
                return [ProbeReply(target, self._probe_age(target, now))]
            case ProbeReply(target, age) if age is not None and target in self.records:
                probed = self.records[target]
                probed.vouched = max(probed.vouched, now - age * _MILLISECOND)
        return []

    def _neighbour(self, record):
        return record.name if record.zone == self.cfg.zone else None

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
        if known is None and state not in LIVE:
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
        elif not newer(identity.incarnation, state, known):
            return
        else:
            self._replace_line(known, identity, state, now)
        if state not in LIVE:
            self._drop_documents(known)
        self._wanted = None
        self._announce(identity.name)

    def _replace_line(self, known, identity, state, now):
        if not same_start(identity.incarnation, known.incarnation):
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
        if self.state in LIVE and accused and identity.incarnation >= self.incarnation:
            self.incarnation = identity.incarnation + 1
            self._metrics.count("peer_refutations")
            self._announce(self.cfg.name)

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
            if record.zone != self.cfg.zone or record.state not in LIVE:
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
        if state not in LIVE:
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
            if record.state not in LIVE and now - record.state_since > self.cfg.forget:
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

    def _choose_wanted(self):
        zones = self._live_by_zone()
        mine = zones.pop(self.cfg.zone)
        names = [name for name in mine if name != self.cfg.name]
        chosen = relays(self.cfg.zone, mine, zones, self.cfg.relays)
        for zone, members in zones.items():
            if self.cfg.name in chosen[zone]:
                names.extend(self._counterparts(zone, members, zones))
        dead = [
            record.name
            for record in self.records.values()
            if record.zone == self.cfg.zone and record.state is MemberState.DEAD
        ]
        if dead:
            names.append(self._rng.choice(dead))
        return {name: self.records[name].endpoint for name in names}

    def _counterparts(self, zone, members, zones):
        """Returns the members of another data centre to talk to: its relays if reachable."""
        others = zones.keys() - {zone} | {self.cfg.zone}
        relaying = relays(zone, members, others, self.cfg.relays)[self.cfg.zone]
        ranked = rank(f"{zone}>{self.cfg.zone}", members)
        ranked.sort(key=lambda name: (name in self._unreachable, name not in relaying))
        return ranked[: self.cfg.relays]
