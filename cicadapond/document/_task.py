"""The document in force in one process, and the task that keeps it up to date.

A revision is only ever replaced by a higher one.  The task learns of a newer one by its peers'
digests and by its own poll, and reads it from the store or, cut off from the platform, from a
peer.  A newer text that this process cannot parse is passed on to peers but not applied: the last
good revision stays in force.
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
    answer_peer,
    fetch_within,
)
from cicadapond.kernel import Clock, Findings, Metrics, Ok, Task, setting
from cicadapond.peer import MemberState, Peers

_SECOND = datetime.timedelta(seconds=1)
PEERS_ASKED_AT_START = 5
PEER_ROUNDS_AT_START = 3
PEERS_ASKED_AT_ONCE = 2


@attrs.frozen
class DocumentSettings:
    """How a process keeps the document up to date.

    All processes together poll the store about once per `poll_share`, and each at an interval
    from `shortest_poll` to `longest_poll`.
    """

    poll_share: datetime.timedelta = setting(default=0.25 * _SECOND)
    shortest_poll: datetime.timedelta = setting(default=_SECOND)
    longest_poll: datetime.timedelta = setting(default=3 * _SECOND)
    answer_limit: datetime.timedelta = setting(default=1.5 * _SECOND)
    start_retry: datetime.timedelta = setting(default=0.5 * _SECOND)


class DocumentTask(Task):
    """Keeps the document in force.

    Args:
      source: The platform's store.
      peers: The other processes of the system.
      cfg: Intervals and limits.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Spreads polls and chooses peers.
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
        self._told = {}
        self._news = asyncio.Event()
        self._latest = DocumentText()
        self._ready = asyncio.Event()
        self._revision_times = {}
        self.intent = Intent()
        self.held_back: tuple = ()
        peers.answer(TOPIC, lambda payload: answer_peer(payload, self._latest))
        peers.subscribe(self._hear)

    # What others see

    @property
    def latest(self) -> DocumentText:
        """The newest text known, in force or held back."""
        return self._latest

    @property
    def ready(self) -> bool:
        """Whether the highest revision within reach was looked for since the start."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Returns once the task is ready."""
        await self._ready.wait()

    def subscribe(self, listener: typing.Callable[[Intent], None]) -> None:
        """Calls `listener` with each revision that comes into force, after `intent` is set."""
        self._listeners.append(listener)

    def state(self) -> dict:
        """Returns the state for a dump."""
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

    # Taking a text

    def offer(self, document: DocumentText) -> bool:
        """Takes a text from any source.

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

    # Learning of newer texts

    def _hear(self, member):
        revision = member.digest.revision
        if member.state is MemberState.ALIVE and revision > self._latest.revision:
            self._told[member.name] = revision
            self._news.set()

    async def run(self):
        await self._start()
        while True:
            await self._wait_for_news(self._poll_interval())
            await self._learn()

    async def _start(self):
        """Is ready once the store has answered, or peers have in a few rounds.

        Without the store, a first round may come before this process knows its peers.
        """
        rounds = 0
        while not self.ready:
            asked = [self._ask(source) for source in self._some_peers()]
            store, *peers = await asyncio.gather(self._ask(self._source), *asked)
            rounds += any(peers)
            if store or rounds == PEER_ROUNDS_AT_START:
                self._ready.set()
            else:
                self._metrics.count("document_start_retries")
                await self._clock.sleep(self._cfg.start_retry)

    def _some_peers(self):
        alive = [member for member in self._peers.members() if member.state is MemberState.ALIVE]
        self._rng.shuffle(alive)
        alive.sort(key=lambda member: -member.digest.revision)
        return [PeerSource(self._peers, member.name) for member in alive[:PEERS_ASKED_AT_START]]

    async def _ask(self, source):
        """Asks one source and takes its text; returns whether it answered."""
        outcome = await fetch_within(source, self._latest.revision, self._cfg.answer_limit)
        if not isinstance(outcome, Ok):
            return False
        if outcome.value is not None:
            self.offer(outcome.value)
        return True

    async def _learn(self):
        told = self._take_told()
        if told:
            sources = [PeerSource(self._peers, name) for name in told]
            await asyncio.gather(*(self._ask(source) for source in sources))
            if not self._take_told():
                return
        if not await self._ask(self._source):
            self._metrics.count("document_poll_failures")
            await asyncio.gather(*(self._ask(source) for source in self._some_peers()))

    def _take_told(self):
        """Returns members with a newer text, highest first, a few at most."""
        self._news.clear()
        self._told = {
            name: revision
            for name, revision in self._told.items()
            if revision > self._latest.revision
        }
        names = sorted(self._told, key=lambda name: (-self._told[name], self._rng.random()))
        return names[:PEERS_ASKED_AT_ONCE]

    async def _wait_for_news(self, interval):
        try:
            async with asyncio.timeout(interval.total_seconds()):
                await self._news.wait()
        except TimeoutError:
            return

    def _poll_interval(self):
        cfg = self._cfg
        alive = sum(member.state is MemberState.ALIVE for member in self._peers.members())
        interval = min(max(cfg.poll_share * (1 + alive), cfg.shortest_poll), cfg.longest_poll)
        return interval * self._rng.uniform(0.7, 1.0)
