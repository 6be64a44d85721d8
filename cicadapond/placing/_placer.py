"""Chooses the backend server of a request by the expected time until its answer begins; no I/O.

It suits many prompts that share long prefixes, on engines that prefill prompts one after the other
and generate in a batch with a limited number of slots.  The estimate includes the prompt tokens
queued at the engine, the tokens of this prompt that it has not cached, the size of its batch, and
the wait for a slot if the batch is full.  All are converted into milliseconds, so that a shorter
queue can be weighed against a warmer cache.

The processes agree without communication on the home engine of a shared prefix, by rendezvous
hashing; a home engine counts as having the prefix cached.  They report to each other how much
prefill they have sent to each engine and how many requests they have there, since a long prompt of
one process delays the short prompts of all others.
"""

import collections
import datetime
import hashlib
import typing

import attrs

from cicadapond.gateway.data import Generation, LoadHeader, ServerEntry
from cicadapond.kernel import Clock
from cicadapond.placing._first_event import FirstEventModel, Prompt
from cicadapond.placing._prefixes import PrefixCacheModel, shared_parts

# A server's load report counts in full when it arrives and decays with this half-life.
LOAD_HALF_LIFE_MS = 400.0
# The pace of a server's host changes many times a second, so a report of it decays faster.
PACE_HALF_LIFE_MS = 200.0
# A prefill of at least this length is reported to the other processes at once.
LONG_PREFILL_MS = 30.0
# How long additions to a prefill queue are kept: longer than any prompt is queued before its caller
# gives up.
QUEUE_HISTORY = datetime.timedelta(seconds=4)
# The assumed duration of a call to a plain service before any was measured, and the weight of each
# measured one in the moving average.
INITIAL_CALL_MS = 30.0
CALL_TIME_GAIN = 0.1
# The same for the time that a generation occupies a slot.
INITIAL_SLOT_MS = 1000.0
SLOT_TIME_GAIN = 0.05
# Numbers of requests that others reported longer ago than this are ignored.
MAX_IN_FLIGHT_AGE = datetime.timedelta(seconds=3)
OTHER_ZONE_COST_MS = 1.8
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class EngineWork:
    """What some processes have sent to an engine.

    `prefill_total_ms` is a running total of prefill, `in_flight` the number of requests there.
    """

    prefill_total_ms: int
    in_flight: int


@attrs.frozen
class _Estimate:
    """What was known of a generation when it was sent, to learn from its answer."""

    prompt: Prompt
    queued_ms: float
    running: float
    has_slot: bool


@attrs.define(eq=False)
class InFlightRequest:
    """A request that is in flight at a server.

    Attributes:
      server: The server's name.
      service: Its service.
      work_ms: The expected prefill time, or the expected duration of a plain service's call.
      since: The monotonic instant at which it was sent.
      priority: Its priority at the engine.
      begun_at: The monotonic instant at which its answer began, None before.
      estimate: What its expected time was derived from, None for a plain service's call.
    """

    server: str
    service: str
    work_ms: float
    since: datetime.timedelta
    priority: int = 0
    begun_at: datetime.timedelta | None = None
    estimate: _Estimate | None = None


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
        if not self.waiting_ms:
            return 0.0
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
    name_hash: int
    in_flight: set = attrs.field(factory=set)
    report: LoadHeader | None = None
    reported_at: datetime.timedelta = datetime.timedelta()
    own_in_flight_at_report: int = 0
    mean_call_ms: float = INITIAL_CALL_MS
    queue: "_PrefillQueue" = attrs.field(factory=lambda: _PrefillQueue())
    total_prefill_ms: float = 0.0
    # Own prefill that the total of this data centre does not include yet.
    unreported_ms: float = 0.0
    others_totals_ms: dict = attrs.field(factory=dict)
    others_in_flight: dict = attrs.field(factory=dict)


