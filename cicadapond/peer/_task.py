"""The task that runs membership: it owns the connections, the state machine makes the decisions."""

import asyncio
import datetime
import random
import typing

import attrs
from absl import logging

from cicadapond.data import Endpoint
from cicadapond.kernel import Clock, Metrics, Ok, Task, Unavailable
from cicadapond.peer import _asking
from cicadapond.peer._api import Digest, Member, MemberState, Peers
from cicadapond.peer._membership import Membership, Redial
from cicadapond.peer._pacing import PacedSender
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._transport import Link, Transport
from cicadapond.peer._wire import (
    MAX_MESSAGE_BYTES,
    Hello,
    Query,
    Update,
    decode,
    encode,
    encode_bounded,
)

TICK_INTERVAL = datetime.timedelta(milliseconds=250)
URGENT_DELAY = datetime.timedelta(milliseconds=20)
# Updates are held for no longer than this, whatever was sent before.
MAX_UPDATE_PAUSE = datetime.timedelta(seconds=1)
CONGESTION_POLL = datetime.timedelta(milliseconds=50)
# What is not held may take this multiple of the rate of updates for a while.
PACE_FACTOR = 2.0
INITIAL_BACKOFF = datetime.timedelta(milliseconds=200)
MAX_BACKOFF = datetime.timedelta(seconds=1)


@attrs.define(eq=False)
class _Outbound:
    """The connection that this process dials to an address, or the attempts to dial it."""

    endpoint: Endpoint
    link: Link | None = None
    name: str | None = None
    dialling: asyncio.Task | None = None
    connected_at: datetime.timedelta = datetime.timedelta()
    next_dial_at: datetime.timedelta = datetime.timedelta()
    backoff: datetime.timedelta = INITIAL_BACKOFF


