"""Chooses the backend server of a request by the expected time until its answer begins; no I/O.

For many prompts that share long prefixes, on engines that prefill prompts one after the other.
The estimate takes in the prompt tokens queued at the engine, the tokens of this prompt that it has
not cached, and the size of its batch.  All are converted into milliseconds, so that a shorter queue
can be weighed against a warmer cache.

The processes agree without communication on the home engine of a shared prefix, by rendezvous
hashing; a home engine counts as having the prefix cached.  They report to each other how much
prefill they have sent to each engine, since a long prompt of one process delays the short prompts
of all others.
"""

import collections
import datetime
import hashlib
import typing

import attrs

from cicadapond.gateway.data import Generation, LoadHeader, ServerEntry
from cicadapond.kernel import Clock
from cicadapond.placing._prefixes import PrefixCacheModel, shared_parts

# Prompt tokens that one of the users' engines prefills per millisecond while it also decodes.
PREFILL_TOKENS_PER_MS = 88.0
# Attention takes this much longer per million pairs of a prefilled token and a token before it.
ATTENTION_MS_PER_MILLION_PAIRS = 0.184
# Delay of a new answer per request that the engine already runs, from the engines' step times.
BATCH_COST_MS = 0.6
# A server's load report counts in full when it arrives and decays with this half-life.
LOAD_HALF_LIFE_MS = 400.0
# A prefill of at least this length is reported to the other processes at once.
LONG_PREFILL_MS = 30.0
# Longer than any prompt is queued before its caller gives up.
QUEUE_HISTORY = datetime.timedelta(seconds=4)
# The assumed duration of a call to a plain service before any was measured, and the weight of each
# measured one in the moving average.
INITIAL_CALL_MS = 30.0
CALL_TIME_GAIN = 0.1
OTHER_ZONE_COST_MS = 1.8
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class InFlightRequest:
    """A request that is in flight at a server.

    Attributes:
      server: The server's name.
      work_ms: The expected prefill time, or the expected duration of a plain service's call.
      since: The monotonic instant at which it was sent.
      begun_at: The monotonic instant at which its answer began, None before.
    """

    server: str
    work_ms: float
    since: datetime.timedelta
    begun_at: datetime.timedelta | None = None


@attrs.define
class _PrefillQueue:
    """The prefill queued at an engine, in milliseconds of work; it drains in real time.

    `added` lists the recent additions, to correct the estimate when a request's answer begins: all
    prefill that was queued up to that request is done by then.
    """

    waiting_ms: float = 0.0
    updated_at: datetime.timedelta = datetime.timedelta()
    added: collections.deque = attrs.field(factory=collections.deque)

    def remaining_ms(self, now):
        return max(0.0, self.waiting_ms - (now - self.updated_at) / _MILLISECOND)

    def add(self, prefill_ms, now):
        self.waiting_ms = self.remaining_ms(now) + prefill_ms
        self.updated_at = now
        self.added.append((now, prefill_ms))
        while self.added and now - self.added[0][0] > QUEUE_HISTORY:
            self.added.popleft()

    def discard_up_to(self, sent_at, now):
        later = sum(prefill_ms for at, prefill_ms in self.added if at > sent_at)
        self.waiting_ms = min(self.remaining_ms(now), later)
        self.updated_at = now


@attrs.define
class _ServerLoad:
    prefix_cache: PrefixCacheModel
    in_flight: set = attrs.field(factory=set)
    report: LoadHeader | None = None
    reported_at: datetime.timedelta = datetime.timedelta()
    own_in_flight_at_report: int = 0
    mean_call_ms: float = INITIAL_CALL_MS
    queue: "_PrefillQueue" = attrs.field(factory=lambda: _PrefillQueue())
    total_prefill_ms: float = 0.0
    peer_totals_ms: dict = attrs.field(factory=dict)


@attrs.frozen
class Placement:
    """The server chosen for a request, and the expected time until its answer begins."""

    server: ServerEntry
    expected: datetime.timedelta
    request: InFlightRequest


