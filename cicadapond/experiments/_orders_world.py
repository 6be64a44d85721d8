"""A simulated service of model engines whose servers are ordered, reclaimed and crash; no I/O.

Engines prefill one prompt at a time, have a limited number of slots, and cache the shared parts of
prompts.  Time advances in steps; an order takes effect after the boot time.
"""

import abc
import collections
import heapq
import random
import typing

import attrs

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.scaling import Demand, DemandMeter, Waiting
from cicadapond.serving import EngineLimits, Scaling, ServerEntry, ServerOrder, Service

ZONES = ("a", "b", "c")
BOOT_S = 4.0
NOTICE_S = 2.5
# The entry of a crashed engine stays in the server table for this long.
ENTRY_LIFETIME_S = 3.0
# How long the processes take to see that an engine has crashed.
CRASH_DETECTION_S = 0.5
STEP_S = 0.02
# What a process knows of the engines is at most this old.
VIEW_AGE_S = 0.2
# How many engines, drawn at random, a process compares, besides one that cached the shared part.
SAMPLE_SIZE = 2
OBSERVATION_INTERVAL_S = 1.0
ORDER_INTERVAL_S = 0.5
RECLAIMABLE_PRICE = 0.18
LATE_SHARE = 0.1
SHARED_PARTS = 16


@attrs.frozen
class Kind:
    """One kind of request: its rate at the scale 1, its size, and what callers expect."""

    rate: float
    shared_tokens: int
    own_tokens: int
    answer_s: float
    objective_s: float
    limit_s: float
    value: float


@attrs.frozen
class Deployment:
    """What is served, and by which engines.

    `initial` is the number of reclaimable engines of each data centre at the start, besides one
    on-demand engine.  If `processes` is not 0, that many place requests by what they have last
    heard of the engines, which is up to VIEW_AGE_S old, and by what they sent since; else each
    request finds the engine that begins it first.
    """

    kinds: tuple[Kind, ...]
    slots: int
    tokens_per_s: float
    maximum: int
    initial: int
    prices: typing.Mapping[str, float]
    processes: int = 0

    def service(self) -> Service:
        """Returns the service as the configuration has it."""
        scaling = Scaling(1, self.maximum, seconds(BOOT_S), RECLAIMABLE_PRICE, self.prices)
        return Service("pool", 64, EngineLimits(self.slots, 10**6), scaling)


@attrs.frozen
class Faults:
    """What happens on a day; times in seconds.

    `reclaims` are (time, data centre); no reclaimable engine is to be had within `dry`.
    `crashes` are (time, share of the engines).  Nobody holds the lease within `no_holder`, and
    another process after it.  `bursts` are (from, until, factor of the rate).  `shutdowns` are the
    times at which an on-demand engine is told to stop.
    """

    reclaims: tuple[tuple[float, str], ...] = ()
    dry: tuple[float, float] = (0.0, 0.0)
    crashes: tuple[tuple[float, float], ...] = ()
    no_holder: tuple[float, float] = (0.0, 0.0)
    bursts: tuple[tuple[float, float, float], ...] = ()
    shutdowns: tuple[float, ...] = ()


@attrs.frozen
class _SentWork:
    """What a process sent to an engine since the engine was last heard of, at `seen_at`."""

    seen_at: float
    work_s: float
    count: int


@attrs.define(eq=False)
class Engine:
    """An engine; `ends` are the ends of its requests that occupy slots, a heap.

    The processes know `seen_free_at` and `seen_active`, which were true at `seen_at`.
    """

    name: str
    zone: str
    is_reclaimable: bool
    ready_at: float
    leaves_at: float | None = None
    crashed_at: float | None = None
    prefill_free_at: float = 0.0
    ends: list[float] = attrs.field(factory=list)
    cached: set[int] = attrs.field(factory=set)
    requests: list["Request"] = attrs.field(factory=list)
    seen_at: float = -VIEW_AGE_S
    seen_free_at: float = 0.0
    seen_active: int = 0


@attrs.define(eq=False)
class Request:
    """A request that was sent to an engine."""

    value: float
    sent_at: float
    end: float
    in_time: bool


