"""The document in force in one process, and the task that keeps it up to date.

A revision is only ever replaced by a higher one.  A newer one that appears in the digests of peers
is read from these peers, and from the table service if they do not return it.  The task also polls
the table service and, if that does not answer, asks peers.  A newer text that this process cannot
parse is served to peers but not applied: the last valid revision stays in force.
"""

import asyncio
import datetime
import random
import typing

import attrs
from absl import logging

from cicadapond.document._intent import Intent, parse_document
from cicadapond.document._rows import DocumentText
from cicadapond.document._source import (
    TOPIC,
    DocumentSource,
    PeerSource,
    fetch_with_timeout,
    handle_peer_request,
)
from cicadapond.kernel import Clock, Findings, Metrics, Ok, Task, setting
from cicadapond.peer import MemberState, Peers

_SECOND = datetime.timedelta(seconds=1)
PEERS_ASKED_AT_START = 5
PEER_ROUNDS_AT_START = 3
PEERS_ASKED_AT_ONCE = 2


@attrs.frozen
class DocumentSettings:
    """Settings for keeping the document up to date in a process.

    Attributes:
      poll_share: All processes together poll the table service about once in this time, as far as
        the bounds on the interval of one process allow.
      shortest_poll: The minimum interval between polls of one process, shortened by up to 30% at
        random.
      longest_poll: The maximum interval between polls of one process.
      answer_limit: The time limit of one read from a source.
      start_retry: The wait between two rounds of the search at the start.
    """

    poll_share: datetime.timedelta = setting(default=0.25 * _SECOND)
    shortest_poll: datetime.timedelta = setting(default=_SECOND)
    longest_poll: datetime.timedelta = setting(default=3 * _SECOND)
    answer_limit: datetime.timedelta = setting(default=1.5 * _SECOND)
    start_retry: datetime.timedelta = setting(default=0.5 * _SECOND)


