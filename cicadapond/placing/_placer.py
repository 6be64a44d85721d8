"""Chooses the backend server of a request by the time that its answer would take; no I/O.

For a load of many prompts that share long parts, before engines that read prompts one after the
other: what counts is the prompt tokens that wait at an engine before this one, the tokens of this
prompt that the engine does not hold yet, and how full its batch is.  All are turned into
milliseconds, so that a shorter queue and a warmer memory are weighed against each other.

The processes of the system agree without talking on where a shared part belongs: the engine with
the highest hash of both.  An engine that is expected to hold a part counts as holding it.  They
tell each other how much they have sent to each engine, since a long prompt of one keeps the short
prompts of all others waiting.
"""

import collections
import datetime
import hashlib
import typing

import attrs

from cicadapond.gateway.data import Generation, LoadHeader, ServerEntry
from cicadapond.kernel import Clock
from cicadapond.placing._prefixes import PrefixMemory, shared_parts

# Measured on the users' engines: prompt tokens read in a millisecond, decoding beside them.
PREFILL_TOKENS_PER_MS = 88.0
# From the same: attention's part, for each million pairs of a token read and one before it.
ATTENTION_MS_PER_MILLION_PAIRS = 0.184
# What one more running request costs an answer to come, from the users' step times.
BATCH_COST_MS = 0.6
# A server's word on its load counts in full when it comes and fades with this half-life.
LOAD_HALF_LIFE_MS = 400.0
# Reading that is worth telling the other processes at once.
LONG_READING_MS = 30.0
# Longer than any prompt waits before its caller gives up.
QUEUE_MEMORY = datetime.timedelta(seconds=4)
# The typical time of a call of a plain service, until answers have told it.
FIRST_SERVICE_MS = 30.0
SERVICE_TIME_GAIN = 0.1
OTHER_ZONE_COST_MS = 1.8
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class Visit:
    """A request at a server, from its sending to its end."""

    server: str
    reading_ms: float
    since: datetime.timedelta
    begun_at: datetime.timedelta | None = None


@attrs.define
class _ReadingQueue:
    """The reading that waits at an engine, which takes off a millisecond in a millisecond.

    `added` has what was added lately, so that the queue can be put right when a request's answer
    begins: all that came before that request is read by then.
    """

    waiting_ms: float = 0.0
    at: datetime.timedelta = datetime.timedelta()
    added: collections.deque = attrs.field(factory=collections.deque)

    def left_ms(self, now):
        return max(0.0, self.waiting_ms - (now - self.at) / _MILLISECOND)

    def add(self, reading_ms, now):
        self.waiting_ms = self.left_ms(now) + reading_ms
        self.at = now
        self.added.append((now, reading_ms))
        while self.added and now - self.added[0][0] > QUEUE_MEMORY:
            self.added.popleft()

    def read_up_to(self, sent, now):
        later = sum(reading_ms for at, reading_ms in self.added if at > sent)
        self.waiting_ms = min(self.left_ms(now), later)
        self.at = now


@attrs.define
class _ServerLoad:
    memory: PrefixMemory
    visits: set = attrs.field(factory=set)
    told: LoadHeader | None = None
    told_at: datetime.timedelta = datetime.timedelta()
    own_when_told: int = 0
    service_ms: float = FIRST_SERVICE_MS
    queue: "_ReadingQueue" = attrs.field(factory=lambda: _ReadingQueue())
    sent_ms: float = 0.0
    told_ms: dict = attrs.field(factory=dict)


@attrs.frozen
class Placement:
    """The server of a request, and how long its answer is expected to take to begin."""

    server: ServerEntry
    expected: datetime.timedelta
    visit: Visit