@attrs.define
class Result:
    """What a day brought: value by second of arrival, the price of engines, and calls."""

    asked: collections.Counter = attrs.field(factory=collections.Counter)
    earned: collections.Counter = attrs.field(factory=collections.Counter)
    cost: float = 0.0
    on_demand_s: float = 0.0
    calls: int = 0

    @property
    def served(self) -> float:
        """The share of the value that was earned."""
        return self.earned.total() / self.asked.total()

    def worst(self, window: int = 3) -> float:
        """Returns the lowest share earned in a window of some seconds."""
        days = range(max(self.asked) + 2 - window)
        return min(
            sum(self.earned[at + each] for each in range(window))
            / max(1e-9, sum(self.asked[at + each] for each in range(window)))
            for at in days
        )


class Orderer(abc.ABC):
    """The part of the processes that orders servers, as one that may hold the lease."""

    @abc.abstractmethod
    def observe(self, entries: list[ServerEntry], demand: Demand) -> None:
        """Observes the servers that take requests and the demand; all processes do."""

    @abc.abstractmethod
    def step(
        self,
        entries: list[ServerEntry],
        leaving: list[ServerEntry],
        demand: Demand,
        waiting: Waiting,
        order: typing.Callable[[ServerOrder], bool],
    ) -> None:
        """Orders what is due, while the lease is held; `order` returns whether it was accepted."""

    @abc.abstractmethod
    def take_over(self) -> None:
        """Another process takes the lease."""


