"""The membership state machine, without I/O: takes messages and the time, produces outputs.

In a data centre every process has a connection to every other one, on which it sends heartbeats
and the changes of its own digest.  A member that does not answer is probed through others before
it is suspected, and it can refute the suspicion with a higher incarnation.  Between data centres a
few processes of each, the relays chosen by rendezvous hash, exchange what every process needs and
forward it.  Updates that were lost are recovered by comparing versions.

In a large data centre that is too much traffic, as it grows with the square of the processes.
There the processes connect only to a few hubs, chosen by rendezvous hash too, which watch all
members, relay between data centres and forward.  A process whose hub does not answer takes the next
one at once, before the hub counts as dead.
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
    same_start,
    supersedes,
)
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._topology import hubs, rank, relays
from cicadapond.peer._wire import (
    Ack,
    Heartbeat,
    Identity,
    ProbeReply,
    ProbeRequest,
    Summary,
    Sync,
    Update,
)

PROBE_FANOUT = 3
# Rate limit of ordinary updates to this process's data centre: after a flush, the next one waits as
# long as sending the estimated size of the last one takes at this rate.
LOCAL_UPDATE_BYTES_PER_SECOND = 2500
ESTIMATED_ITEM_BYTES = 22
# In-flight counts older than this are useless for routing.
MAX_LOCAL_UPDATE_INTERVAL = datetime.timedelta(seconds=25)
REMEMBERED_HEARTBEATS = 8
_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Membership(Exchange):
    """Membership as one process knows it.

    Args:
      cfg: The process's own identity and the intervals.
      now: The monotonic time.
      started: The wall-clock time of the start, from which the incarnation is derived.
      rng: Chooses the members to probe through and to compare versions with.
      metrics: Receives the counts.
      is_wide_server: Whether in-flight counts for a backend server are sent to other data centres.
    """

    def __init__(
        self,
        cfg: PeerSettings,
        now: datetime.timedelta,
        started: datetime.datetime,
        rng: random.Random,
        metrics,
        is_wide_server: typing.Callable[[str], bool] = lambda server: False,
    ):
        super().__init__(cfg, DigestWriter(cfg.wide_loads, is_wide_server), rng, metrics)
        self.incarnation = int(started.timestamp() * 1000) << REFUTATION_BITS
        self.superseded = False
        self.zone_last_heard: dict[str, datetime.timedelta] = {}
        self.zone_last_acked: dict[str, datetime.timedelta] = {}
        self._own_ack_times: dict[str, datetime.timedelta] = {}
        self._wanted_links: dict[str, Endpoint] | None = None
        self._last_tick = now
        self._running_since = now
        self._next_due = dict.fromkeys(("beat", "news", "relay", "sync", "sweep"), now)

    # Actions of this process

    def identity(self) -> Identity:
        """Returns this process's entry in the membership list."""
        cfg = self.cfg
        host, port = cfg.endpoint.host, cfg.endpoint.port
        return Identity(
            cfg.name, cfg.zone, cfg.role, host, port, self.incarnation, self.state.value
        )

    def publish(self, digest: Digest, now: datetime.timedelta) -> None:
        """Replaces this process's digest."""
        before = {True: self._writer.wide.version, False: self._writer.local.version}
        for wide, section, _ in self._writer.publish(digest, now):
            self._enqueue(self._local_pending, self.cfg.name, wide, before[wide], section)
            if wide:
                self._enqueue(self._wide_pending, self.cfg.name, wide, before[wide], section)

    def leave(self) -> None:
        """Announces that this process ends, so that others need not detect it."""
        self.state = MemberState.LEFT
        self._announce(self.cfg.name)

    def tick(self, now: datetime.timedelta) -> None:
        """Runs the periodic work that is due; called a few times a second."""
        if now - self._last_tick > 2 * self.cfg.beat:
            # This process was paused: the silence of others counts from now on.
            self._running_since = now
            self._metrics.count("peer_pauses")
        self._last_tick = now
        if self._take_due("relay", now, self.cfg.relay_beat):
            self._flush(self._wide_pending, self._foreign_links())
            self._send_heartbeats(now, self._foreign_links())
        if self._take_due("beat", now, self.cfg.beat):
            links = self._local_links()
            self._first_relay_cache.clear()
            if now >= self._next_due["news"]:
                sent_items = self._flush_local()
                interval = (
                    sent_items * ESTIMATED_ITEM_BYTES / LOCAL_UPDATE_BYTES_PER_SECOND * _SECOND
                )
                self._next_due["news"] = now + min(interval, MAX_LOCAL_UPDATE_INTERVAL)
            self._send_heartbeats(now, links)
            self._check_members(now)
        if self._take_due("sync", now, self.cfg.sync):
            self._compare_versions()
        if self._take_due("sweep", now, 10 * _SECOND):
            self._sweep(now)
        self._check_links(now)

    def outputs(self) -> list:
        """Returns the outputs since the last call, urgent updates included."""
        if self._is_due(self._local_pending):
            self._flush_local()
        if self._is_due(self._wide_pending):
            self._flush(self._wide_pending, self._foreign_links())
        outputs, self._outputs = self._outputs, []
        return outputs

    @property
    def urgent(self) -> bool:
        """Whether updates are pending that must not wait for the next heartbeat."""
        return self._local_pending.urgent or self._wide_pending.urgent

    def _is_due(self, pending):
        if self.is_congested:
            return False
        return pending.urgent and (not self.holds_updates or pending.has_prompt())

    # Connections

    def wanted_links(self) -> dict[str, Endpoint]:
        """Returns the members that this process keeps a dialled connection to."""
        if self._wanted_links is None:
            self._wanted_links = self._choose_wanted_links()
        return self._wanted_links

    def link_up(self, name: str, now: datetime.timedelta) -> None:
        """Records that the connection dialled to a member is up and both ends have said hello."""
        record = self.records[name]
        if self._unreachable.pop(name, None) is not None:
            self._topology_changed()
        first = not self._local_links()
        self.links[name] = LinkState(now, record.zone)
        if record.zone == self.cfg.zone:
            self._send_own_documents(name)
        if record.zone != self.cfg.zone or first:
            versions = self._versions(None, self._neighbour(record))
            self._outputs.append(Send((name,), Sync(None, versions)))
        self._send_heartbeats(now, (name,))

    def link_down(self, name: str, now: datetime.timedelta) -> None:
        """Records that the connection dialled to a member is lost, or could not be made."""
        self.links.pop(name, None)
        record = self.records.get(name)
        if record is not None and (self.cfg.hubs or record.zone != self.cfg.zone):
            self._unreachable[name] = now
            self._topology_changed()

    def receive(self, sender: str, message, now: datetime.timedelta) -> list:
        """Handles a message.

        Args:
          sender: The member on whose connection it arrived.
          message: The decoded message.
          now: The monotonic time.

        Returns:
          Messages to send back on the same connection.
        """
        record = self.records.get(sender)
        if record is None:
            return []
        record.last_heard = now
        match message:
            case Heartbeat(number):
                if record.zone != self.cfg.zone:
                    self._own_ack_times[record.zone] = now
                    self._record_zone_acked(record.zone, now)
                ack = Ack(number, self._zone_ages(now))
                known_not_alive = record.state is not MemberState.ALIVE
                return [ack, Update([record.identity()], [])] if known_not_alive else [ack]
            case Ack(number, zone_ages_ms):
                self._receive_ack(record, number, zone_ages_ms, now)
            case Update(members, changes):
                for identity in members:
                    self.merge(identity, now)
                for change in changes:
                    self._apply(record, change, now)
            case Sync():
                return self._reply_to_sync(message, self._neighbour(record))
            case Summary(checksums):
                return self._sync_requests(checksums, self._neighbour(record))
            case ProbeRequest(target):
                return [ProbeReply(target, self._probe_age_ms(target, now))]
            case ProbeReply(target, age_ms) if age_ms is not None and target in self.records:
                probed = self.records[target]
                probed.reported_alive_at = max(
                    probed.reported_alive_at, now - age_ms * _MILLISECOND
                )
        return []

    def _neighbour(self, record):
        return record.name if record.zone == self.cfg.zone else None

    def receive_hello(self, identity: Identity, now: datetime.timedelta) -> bool:
        """Handles the first message of a connection.

        Returns:
          Whether to keep the connection; one to this process itself is not kept.
        """
        if identity.name == self.cfg.name:
            return False
        self.merge(identity, now)
        self.records[identity.name].last_heard = now
        if self._unreachable.pop(identity.name, None) is not None:
            self._topology_changed()  # it has connected to this process, so it is back
        return True

    # The membership list

    def merge(self, identity: Identity, now: datetime.timedelta) -> None:
        """Merges an entry of another process's membership list if it is newer."""
        if identity.name == self.cfg.name:
            self._merge_own(identity)
            return
        state = MemberState(identity.state)
        known = self.records.get(identity.name)
        if known is None and state not in LIVE:
            return  # already forgotten here; adding it again would keep it for ever
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
                reported_alive_at=now,
            )
            self.records[identity.name] = known
        elif not supersedes(identity.incarnation, state, known):
            return
        else:
            self._update_record(known, identity, state, now)
        if state not in LIVE:
            self._drop_documents(known)
        self._topology_changed()
        if self.is_hub():
            self._announce(identity.name)
        else:  # it came from a hub, which tells the others
            known.last_heard = now
            self.changed[identity.name] = None

    def _update_record(self, known, identity, state, now):
        if not same_start(identity.incarnation, known.incarnation):
            self._drop_documents(known)
            known.reported_alive_at = now
            self._unreachable.pop(known.name, None)
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
        reported_not_alive = identity.state != MemberState.ALIVE.value
        if self.state in LIVE and reported_not_alive and identity.incarnation >= self.incarnation:
            self.incarnation = identity.incarnation + 1
            self._metrics.count("peer_refutations")
            self._announce(self.cfg.name)

    # Heartbeats, probes and suspicion

    def _send_heartbeats(self, now, names):
        for name in names:
            link = self.links[name]
            link.last_number += 1
            link.sent_at[link.last_number] = now
            link.sent_at.pop(link.last_number - REMEMBERED_HEARTBEATS, None)
            self._outputs.append(Send((name,), Heartbeat(link.last_number)))

    def _receive_ack(self, record, number, zone_ages_ms, now):
        link = self.links.get(record.name)
        sent_at = link.sent_at.get(number) if link else None
        if sent_at is None:
            return
        link.acked_sent_at = max(link.acked_sent_at or sent_at, sent_at)
        self._record_zone_heard(record.zone, sent_at)
        if record.zone != self.cfg.zone:
            return
        for zone, (heard_ms, acked_ms) in zone_ages_ms.items():
            if heard_ms >= 0:
                self._record_zone_heard(zone, sent_at - heard_ms * _MILLISECOND)
            if acked_ms >= 0:
                self._record_zone_acked(zone, now - acked_ms * _MILLISECOND)

    def _record_zone_heard(self, zone, instant):
        self.zone_last_heard[zone] = max(self.zone_last_heard.get(zone, instant), instant)

    def _record_zone_acked(self, zone, instant):
        self.zone_last_acked[zone] = max(self.zone_last_acked.get(zone, instant), instant)

    def _zone_ages(self, now):
        """Returns the ages for `Ack.zone_ages_ms`."""
        ages = {}
        for link in self.links.values():
            if link.zone != self.cfg.zone and link.acked_sent_at is not None:
                heard_ms = (now - link.acked_sent_at) // _MILLISECOND
                ages[link.zone] = (min(ages.get(link.zone, (heard_ms,))[0], heard_ms), -1)
        for zone, at in self._own_ack_times.items():
            heard_ms = ages.get(zone, (-1,))[0]
            ages[zone] = (heard_ms, (now - at) // _MILLISECOND)
        return ages

    def _last_direct_contact(self, record):
        link = self.links.get(record.name)
        last_acked = link.acked_sent_at if link and link.acked_sent_at is not None else _ZERO
        return max(last_acked, record.last_heard)

    def _probe_age_ms(self, target, now):
        record = self.records.get(target)
        if record is None or record.zone != self.cfg.zone:
            return None
        return (now - self._last_direct_contact(record)) // _MILLISECOND

    def _check_members(self, now):
        silence = self.cfg.silence
        for record in self.records.values():
            if record.zone != self.cfg.zone or record.state not in LIVE:
                continue
            if not self._watches(record.name):
                continue
            if record.state is MemberState.SUSPECT:
                if now - max(record.state_since, self._running_since) > self.cfg.suspicion:
                    self._set_state(record, MemberState.DEAD, now)
                continue
            last = max(self._last_direct_contact(record), self._running_since)
            if now - last <= silence:
                continue
            self._probe(record, now)
            if now - max(last, record.reported_alive_at) > silence + self.cfg.beat:
                self._set_state(record, MemberState.SUSPECT, now)

    def _watches(self, name):
        """Returns whether this process detects the failure of a member of its data centre."""
        return self.is_hub() or name in self.wanted_links()

    def _probe(self, record, now):
        candidates = self.own_hubs() if self.cfg.hubs else self._local_links()
        others = [name for name in candidates if name in self.links and name != record.name]
        chosen = self._rng.sample(sorted(others), min(PROBE_FANOUT, len(others)))
        if chosen:
            record.probed_at = now
            self._outputs.append(Send(tuple(chosen), ProbeRequest(record.name)))

    def _set_state(self, record, state, now):
        self._metrics.count("peer_" + state.value)
        record.state = state
        record.state_since = now
        if state not in LIVE:
            self._drop_documents(record)
        self._topology_changed()
        self._announce(record.name)

    def _check_links(self, now):
        for name, link in list(self.links.items()):
            last = max(link.acked_sent_at or link.up_since, link.up_since, self._running_since)
            if now - last > self.cfg.silence:
                self._metrics.count("peer_silent_connections")
                self.link_down(name, now)
                self._outputs.append(Redial(name))

    # Timers and cleanup

    def _take_due(self, name, now, interval):
        if now < self._next_due[name]:
            return False
        self._next_due[name] = max(self._next_due[name] + interval, now)
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
        for times in (self.zone_last_heard, self.zone_last_acked, self._own_ack_times):
            for zone in times.keys() - known:
                del times[zone]
        self._topology_changed()

    def _topology_changed(self):
        self._wanted_links = None
        self._hubs = None

    def _choose_wanted_links(self):
        zones = self._live_by_zone()
        own_members = zones.pop(self.cfg.zone)
        if not self.is_hub():
            names = self._hubs_to_dial(self.cfg.zone, own_members)
            return {name: self.records[name].endpoint for name in names if name != self.cfg.name}
        names = [name for name in own_members if name != self.cfg.name]
        if self.cfg.hubs:
            for zone, members in zones.items():
                names.extend(self._hubs_to_dial(zone, members))
            return self._endpoints_with_a_dead_one(names)
        chosen = relays(self.cfg.zone, own_members, zones, self.cfg.relays)
        for zone, members in zones.items():
            if self.cfg.name in chosen[zone]:
                names.extend(self._counterparts(zone, members, zones))
        return self._endpoints_with_a_dead_one(names)

    def _endpoints_with_a_dead_one(self, names):
        """Returns the endpoints of members, and of one that counts as dead, which may be back."""
        dead = [
            record.name
            for record in self.records.values()
            if record.zone == self.cfg.zone and record.state is MemberState.DEAD
        ]
        if dead:
            names.append(self._rng.choice(dead))
        return {name: self.records[name].endpoint for name in names}

    def _hubs_to_dial(self, zone, members):
        """Returns the hubs of a data centre, and the unreachable members whose place they take.

        Those must be dialled until they answer: each end of a lost connection counts the other one
        as unreachable, and neither receives anything before one of them connects.
        """
        reachable = [name for name in members if name not in self._unreachable]
        names = hubs(zone, reachable, self.cfg.hubs) + hubs(zone, members, self.cfg.hubs)
        return list(dict.fromkeys(names))

    def _counterparts(self, zone, members, zones):
        """Returns the members of another data centre to connect to: its relays if reachable."""
        others = zones.keys() - {zone} | {self.cfg.zone}
        relaying = relays(zone, members, others, self.cfg.relays)[self.cfg.zone]
        ranked = rank(f"{zone}>{self.cfg.zone}", members)
        ranked.sort(key=lambda name: (name in self._unreachable, name not in relaying))
        return ranked[: self.cfg.relays]