class Placer:
    """What this process knows of the load of backend servers.

    Args:
      clock: Gives the time.
      zone: This process's data centre; servers there are a little nearer.
    """

    def __init__(self, clock: Clock, zone: str):
        self._clock = clock
        self._zone = zone
        self._loads: dict[str, _ServerLoad] = {}

    def estimate(
        self, servers: typing.Sequence[ServerEntry], generation: Generation | None
    ) -> list[tuple[float, ServerEntry, float]]:
        """Returns (milliseconds until an answer begins, server, milliseconds of reading).

        The nearest to its answer comes first.
        """
        home = _home(servers, generation)
        found = []
        for entry in servers:
            load = self._load(entry)
            if generation is None:
                reading = load.service_ms
                expected = reading * (1.0 + self._occupied(load) / entry.slots)
            else:
                reading = self._reading_ms(load, generation, entry is home)
                expected = load.queue.left_ms(self._clock.monotonic()) + reading
                expected += BATCH_COST_MS * self._occupied(load)
            if entry.zone != self._zone:
                expected += OTHER_ZONE_COST_MS
            found.append((expected, entry, reading))
        found.sort(key=lambda item: (item[0], item[1].name))
        return found

    def place(
        self, servers: typing.Sequence[ServerEntry], generation: Generation | None
    ) -> Placement | None:
        """Chooses a server and counts the request there, None if there is no server."""
        found = self.estimate(servers, generation)
        if not found:
            return None
        expected, entry, reading = found[0]
        visit = Visit(entry.name, reading, self._clock.monotonic())
        load = self._load(entry)
        load.visits.add(visit)
        if generation is not None:
            load.memory.read(generation.parts)
            load.queue.add(reading, visit.since)
            load.sent_ms += reading
        return Placement(entry, expected * _MILLISECOND, visit)

    def begun(self, visit: Visit) -> None:
        """Notes that a request's answer has begun: its prompt no longer waits."""
        now = visit.begun_at = self._clock.monotonic()
        load = self._loads.get(visit.server)
        if load is not None:
            load.queue.read_up_to(visit.since, now)

    def ended(self, visit: Visit, took: datetime.timedelta | None = None) -> None:
        """Notes that a request is no longer at its server.

        Args:
          visit: The request.
          took: How long a whole answer of a plain service took, None for anything else.
        """
        load = self._loads.get(visit.server)
        if load is None:
            return
        load.visits.discard(visit)
        if took is not None:
            load.service_ms += SERVICE_TIME_GAIN * (took / _MILLISECOND - load.service_ms)

    def told(self, server: str, load_header: LoadHeader) -> None:
        """Takes what a server says of its load."""
        load = self._loads.get(server)
        if load is not None:
            load.told = load_header
            load.told_at = self._clock.monotonic()
            load.own_when_told = len(load.visits)

    def readings(self) -> dict[str, int]:
        """Returns the running totals of reading, in milliseconds, sent to each engine."""
        return {name: round(load.sent_ms) for name, load in self._loads.items() if load.sent_ms}

    def hear(self, process: str, readings: typing.Mapping[str, float]) -> None:
        """Takes the running totals of another process, in milliseconds by engine."""
        now = self._clock.monotonic()
        for name, load in self._loads.items():
            total = readings.get(name, 0.0)
            last = load.told_ms.get(process, total)
            load.told_ms[process] = total
            if total > last:
                load.queue.add(total - last, now)

    def forget(self, server: str) -> None:
        """Drops a server that is gone."""
        self._loads.pop(server, None)

    def running(self, server: str) -> int:
        """Returns how many requests of this process are at a server."""
        load = self._loads.get(server)
        return len(load.visits) if load is not None else 0

    def _load(self, entry):
        load = self._loads.get(entry.name)
        if load is None:
            load = self._loads[entry.name] = _ServerLoad(PrefixMemory())
        return load

    def _reading_ms(self, load, generation, is_home):
        cached = load.memory.cached_tokens(generation.parts)
        if is_home:
            cached = max(cached, sum(part.tokens for part in shared_parts(generation)))
        return reading_ms(generation.prompt_tokens, cached)

    def _occupied(self, load):
        """Returns how many requests a server has: this process's, and others' by its word."""
        others = self._fresh(load, lambda told: max(0, told.running - load.own_when_told))
        return len(load.visits) + others

    def _fresh(self, load, count):
        if load.told is None:
            return 0.0
        age_ms = (self._clock.monotonic() - load.told_at) / _MILLISECOND
        return count(load.told) * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)


def reading_ms(tokens: int, cached: int) -> float:
    """Returns how long an engine reads a prompt, in milliseconds.

    Args:
      tokens: The prompt's tokens.
      cached: How many of its first tokens the engine holds already.
    """
    new = max(0, tokens - cached)
    pairs = new * (cached + new / 2)
    return new / PREFILL_TOKENS_PER_MS + pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS


def _home(servers, generation):
    """Returns the server where a prompt's last shared part belongs, the same everywhere."""
    if generation is None or not servers:
        return None
    shared = shared_parts(generation)
    if not shared:
        return None
    key = shared[-1].name
    return max(servers, key=lambda entry: _weight(key, entry.name))


def _weight(part, server):
    return hashlib.blake2b(f"{part} {server}".encode(), digest_size=8).digest()