class PeerTask(Task, Peers):
    """Membership over a transport.

    Args:
      cfg: The process's identity, address, seeds and intervals.
      transport: Makes connections.
      clock: Gives the time.
      metrics: Receives the counts.
      rng: Jitters dial attempts; chooses members to probe through and to compare versions with.
      is_wide_server: Whether in-flight counts for a backend server are sent to other data centres.
    """

    name = "peer"

    def __init__(
        self,
        cfg: PeerSettings,
        transport: Transport,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        is_wide_server: typing.Callable[[str], bool] = lambda server: False,
    ):
        self.cfg = cfg
        self._transport = transport
        self._kept_queries = _asking.KeptQueries(transport, clock)
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._is_wide_server = is_wide_server
        self._digest = Digest()
        self._membership: Membership | None = None
        self._outbound: dict[Endpoint, _Outbound] = {}
        self._inbound: dict[Link, None] = {}
        self._outbound_by_name: dict[str, _Outbound] = {}
        self._listeners: list[typing.Callable[[Member], None]] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        # Until when updates are held, and what sends them then.
        self._updates_due = datetime.timedelta()
        # When updates were last not held.
        self._all_sent_at = datetime.timedelta()
        self._hold_timer: asyncio.TimerHandle | None = None
        self._sender = PacedSender(PACE_FACTOR * cfg.update_rate, clock)
        self._handlers: dict[str, typing.Callable] = {}
        self._closed = False
        self._failed_dials: dict[Endpoint, int] = {}

    # Peers

    def members(self):
        if self._membership is None:
            return ()
        return tuple(record.member() for record in self._membership.records.values())

    def publish(self, digest, at_once=False):
        self._digest = digest
        if self._membership is not None:
            self._membership.publish(digest, self._clock.monotonic())
            if at_once:
                self._flush_outputs(at_once=True)
            else:
                self._schedule_flush()

    def subscribe(self, listener):
        self._listeners.append(listener)

    def set_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Sets the addresses that are dialled while no live process is known there."""
        self.cfg = attrs.evolve(self.cfg, seeds=seeds)

    def last_heard_from_zone(self, zone):
        return self._membership.zone_last_heard.get(zone) if self._membership else None

    def set_wide_servers(self, is_wide_server):
        self._is_wide_server = is_wide_server

    def last_ack_to_zone(self, zone):
        return self._membership.zone_last_acked.get(zone) if self._membership else None

    async def query(self, member, topic, payload):
        record = self._membership.records.get(member) if self._membership else None
        if record is None:
            return Unavailable(f"{member} is not a known member")
        outcome = await _asking.send_query(self._transport, record.endpoint, topic, payload)
        self._metrics.count("peer_questions", outcome=type(outcome).__name__)
        return outcome

    async def query_often(
        self, member: str, topic: str, payload, timeout: datetime.timedelta
    ) -> Ok[object] | Unavailable:
        """Sends a query as `query`, on a connection that is kept for the next ones.

        Args:
          member: The member's name.
          topic: The topic of the query, which selects the member's handler.
          payload: Any value that msgpack can encode.
          timeout: The longest time until the answer.

        Returns:
          Ok with the answer, or Unavailable if none arrived or the member has no handler.
        """
        record = self._membership.records.get(member) if self._membership else None
        if record is None:
            return Unavailable(f"{member} is not a known member")
        return await self._kept_queries.send(record.endpoint, topic, payload, timeout)

    def register_handler(self, topic, handler):
        self._handlers[topic] = handler

    def is_primary_hub(self) -> bool:
        """Returns whether this process speaks for its data centre, as all do without hubs."""
        return self._membership is not None and self._membership.is_primary_hub()

    @property
    def superseded(self) -> bool:
        """Whether a later start of a process of this name is known."""
        return self._membership is not None and self._membership.superseded

    @property
    def incarnation(self) -> int:
        """The incarnation: identifies this start and its refutations; 0 before the start."""
        return self._membership.incarnation if self._membership is not None else 0

    def state(self) -> dict:
        """Returns the membership list and connections for a dump."""
        now = self._clock.monotonic()
        return {
            "name": self.cfg.name,
            "zone": self.cfg.zone,
            "connections": sorted(self._outbound_by_name),
            "inbound": len(self._inbound),
            "members": [
                {
                    "name": member.name,
                    "zone": member.zone,
                    "role": member.role,
                    "state": member.state.value,
                    "incarnation": member.incarnation,
                    "heard_seconds_ago": round((now - member.last_heard).total_seconds(), 3),
                    "revision": member.digest.revision,
                }
                for member in sorted(self.members(), key=lambda member: member.name)
            ],
        }

    # Running

    def start(self) -> None:
        """Listens, so that others can connect; `run` calls it if it was not called before."""
        if self._membership is not None:
            return
        self._membership = Membership(
            self.cfg,
            self._clock.monotonic(),
            self._clock.now(),
            self._rng,
            self._metrics,
            lambda server: self._is_wide_server(server),
        )
        self._membership.publish(self._digest, self._clock.monotonic())
        self._transport.listen(self.cfg.endpoint, self._accept)

    async def run(self):
        self.start()
        await self._clock.sleep(TICK_INTERVAL * self._rng.random())
        while True:
            now = self._clock.monotonic()
            self._limit_updates(now)
            self._membership.tick(now)
            self._flush_outputs()
            self._reconcile()
            self._kept_queries.close_idle()
            await self._clock.sleep(TICK_INTERVAL)

    async def leave(self) -> None:
        """Announces to the others that this process ends."""
        if self._membership is None:
            return
        self._membership.leave()
        self._flush_outputs(at_once=True)
        await self._clock.sleep(2 * URGENT_DELAY)

    async def close(self):
        if self._closed:
            return
        self._closed = True
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        self._sender.close()
        dialling = [out.dialling for out in self._outbound.values() if out.dialling]
        for attempt in dialling:
            attempt.cancel()
        await asyncio.gather(*dialling, return_exceptions=True)
        for out in list(self._outbound.values()):
            if out.link is not None:
                out.link.close()
        for link in list(self._inbound):
            link.close()
        self._kept_queries.close()
        self._transport.close()

    # Outputs of the state machine

    def _schedule_flush(self):
        if self._flush_timer is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(URGENT_DELAY.total_seconds(), self._flush_outputs)

    def _flush_outputs(self, at_once=False):
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        now = self._clock.monotonic()
        self._limit_updates(now, at_once)
        send = _send_now if at_once else self._sender.send
        update_bytes = 0
        bodies: dict[str, list[bytes]] = {}
        for output in self._membership.outputs():
            if isinstance(output, Redial):
                self._disconnect(self._outbound_by_name.get(output.name))
                continue
            encoded = encode_bounded(output.message)
            if isinstance(output.message, Update):
                update_bytes += sum(map(len, encoded)) * len(output.names)
            for name in output.names:
                bodies.setdefault(name, []).extend(encoded)
        if not self._membership.holds_updates and not self._membership.is_congested:
            self._all_sent_at = now
        for name, frames in bodies.items():
            out = self._outbound_by_name.get(name)
            if out is not None and out.link is not None:
                self._send(out.link, frames, send)
        self._hold_updates(update_bytes, now)
        self._notify()

    def _limit_updates(self, now, at_once=False):
        self._membership.is_congested = not at_once and self._sender.is_behind
        # What is never held would use up the rate for good.
        until = min(self._updates_due, self._all_sent_at + MAX_UPDATE_PAUSE)
        self._membership.holds_updates = not at_once and now < until

    def _hold_updates(self, sent_bytes, now):
        """Holds further updates for as long as those just sent take of the permitted rate."""
        if self.cfg.update_rate and sent_bytes:
            pause = datetime.timedelta(seconds=sent_bytes / self.cfg.update_rate)
            due = max(now, self._updates_due) + pause
            self._updates_due = min(due, now + MAX_UPDATE_PAUSE)
        if self._membership.urgent and self._hold_timer is None and not self._closed:
            waits = CONGESTION_POLL if self._sender.is_behind else self._updates_due - now
            delay = max(URGENT_DELAY, waits)
            self._metrics.count("peer_updates_held")
            loop = asyncio.get_running_loop()
            self._hold_timer = loop.call_later(delay.total_seconds(), self._send_held)

    def _send_held(self):
        self._hold_timer = None
        self._flush_outputs()

    def _send(self, link, bodies, send):
        for body in bodies:
            if len(body) > MAX_MESSAGE_BYTES:
                self._metrics.count("peer_messages_too_long")
        send(link, [body for body in bodies if len(body) <= MAX_MESSAGE_BYTES])

    def _notify(self):
        changed, self._membership.changed = self._membership.changed, {}
        changed.pop(self.cfg.name, None)
        if not self._listeners:
            return
        for name in changed:
            record = self._membership.records.get(name)
            if record is None:
                continue
            member = record.member()
            for listener in self._listeners:
                listener(member)

    # Outbound connections

    def _reconcile(self):
        """Dials wanted endpoints that are not connected, closes connections that are not wanted."""
        now = self._clock.monotonic()
        wanted = dict.fromkeys(self._membership.wanted_links().values())
        live = {
            record.endpoint
            for record in self._membership.records.values()
            if record.state in (MemberState.ALIVE, MemberState.SUSPECT)
        }
        wanted.update(dict.fromkeys(self._seeds_to_dial(live)))
        wanted.pop(self.cfg.endpoint, None)
        for endpoint in wanted:
            out = self._outbound.setdefault(endpoint, _Outbound(endpoint))
            if out.link is None and out.dialling is None and now >= out.next_dial_at:
                out.dialling = asyncio.ensure_future(self._dial(out))
        for endpoint, out in list(self._outbound.items()):
            unidentified = out.link is not None and out.name is None
            if endpoint not in wanted or (
                unidentified and now - out.connected_at > self.cfg.silence
            ):
                self._disconnect(out)
            if endpoint not in wanted and out.dialling is None:
                self._outbound.pop(endpoint, None)

    def _seeds_to_dial(self, live):
        """Returns seeds where no live process is known, those with fewer failed attempts first."""
        unknown = [seed for seed in self.cfg.seeds if seed not in live]
        if not self.cfg.seed_dials or len(unknown) <= self.cfg.seed_dials:
            return unknown
        unknown.sort(key=lambda seed: self._failed_dials.get(seed, 0))
        return unknown[: self.cfg.seed_dials]

    async def _dial(self, out):
        try:
            link = await self._transport.dial(out.endpoint)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self._metrics.count("peer_dial_errors")
            logging.error("dialling %s failed: %r", out.endpoint, exc)
            link = None
        out.dialling = None
        now = self._clock.monotonic()
        if link is None or self._closed:
            if link is not None:
                link.close()
            self._failed_dials[out.endpoint] = self._failed_dials.get(out.endpoint, 0) + 1
            self._back_off(out, now)
            return
        out.link = link
        out.connected_at = now
        link.on_message = lambda body: self._receive_outbound(out, link, body)
        link.on_closed = lambda: self._disconnect(out) if out.link is link else None
        link.send([encode(Hello(self._membership.identity()))])

    def _back_off(self, out, now):
        out.next_dial_at = now + out.backoff * (0.5 + self._rng.random())
        out.backoff = min(2 * out.backoff, MAX_BACKOFF)
        for name, endpoint in self._membership.wanted_links().items():
            if endpoint == out.endpoint:
                self._membership.link_down(name, now)
                return

    def _disconnect(self, out):
        if out is None or out.link is None:
            return
        link, out.link = out.link, None
        link.close()
        name, out.name = out.name, None
        now = self._clock.monotonic()
        if name is not None and self._outbound_by_name.get(name) is out:
            del self._outbound_by_name[name]
            self._membership.link_down(name, now)
        out.next_dial_at = now + out.backoff * self._rng.random()

    def _receive_outbound(self, out, link, body):
        message = self._decode(body)
        if message is None or out.link is not link:
            return
        now = self._clock.monotonic()
        if out.name is None:
            self._identify(out, message, now)
        else:
            self._handle_message(link, out.name, message, now)

    def _identify(self, out, message, now):
        if not isinstance(message, Hello) or not self._membership.receive_hello(
            message.identity, now
        ):
            self._disconnect(out)
            return
        name = message.identity.name
        if name in self._outbound_by_name:
            self._disconnect(out)
            return
        out.name = name
        out.backoff = INITIAL_BACKOFF
        self._outbound_by_name[name] = out
        self._membership.link_up(name, now)
        self._schedule_flush()

    # Inbound connections

    def _accept(self, link):
        if self._closed:
            link.close()
            return
        sender_names: list[str] = []  # filled by the Hello
        self._inbound[link] = None
        link.on_message = lambda body: self._receive_inbound(link, sender_names, body)
        link.on_closed = lambda: self._inbound.pop(link, None)

    def _receive_inbound(self, link, sender_names, body):
        message = self._decode(body)
        if message is None:
            return
        now = self._clock.monotonic()
        if sender_names:
            self._handle_message(link, sender_names[0], message, now)
            return
        if isinstance(message, Query) and _asking.reply_to_query(link, message, self._handlers):
            return
        if not isinstance(message, Hello) or not self._membership.receive_hello(
            message.identity, now
        ):
            self._metrics.count("peer_garbage")
            self._inbound.pop(link, None)
            link.close()
            return
        sender_names.append(message.identity.name)
        link.send([encode(Hello(self._membership.identity()))])
        self._schedule_flush()

    def _decode(self, body):
        message = decode(body)
        self._metrics.count("peer_messages_received")
        self._metrics.count("peer_bytes_received", len(body))
        if message is None:
            self._metrics.count("peer_garbage")
        return message

    def _handle_message(self, link, name, message, now):
        replies = self._membership.receive(name, message, now)
        if replies:
            bodies = [body for reply in replies for body in encode_bounded(reply)]
            self._send(link, bodies, _send_now)
        membership = self._membership
        if membership.changed or membership.urgent:
            self._schedule_flush()


def _send_now(link, bodies):
    link.send(bodies)