class OrdersWorld:
    """Plays a day.

    Args:
      deployment: What is served.
      faults: What happens.
      make_orderer: Makes the part that orders servers, given the clock and the service.
      seed: Seed of the arrivals.
    """

    def __init__(
        self,
        deployment: Deployment,
        faults: Faults,
        make_orderer: typing.Callable[[ManualClock, Service], Orderer],
        seed: int,
    ):
        self._deployment = deployment
        self._faults = faults
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._meter = DemandMeter(self._clock)
        self._orderer = make_orderer(self._clock, deployment.service())
        self._made = 0
        self._now = 0.0
        self._engines: list[Engine] = []
        self._meter_ends: list[float] = []
        # (time, duration) of answers that begin, and of those that end.
        self._answer_begins: list[tuple[float, float]] = []
        self._answer_ends: list[tuple[float, float]] = []
        self._result = Result()
        # What each process sent to an engine since the engine was last heard of.
        self._sent: list[dict[str, _SentWork]] = [{} for _ in range(deployment.processes)]
        for zone in ZONES:
            self._start(zone, True, deployment.initial, 0.0)
        self._start(min(ZONES, key=deployment.prices.__getitem__), False, 1, 0.0)

    def play(self, duration_s: float) -> Result:
        """Plays the day and returns its result."""
        has_taken_over = False
        reclaims, crashes = list(self._faults.reclaims), list(self._faults.crashes)
        shutdowns = list(self._faults.shutdowns)
        for step in range(round(duration_s / STEP_S)):
            self._now = step * STEP_S
            while reclaims and reclaims[0][0] <= self._now:
                self._reclaim(reclaims.pop(0)[1])
            while crashes and crashes[0][0] <= self._now:
                self._crash(crashes.pop(0)[1])
            while shutdowns and shutdowns[0] <= self._now:
                shutdowns.pop(0)
                self._shut_down()
            self._remove_gone()
            while self._meter_ends and self._meter_ends[0] <= self._now:
                heapq.heappop(self._meter_ends)
                self._meter.end("pool")
            self._meter_answers()
            self._arrive()
            if step % round(OBSERVATION_INTERVAL_S / STEP_S) == 0:
                self._orderer.observe(self._entries(), self._demand())
            lost_at, taken_at = self._faults.no_holder
            if taken_at and self._now >= taken_at and not has_taken_over:
                has_taken_over = True
                self._orderer.take_over()
            is_held = not lost_at <= self._now < taken_at
            if is_held and step % round(ORDER_INTERVAL_S / STEP_S) == 0:
                self._orderer.step(
                    self._entries(),
                    self._entries(leaving=True),
                    self._demand(),
                    self._waiting(),
                    self._order,
                )
            self._charge()
            self._clock.advance(seconds(STEP_S))
        return self._result

    def _meter_answers(self):
        while self._answer_begins and self._answer_begins[0][0] <= self._now:
            began, took_s = heapq.heappop(self._answer_begins)
            self._meter.begin_answer("pool")
            heapq.heappush(self._answer_ends, (began + took_s, took_s))
        while self._answer_ends and self._answer_ends[0][0] <= self._now:
            self._meter.end_answer("pool", seconds(heapq.heappop(self._answer_ends)[1]))

    def _start(self, zone, is_reclaimable, count, ready_at):
        for _ in range(count):
            self._made += 1
            self._engines.append(Engine(f"e{self._made}", zone, is_reclaimable, ready_at))

    def _reclaim(self, zone):
        for engine in self._engines:
            if engine.zone == zone and engine.is_reclaimable and engine.leaves_at is None:
                engine.leaves_at = self._now + NOTICE_S

    def _crash(self, share):
        ready = [each for each in self._engines if each.ready_at <= self._now]
        for engine in self._rng.sample(ready, round(share * len(ready))):
            engine.crashed_at = self._now
            self._fail_requests(engine)

    def _shut_down(self):
        for engine in self._engines:
            if not engine.is_reclaimable and self._serves(engine):
                engine.leaves_at = max([self._now + NOTICE_S, *engine.ends])
                return

    def _remove_gone(self):
        for engine in list(self._engines):
            if engine.leaves_at is not None and engine.leaves_at <= self._now:
                self._fail_requests(engine)
                self._engines.remove(engine)
            elif engine.crashed_at is not None and (
                engine.crashed_at + ENTRY_LIFETIME_S <= self._now
            ):
                self._engines.remove(engine)

    def _fail_requests(self, engine):
        """Takes back the value of requests that were cut."""
        for request in engine.requests:
            if request.end > self._now:
                earned = request.value * (1.0 if request.in_time else LATE_SHARE)
                self._result.earned[int(request.sent_at)] -= earned
        engine.requests.clear()

    def _arrive(self):
        factor = 1.0
        for since, until, of_burst in self._faults.bursts:
            factor = of_burst if since <= self._now < until else factor
        usable = [each for each in self._engines if self._serves(each)]
        for kind in self._deployment.kinds:
            expected = kind.rate * factor * STEP_S
            count = int(expected) + (self._rng.random() < expected - int(expected))
            for _ in range(count):
                self._send(kind, usable)

    def _serves(self, engine):
        return (
            engine.ready_at <= self._now and engine.leaves_at is None and engine.crashed_at is None
        )

    def _send(self, kind, usable):
        now, result = self._now, self._result
        value = kind.value
        result.asked[int(now)] += value
        part = int(SHARED_PARTS * self._rng.random() ** 2)
        part = part if kind.shared_tokens > 2000 else part + SHARED_PARTS
        speed = self._deployment.tokens_per_s
        best = None
        for engine in self._compared(usable, part, kind):
            ends = engine.ends
            while ends and ends[0] <= now:
                heapq.heappop(ends)
            start = max(now, engine.prefill_free_at)
            if len(ends) >= self._deployment.slots:
                start = max(start, ends[0])
            tokens = kind.own_tokens + (0 if part in engine.cached else kind.shared_tokens)
            began = start + tokens / speed
            if best is None or began < best[0]:
                best = (began, tokens / speed, engine)
        self._meter.begin("pool")
        if best is None or best[0] - now > kind.limit_s:
            heapq.heappush(self._meter_ends, now + kind.limit_s / 4)
            return
        began, work_s, engine = best
        self._add_prefill(kind, work_s)
        engine.prefill_free_at = began
        engine.cached.add(part)
        end = began + kind.answer_s * self._rng.uniform(0.6, 1.4)
        if len(engine.ends) >= self._deployment.slots:
            heapq.heappop(engine.ends)
        heapq.heappush(engine.ends, end)
        heapq.heappush(self._meter_ends, end)
        heapq.heappush(self._answer_begins, (began, end - began))
        request = Request(value, now, end, began - now <= kind.objective_s)
        engine.requests = [each for each in engine.requests if each.end > now]
        engine.requests.append(request)
        result.earned[int(now)] += value * (1.0 if request.in_time else LATE_SHARE)

    def _compared(self, usable, part, kind):
        """Returns the engines to choose from: all, or the one that a process prefers."""
        if not self._sent or not usable:
            return usable
        sent = self._rng.choice(self._sent)
        sample = self._rng.sample(usable, min(SAMPLE_SIZE, len(usable)))
        cached = [each for each in usable if part in each.cached]
        if cached:
            sample.append(self._rng.choice(cached))
        expected = [self._expected(sent, each, part, kind) for each in sample]
        began, work_s = min(expected)
        chosen = sample[expected.index((began, work_s))]
        own = sent[chosen.name]
        sent[chosen.name] = _SentWork(chosen.seen_at, own.work_s + work_s, own.count + 1)
        return [chosen]

    def _expected(self, sent, engine, part, kind):
        """Returns when a process expects a prompt to be prefilled there, and its prefill time."""
        now = self._now
        if now - engine.seen_at >= VIEW_AGE_S:
            active = sum(end > now for end in engine.ends)
            engine.seen_at, engine.seen_free_at, engine.seen_active = (
                now,
                engine.prefill_free_at,
                active,
            )
        own = sent.get(engine.name)
        if own is None or own.seen_at != engine.seen_at:
            own = sent[engine.name] = _SentWork(engine.seen_at, 0.0, 0)
        tokens = kind.own_tokens + (0 if part in engine.cached else kind.shared_tokens)
        work_s = tokens / self._deployment.tokens_per_s
        has_slot = engine.seen_active + own.count < self._deployment.slots
        began = max(now, engine.seen_free_at) + own.work_s + work_s
        return began + (0.0 if has_slot else kind.answer_s / 2), work_s

    def _add_prefill(self, kind, work_s):
        self._meter.add_prefill("pool", seconds(work_s), kind.shared_tokens + kind.own_tokens)

    def _demand(self):
        return Demand(
            self._meter.prefilling_engines().get("pool", 0.0),
            self._meter.requests_in_progress().get("pool", 0.0) / self._deployment.slots,
        )

    def _waiting(self):
        objective = seconds(min(kind.objective_s for kind in self._deployment.kinds))
        return Waiting(
            objective,
            self._deployment.slots,
            self._meter.prompt_times("pool"),
            self._meter.stay_s("pool"),
        )

    def _entries(self, leaving=False):
        """Returns the servers that take requests, or those that leave, as the processes know."""
        now, entries = self._now, []
        for each in self._engines:
            is_dead = each.crashed_at is not None and each.crashed_at + CRASH_DETECTION_S <= now
            if each.ready_at <= now and (each.leaves_at is not None) == leaving and not is_dead:
                entries.append(self._entry(each))
        return entries

    def _entry(self, engine):
        return ServerEntry(
            engine.name,
            "pool",
            Endpoint("::1", 1),
            engine.zone,
            self._deployment.slots,
            is_reclaimable=engine.is_reclaimable,
        )

    def _order(self, order):
        self._result.calls += 1
        same = [
            each
            for each in self._engines
            if (each.zone, each.is_reclaimable) == (order.zone, order.reclaimable)
            and each.leaves_at is None
            and each.crashed_at is None
        ]
        since, until = self._faults.dry
        missing = order.count - len(same)
        if missing > 0 and order.reclaimable and since <= self._now < until:
            return False
        self._start(order.zone, order.reclaimable, max(0, missing), self._now + BOOT_S)
        for engine in same[order.count :]:
            if engine.ready_at > self._now:
                self._engines.remove(engine)
            else:
                engine.leaves_at = max([self._now, *engine.ends])
        return True

    def _charge(self):
        for engine in self._engines:
            if engine.crashed_at is None:
                price = self._deployment.prices[engine.zone]
                self._result.cost += (
                    STEP_S * price * (RECLAIMABLE_PRICE if engine.is_reclaimable else 1.0)
                )
                self._result.on_demand_s += 0.0 if engine.is_reclaimable else STEP_S