@attrs.frozen
class _Candidate:
    """A server and what a request would meet there; `prompt` is None for a plain service."""

    expected_ms: float
    entry: ServerEntry
    work_ms: float
    queued_ms: float
    in_flight: float
    prompt: Prompt | None


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
        self._models: dict[tuple[str, int], FirstEventModel] = {}
        self._slot_ms: dict[str, float] = {}

    def model(self, service: str, priority: int = 0) -> FirstEventModel:
        """Returns the model of a service's engines for requests of one priority.

        Engines admit more urgent requests first, so that the same queue delays them less.
        """
        model = self._models.get((service, priority))
        if model is None:
            model = self._models[service, priority] = FirstEventModel()
        return model

    def estimate(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> list[tuple[float, ServerEntry, float]]:
        """Returns tuples of the expected delay, the server and the work, sorted by delay.

        The delay is the time until the answer begins; the work is the prefill, or the duration of
        a plain service's call.  Both are in milliseconds.  The priority is the engine's, 0 the most
        urgent.
        """
        return [
            (found.expected_ms, found.entry, found.work_ms)
            for found in self._candidates(servers, generation, priority)
        ]

    def place(
        self,
        servers: typing.Sequence[ServerEntry],
        generation: Generation | None,
        priority: int = 0,
    ) -> Placement | None:
        """Chooses a server and counts the request there; returns None if there is no server."""
        candidates = self._candidates(servers, generation, priority)
        if not candidates:
            return None
        chosen = candidates[0]
        entry, now = chosen.entry, self._clock.monotonic()
        request = InFlightRequest(entry.name, entry.service, chosen.work_ms, now, priority)
        load = self._load(entry)
        if generation is not None:
            request.estimate = _Estimate(
                chosen.prompt,
                chosen.queued_ms,
                chosen.in_flight,
                has_slot=chosen.in_flight < entry.slots,
            )
            load.prefix_cache.add_prompt(generation.parts)
            load.queue.add(chosen.work_ms, now)
            load.total_prefill_ms += chosen.work_ms
            load.unreported_ms += chosen.work_ms
        load.in_flight.add(request)
        return Placement(entry, chosen.expected_ms * _MILLISECOND, request)

    def _candidates(self, servers, generation, priority):
        """Returns the servers with the expected delay there, the shortest one first."""
        now = self._clock.monotonic()
        loads = [self._load(entry) for entry in servers]
        home = _home(loads, generation)
        candidates = []
        for entry, load in zip(servers, loads, strict=True):
            in_flight = self._in_flight(load, now)
            prompt, queued_ms = None, 0.0
            if generation is None:
                work_ms = load.mean_call_ms
                expected = work_ms * (1.0 + in_flight / entry.slots)
            else:
                model = self.model(entry.service, priority)
                prompt = _prompt(load, generation, load is home)
                work_ms = model.prefill_ms(prompt)
                queued_ms = load.queue.remaining_ms(now)
                expected = model.predict(entry.name, work_ms, queued_ms, in_flight)
                expected += self._slot_wait_ms(entry, in_flight)
            expected *= _pace(load, now)
            if entry.zone != self._zone:
                expected += OTHER_ZONE_COST_MS
            candidates.append(_Candidate(expected, entry, work_ms, queued_ms, in_flight, prompt))
        candidates.sort(key=lambda found: (found.expected_ms, found.entry.name))
        return candidates

    def mark_answer_begun(self, request: InFlightRequest) -> None:
        """Records that a request's answer has begun, so that its prompt is no longer queued."""
        now = request.begun_at = self._clock.monotonic()
        load = self._loads.get(request.server)
        if load is not None:
            load.queue.discard_up_to(request.since, now)
        estimate = request.estimate
        if estimate is not None and estimate.has_slot:
            self.model(request.service, request.priority).observe(
                request.server,
                estimate.prompt,
                estimate.queued_ms,
                estimate.running,
                (now - request.since) / _MILLISECOND,
            )

    def mark_ended(self, request: InFlightRequest, took: datetime.timedelta | None = None) -> None:
        """Records that a request is no longer in flight.

        Args:
          request: The request.
          took: How long a complete answer of a plain service took, None for anything else.
        """
        if request.begun_at is not None:
            held_ms = (self._clock.monotonic() - request.begun_at) / _MILLISECOND + request.work_ms
            mean = self._slot_ms.get(request.service, INITIAL_SLOT_MS)
            self._slot_ms[request.service] = mean + SLOT_TIME_GAIN * (held_ms - mean)
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

    def engine_work(self) -> dict[str, EngineWork]:
        """Returns what this process has sent to each engine."""
        return {
            name: EngineWork(round(load.total_prefill_ms), len(load.in_flight))
            for name, load in self._loads.items()
            if load.total_prefill_ms
        }

    def apply_others_work(
        self,
        zone: str,
        reporter: str,
        work: typing.Mapping[str, EngineWork],
        includes_own: bool,
    ) -> None:
        """Applies a report of what the processes of a data centre have sent to each engine.

        Args:
          zone: The data centre.
          reporter: Who counted; the running totals of different reporters are not compared.
          work: The work by engine.
          includes_own: Whether this process's own work is part of it.
        """
        now = self._clock.monotonic()
        for name, load in self._loads.items():
            reported = work.get(name)
            if reported is None:
                load.others_in_flight.pop(zone, None)
                continue
            in_flight = reported.in_flight - (len(load.in_flight) if includes_own else 0)
            load.others_in_flight[zone] = (max(0, in_flight), now)
            last_reporter, last = load.others_totals_ms.get(zone, (None, 0))
            load.others_totals_ms[zone] = (reporter, reported.prefill_total_ms)
            if reporter != last_reporter:
                continue
            added = max(0, reported.prefill_total_ms - last)
            if includes_own:
                own = min(added, load.unreported_ms)
                load.unreported_ms -= own
                added -= own
            if added:
                load.queue.add(added, now)

    def remove(self, server: str) -> None:
        """Drops the load of a server that is gone."""
        self._loads.pop(server, None)
        for model in self._models.values():
            model.remove(server)

    def running(self, server: str) -> int:
        """Returns how many requests of this process are in flight at a server."""
        load = self._loads.get(server)
        return len(load.in_flight) if load is not None else 0

    def in_flight(self, entry: ServerEntry) -> float:
        """Returns how many requests of all processes a server is estimated to have."""
        return self._in_flight(self._load(entry), self._clock.monotonic())

    def _load(self, entry):
        load = self._loads.get(entry.name)
        if load is None:
            load = _ServerLoad(PrefixCacheModel(), _hash(entry.name))
            self._loads[entry.name] = load
        return load

    def _slot_wait_ms(self, entry, in_flight):
        """Returns the expected wait for a slot: the slots free up evenly."""
        if in_flight < entry.slots:
            return 0.0
        slot_ms = self._slot_ms.get(entry.service, INITIAL_SLOT_MS)
        return (in_flight - entry.slots + 1) * slot_ms / entry.slots

    def _in_flight(self, load, now):
        """Returns how many requests a server has: this process's own, and those of others.

        Those of others come from the server's own report while it is recent, and increasingly from
        the reports of the other processes as it ages.
        """
        others = 0.0
        if load.others_in_flight:
            oldest = now - MAX_IN_FLIGHT_AGE
            others = sum(count for count, at in load.others_in_flight.values() if at > oldest)
        if load.report is not None:
            age_ms = (now - load.reported_at) / _MILLISECOND
            weight = 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
            reported = load.report.running + load.report.waiting - load.own_in_flight_at_report
            others += weight * (max(0, reported) - others)
        return len(load.in_flight) + others


def _pace(load, now):
    """Returns how long work takes on a server's host, as a multiple of the usual time."""
    if load.report is None or load.report.pace is None:
        return 1.0
    age_ms = (now - load.reported_at) / _MILLISECOND
    return 1.0 + (load.report.pace - 1.0) * 0.5 ** (age_ms / PACE_HALF_LIFE_MS)


def _prompt(load, generation, is_home):
    """Returns the prefill that a prompt needs at an engine."""
    cached = load.prefix_cache.cached_tokens(generation.parts)
    if is_home:
        cached = max(cached, sum(part.tokens for part in shared_parts(generation)))
    return Prompt(max(0, generation.prompt_tokens - cached), cached)


def _home(loads, generation):
    """Returns the load of the server where a prompt's last shared part belongs.

    All processes agree on it by rendezvous hashing.
    """
    if generation is None or not loads:
        return None
    shared = shared_parts(generation)
    if not shared:
        return None
    part_hash = _hash(shared[-1].name)
    return max(loads, key=lambda load: (part_hash ^ load.name_hash) * _MIXER & _HASH_MASK)


def _hash(name):
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


# An odd number whose product with the difference of two hashes orders servers differently for each
# part.
_MIXER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1