class DocumentTask(Task):
    """Keeps the newest valid revision of the document in force.

    Args:
      source: The source that is polled, normally the table service.
      peers: The other processes of the system.
      cfg: Intervals and limits.
      clock: Source of time.
      metrics: Receives the counters and gauges.
      rng: Source of jitter for the polls; chooses peers.
    """

    name = "document"

    def __init__(
        self,
        source: DocumentSource,
        peers: Peers,
        cfg: DocumentSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._source = source
        self._peers = peers
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._listeners = []
        self._advertised = {}
        self._update_advertised = asyncio.Event()
        self._latest = DocumentText()
        self._ready = asyncio.Event()
        self._revision_times = {}
        self.intent = Intent()
        self.held_back: tuple = ()
        peers.register_handler(TOPIC, lambda payload: handle_peer_request(payload, self._latest))
        peers.subscribe(self._on_member_change)

    # Public state

    @property
    def latest(self) -> DocumentText:
        """The newest text received, whether in force or held back."""
        return self._latest

    @property
    def ready(self) -> bool:
        """Whether the initial search for the highest reachable revision is complete."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Returns once the task is ready."""
        await self._ready.wait()

    def subscribe(self, listener: typing.Callable[[Intent], None]) -> None:
        """Calls `listener` with each revision that comes into force, after `intent` is set."""
        self._listeners.append(listener)

    def state(self) -> dict:
        """Returns the state for a debug dump."""
        return {
            "revision": self.intent.revision,
            "in_force_at": self._revision_times.get(self.intent.revision),
            "latest": self._latest.revision,
            "ready": self.ready,
            "held_back": [str(found) for found in self.held_back],
            "sections": {
                name: {"revision": section.revision, "version": section.version}
                for name, section in self._latest.sections.items()
            },
        }

    # Applying a text

    def offer(self, document: DocumentText) -> bool:
        """Accepts a text from any source and applies it if it is newer and valid.

        Returns:
          Whether it came into force.
        """
        if document.revision <= self._latest.revision:
            return False
        self._latest = document
        findings = Findings()
        intent = parse_document(document.texts(), document.revision, findings)
        if intent is None:
            self._hold_back(document, findings)
            return False
        self.held_back = ()
        self.intent = intent
        self._revision_times[intent.revision] = self._clock.now().isoformat()
        while len(self._revision_times) > 1:
            del self._revision_times[next(iter(self._revision_times))]
        self._metrics.count("document_applied")
        self._metrics.gauge("document_revision", intent.revision)
        logging.info("document revision %d is in force", intent.revision)
        for listener in self._listeners:
            listener(intent)
        return True

    def _hold_back(self, document, findings):
        self.held_back = tuple(findings)
        self._metrics.count("document_held_back")
        logging.error(
            "document revision %d is held back, %d stays in force: %s",
            document.revision,
            self.intent.revision,
            "; ".join(map(str, self.held_back)),
        )

    # Fetching newer texts

    def _on_member_change(self, member):
        revision = member.digest.revision
        if member.state is MemberState.ALIVE and revision > self._latest.revision:
            self._advertised[member.name] = revision
            self._update_advertised.set()

    async def run(self):
        await self._start()
        while True:
            await self._wait_for_update(self._poll_interval())
            await self._refresh()

    async def _start(self):
        """Becomes ready once the table service answers, or peers do in PEER_ROUNDS_AT_START rounds.

        Without the table service it takes several rounds, since this process may not know its peers
        yet in the first one.
        """
        rounds = 0
        while not self.ready:
            fetches = [self._fetch_from(source) for source in self._sample_peers()]
            store_answered, *peers_answered = await asyncio.gather(
                self._fetch_from(self._source), *fetches
            )
            rounds += any(peers_answered)
            if store_answered or rounds == PEER_ROUNDS_AT_START:
                self._ready.set()
            else:
                self._metrics.count("document_start_retries")
                await self._clock.sleep(self._cfg.start_retry)

    def _sample_peers(self):
        alive = [member for member in self._peers.members() if member.state is MemberState.ALIVE]
        self._rng.shuffle(alive)
        alive.sort(key=lambda member: -member.digest.revision)
        return [PeerSource(self._peers, member.name) for member in alive[:PEERS_ASKED_AT_START]]

    async def _fetch_from(self, source):
        """Fetches from one source and applies its text; returns whether the source answered."""
        outcome = await fetch_with_timeout(source, self._latest.revision, self._cfg.answer_limit)
        if not isinstance(outcome, Ok):
            return False
        if outcome.value is not None:
            self.offer(outcome.value)
        return True

    async def _refresh(self):
        newer = self._take_newer_members()
        if newer:
            sources = [PeerSource(self._peers, name) for name in newer]
            await asyncio.gather(*(self._fetch_from(source) for source in sources))
            if not self._take_newer_members():
                return
        if not await self._fetch_from(self._source):
            self._metrics.count("document_poll_failures")
            await asyncio.gather(*(self._fetch_from(source) for source in self._sample_peers()))

    def _take_newer_members(self):
        """Returns at most PEERS_ASKED_AT_ONCE members with a newer text, highest revision first."""
        self._update_advertised.clear()
        self._advertised = {
            name: revision
            for name, revision in self._advertised.items()
            if revision > self._latest.revision
        }
        names = sorted(
            self._advertised, key=lambda name: (-self._advertised[name], self._rng.random())
        )
        return names[:PEERS_ASKED_AT_ONCE]

    async def _wait_for_update(self, interval):
        try:
            async with asyncio.timeout(interval.total_seconds()):
                await self._update_advertised.wait()
        except TimeoutError:
            return

    def _poll_interval(self):
        cfg = self._cfg
        alive = sum(member.state is MemberState.ALIVE for member in self._peers.members())
        interval = min(max(cfg.poll_share * (1 + alive), cfg.shortest_poll), cfg.longest_poll)
        return interval * self._rng.uniform(0.7, 1.0)