class Placer:
    """Tracks the load of backend servers and places requests on them.

    Args:
      clock: Gives the time.
      zone: This process's data centre; servers elsewhere cost OTHER_ZONE_COST_MS more.
    """

    def __init__(self, clock: Clock, zone: str):
        self._clock = clock
        self._zone = zone
        self._loads: dict[str, _ServerLoad] = {}

    def estimate(
        self, servers: typing.Sequence[ServerEntry], generation: Generation | None
    ) -> list[tuple[float, ServerEntry, float]]:
        """Returns tuples of the expected delay, the server and the work, sorted by delay.

        The delay is the time until the answer begins; the work is the prefill, or the duration of
        a plain service's call.  Both are in milliseconds.
        """
        home_server = _home_server(servers, generation)
        estimates = []
        for entry in servers:
            load = self._load(entry)
            if generation is None:
                work_ms = load.mean_call_ms
                expected = work_ms * (1.0 + self._in_flight(load) / entry.slots)
            else:
                work_ms = self._prefill_ms(load, generation, entry is home_server)
                expected = load.queue.remaining_ms(self._clock.monotonic()) + work_ms
                expected += BATCH_COST_MS * self._in_flight(load)
            if entry.zone != self._zone:
                expected += OTHER_ZONE_COST_MS
            estimates.append((expected, entry, work_ms))
        estimates.sort(key=lambda item: (item[0], item[1].name))
        return estimates

    def place(
        self, servers: typing.Sequence[ServerEntry], generation: Generation | None
    ) -> Placement | None:
        """Chooses a server and counts the request there; returns None if there is no server."""
        estimates = self.estimate(servers, generation)
        if not estimates:
            return None
        expected, entry, work_ms = estimates[0]
        request = InFlightRequest(entry.name, work_ms, self._clock.monotonic())
        load = self._load(entry)
        load.in_flight.add(request)
        if generation is not None:
            load.prefix_cache.add_prompt(generation.parts)
            load.queue.add(work_ms, request.since)
            load.total_prefill_ms += work_ms
        return Placement(entry, expected * _MILLISECOND, request)

    def mark_answer_begun(self, request: InFlightRequest) -> None:
        """Records that a request's answer has begun, so that its prompt is no longer queued."""
        now = request.begun_at = self._clock.monotonic()
        load = self._loads.get(request.server)
        if load is not None:
            load.queue.discard_up_to(request.since, now)

    def mark_ended(self, request: InFlightRequest, took: datetime.timedelta | None = None) -> None:
        """Records that a request is no longer in flight.

        Args:
          request: The request.
          took: How long a complete answer of a plain service took, None for anything else.
        """
        load = self._loads.get(request.server)
        if load is None:
            return
        load.in_flight.discard(request)
        if took is not None:
            load.mean_call_ms += CALL_TIME_GAIN * (took / _MILLISECOND - load.mean_call_ms)

    def update_load(self, server: str, load_header: LoadHeader) -> None:
        """Stores a server's report of its load."""
        load = self._loads.get(server)
        if load is not None:
            load.report = load_header
            load.reported_at = self._clock.monotonic()
            load.own_in_flight_at_report = len(load.in_flight)

    def prefill_totals(self) -> dict[str, int]:
        """Returns the running totals of prefill sent to each engine, in milliseconds."""
        return {
            name: round(load.total_prefill_ms)
            for name, load in self._loads.items()
            if load.total_prefill_ms
        }

    def add_peer_prefill(self, process: str, totals_ms: typing.Mapping[str, float]) -> None:
        """Adds the prefill that another process has sent to each engine since its last report.

        Args:
          process: The other process's name.
          totals_ms: Its running totals of prefill, in milliseconds by engine.
        """
        now = self._clock.monotonic()
        for name, load in self._loads.items():
            total = totals_ms.get(name, 0.0)
            last = load.peer_totals_ms.get(process, total)
            load.peer_totals_ms[process] = total
            if total > last:
                load.queue.add(total - last, now)

    def remove(self, server: str) -> None:
        """Drops the load of a server that is gone."""
        self._loads.pop(server, None)

    def running(self, server: str) -> int:
        """Returns how many requests of this process are in flight at a server."""
        load = self._loads.get(server)
        return len(load.in_flight) if load is not None else 0

    def _load(self, entry):
        load = self._loads.get(entry.name)
        if load is None:
            load = self._loads[entry.name] = _ServerLoad(PrefixCacheModel())
        return load

    def _prefill_ms(self, load, generation, is_home):
        cached = load.prefix_cache.cached_tokens(generation.parts)
        if is_home:
            cached = max(cached, sum(part.tokens for part in shared_parts(generation)))
        return prefill_ms(generation.prompt_tokens, cached)

    def _in_flight(self, load):
        """Returns how many requests a server has: this process's own, and others as reported."""
        others = self._decayed(
            load, lambda report: max(0, report.running - load.own_in_flight_at_report)
        )
        return len(load.in_flight) + others

    def _decayed(self, load, count):
        if load.report is None:
            return 0.0
        age_ms = (self._clock.monotonic() - load.reported_at) / _MILLISECOND
        return count(load.report) * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)


def prefill_ms(tokens: int, cached: int) -> float:
    """Returns how long an engine takes to prefill a prompt, in milliseconds.

    Args:
      tokens: The prompt's tokens.
      cached: How many of its leading tokens the engine has cached.
    """
    new = max(0, tokens - cached)
    pairs = new * (cached + new / 2)
    return new / PREFILL_TOKENS_PER_MS + pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS


def _home_server(servers, generation):
    """Returns the server where a prompt's last shared part belongs; all processes agree on it."""
    if generation is None or not servers:
        return None
    shared = shared_parts(generation)
    if not shared:
        return None
    key = shared[-1].name
    return max(servers, key=lambda entry: _rendezvous_hash(key, entry.name))


def _rendezvous_hash(part, server):
    return hashlib.blake2b(f"{part} {server}".encode(), digest_size=8).digest()
