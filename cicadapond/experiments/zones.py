"""Requests between data centres while demand is uneven and moves.

Three data centres, each with processes that place requests by what they know: their own requests,
summaries that are some hundred milliseconds old, and the engines' answers.  Compares a constant
cost of leaving the data centre with planned shares.
"""

import collections
import heapq
import itertools
import math
import random

import attrs

from cicadapond.data import Endpoint
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import EngineWork, Placer
from cicadapond.scaling import Demand, DemandMeter
from cicadapond.serving import Generation, LoadHeader, PromptPart, ServerEntry
from cicadapond.zones import ZoneCosts, ZoneLoad

ZONES = ("a", "b", "c")
PROCESSES, ENGINES, SLOTS = 6, 5, 16
DISTANCE_S = 0.0014
STEP_S = 0.005
SUMMARY_INTERVAL_S, SUMMARY_DELAY_S = 0.5, 0.25
TOKENS_PER_S = 112e3
OBJECTIVE_S = 0.522
# Shared and own tokens, seconds in a slot, and share of the requests.
KINDS = ((5382, 6610, 1.0, 0.25), (568, 1800, 0.1, 0.75))
SHARED_PARTS = 8


@attrs.frozen
class ZoneDay:
    """The demand of each data centre in requests a second, over time, and what fails.

    The rate is `rate` times 1 + `swing` times a sine of `period_s`, a third of it apart between
    data centres.  `lost` is a data centre whose engines take no requests within `lost_s`; `cut` one
    that others do not hear or reach within `cut_s`.
    """

    rate: float = 105.0
    swing: float = 0.0
    period_s: float = 12.0
    weights: tuple[float, float, float] = (1.0, 1.0, 1.0)
    lost: str = ""
    lost_s: tuple[float, float] = (0.0, 0.0)
    cut: str = ""
    cut_s: tuple[float, float] = (0.0, 0.0)


DAYS = {
    "even": ZoneDay(),
    "uneven": ZoneDay(weights=(1.7, 0.65, 0.65)),
    "moving": ZoneDay(swing=0.7),
    "a without engines": ZoneDay(rate=85.0, lost="a", lost_s=(8.0, 16.0)),
    "a cut off": ZoneDay(rate=85.0, weights=(1.3, 0.85, 0.85), cut="a", cut_s=(8.0, 16.0)),
}


@attrs.define
class ZoneResult:
    """By second of arrival: requests, those in time, and those between data centres."""

    asked: collections.Counter = attrs.field(factory=collections.Counter)
    in_time: collections.Counter = attrs.field(factory=collections.Counter)
    flows: collections.Counter = attrs.field(factory=collections.Counter)
    taken: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def served(self) -> float:
        """The share of the requests that began in time."""
        return self.in_time.total() / self.asked.total()

    @property
    def worst(self) -> float:
        """The lowest share of a second."""
        return min(self.in_time[second] / count for second, count in self.asked.items())

    @property
    def left(self) -> float:
        """The share of the requests that left their data centre."""
        return self.flows.total() / self.asked.total()

    @property
    def both_ways(self) -> float:
        """The share of the requests that left while as many came the other way."""
        crossed = sum(
            2 * min(count, self.flows[second, there, here])
            for (second, here, there), count in self.flows.items()
            if here < there
        )
        return crossed / self.asked.total()

    def reversals(self, least: int = 4) -> int:
        """Returns how often the net flow of two data centres turned, from second to second."""
        turns = 0
        for here, there in itertools.combinations(ZONES, 2):
            nets = [
                self.flows[second, here, there] - self.flows[second, there, here]
                for second in sorted(self.asked)
            ]
            signs = [net > 0 for net in nets if abs(net) >= least]
            turns += sum(one != next_one for one, next_one in itertools.pairwise(signs))
        return turns


@attrs.define(eq=False)
class _Engine:
    entry: ServerEntry
    free_at: float = 0.0
    ends: list = attrs.field(factory=list)
    cached: set = attrs.field(factory=set)


class _Process:
    def __init__(self, clock, zone, plans, rng):
        self.zone = zone
        self.costs = ZoneCosts(clock, zone) if plans else None
        self.placer = Placer(clock, zone, rng, self.costs)
        self.demand = DemandMeter(clock)


class ZonesWorld:
    """Plays a day.

    Args:
      day: What happens.
      plans: Whether the costs of leaving the data centre are planned.
      seed: Seed of the arrivals.
    """

    def __init__(self, day: ZoneDay, plans: bool, seed: int):
        self._day = day
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._now = 0.0
        self._engines = {}
        for zone in ZONES:
            for number in range(ENGINES):
                entry = ServerEntry(f"{zone}{number}", "pool", Endpoint("::1", 1), zone, SLOTS)
                self._engines[entry.name] = _Engine(entry)
        self._processes = [
            _Process(self._clock, zone, plans, random.Random(f"{seed} {zone} {number}"))
            for zone in ZONES
            for number in range(PROCESSES)
        ]
        self._events: list = []
        self._numbers = itertools.count()
        self._summaries: collections.deque = collections.deque()
        self._heard_at: dict[tuple[str, str], float] = {}
        self._known: dict[tuple[str, str], Demand] = {}
        self._result = ZoneResult()

    def play(self, duration_s: float) -> ZoneResult:
        """Plays the day and returns its result."""
        for step in range(round(duration_s / STEP_S)):
            self._now = step * STEP_S
            if step % round(SUMMARY_INTERVAL_S / STEP_S) == 0:
                self._summarise()
            while self._summaries and self._summaries[0][0] <= self._now:
                self._hear(*self._summaries.popleft()[1:])
            while self._events and self._events[0][0] <= self._now:
                heapq.heappop(self._events)[2]()
            self._arrive()
            self._clock.advance(seconds(STEP_S))
        return self._result

    def _is_cut(self, here, there):
        since, until = self._day.cut_s
        return here != there and self._day.cut in (here, there) and since <= self._now < until

    def _usable(self, zone):
        since, until = self._day.lost_s
        is_lost = since <= self._now < until
        return [
            engine.entry
            for engine in self._engines.values()
            if not (is_lost and engine.entry.zone == self._day.lost)
            and not self._is_cut(zone, engine.entry.zone)
        ]

    def _summarise(self):
        for zone in ZONES:
            work, demand = {}, [0.0, 0.0]
            for process in (each for each in self._processes if each.zone == zone):
                demand[0] += process.demand.prefilling_engines().get("pool", 0.0)
                demand[1] += process.demand.requests_in_progress().get("pool", 0.0) / SLOTS
                for name, own in process.placer.engine_work().items():
                    known = work.get(name, EngineWork(0, 0))
                    work[name] = EngineWork(
                        known.prefill_total_ms + own.prefill_total_ms,
                        known.in_flight + own.in_flight,
                    )
            self._summaries.append((self._now + SUMMARY_DELAY_S, zone, work, Demand(*demand)))

    def _hear(self, zone, work, demand):
        for here in ZONES:
            if not self._is_cut(here, zone):
                self._heard_at[here, zone] = self._now
                self._known[here, zone] = demand
        for process in self._processes:
            if self._is_cut(process.zone, zone):
                continue
            process.placer.apply_others_work(zone, zone, work, includes_own=process.zone == zone)
            if process.costs is not None:
                self._plan(process)

    def _plan(self, process):
        capacity = collections.Counter(entry.zone for entry in self._usable(process.zone))
        known = {zone: self._known.get((process.zone, zone)) for zone in ZONES}
        process.costs.update(
            "pool",
            {
                zone: ZoneLoad(max(need.prefill, need.batches), capacity[zone])
                for zone, need in known.items()
                if need is not None
            },
            {
                zone: seconds(self._now - self._heard_at.get((process.zone, zone), -9.0))
                for zone in ZONES
            },
            seconds(OBJECTIVE_S),
        )

    def _arrive(self):
        day = self._day
        for number, zone in enumerate(ZONES):
            phase = 2 * math.pi * (self._now / day.period_s + number / 3)
            rate = day.rate * day.weights[number] * (1 + day.swing * math.sin(phase))
            if self._rng.random() < rate * STEP_S:
                process = self._rng.choice([p for p in self._processes if p.zone == zone])
                self._send(process)

    def _send(self, process):
        now, second = self._now, int(self._now)
        shared, own, slot_s, _ = self._rng.choices(KINDS, [kind[3] for kind in KINDS])[0]
        part = f"{shared}-{int(SHARED_PARTS * self._rng.random() ** 2)}"
        parts = (PromptPart(part, shared), PromptPart(f"own{now}", own))
        generation = Generation(shared + own, round(slot_s * 300), parts)
        self._result.asked[second] += 1
        placement = process.placer.place(self._usable(process.zone), generation)
        if placement is None:
            return
        request, engine = placement.request, self._engines[placement.server.name]
        there = engine.entry.zone
        if there != process.zone:
            self._result.flows[second, process.zone, there] += 1
        self._result.taken[second, there] += 1
        process.demand.begin("pool")
        work = seconds(request.work_ms / 1000)
        process.demand.add_prefill("pool", work, generation.prompt_tokens)
        engine.ends = [end for end in engine.ends if end > now]
        start = max(now + (DISTANCE_S if there != process.zone else 0.0), engine.free_at)
        if len(engine.ends) >= SLOTS:
            start = max(start, sorted(engine.ends)[len(engine.ends) - SLOTS])
        tokens = own + (0 if part in engine.cached else shared)
        engine.cached.add(part)
        began = engine.free_at = start + tokens / TOKENS_PER_S
        end = began + slot_s * self._rng.uniform(0.6, 1.4)
        engine.ends.append(end)
        self._result.in_time[second] += began - now <= OBJECTIVE_S
        self._at(began, lambda: self._begin(process, request, engine))
        self._at(end, lambda: self._end(process, request))

    def _begin(self, process, request, engine):
        process.placer.mark_answer_begun(request)
        running = sum(end > self._now for end in engine.ends)
        process.placer.update_load(engine.entry.name, LoadHeader(running, 0, SLOTS))

    def _end(self, process, request):
        process.placer.mark_ended(request)
        process.demand.end("pool")

    def _at(self, when, call):
        heapq.heappush(self._events, (when, next(self._numbers), call))


def play(day: ZoneDay, plans: bool, seed: int, duration_s: float = 24.0) -> ZoneResult:
    """Plays a day."""
    return ZonesWorld(day, plans, seed).play(duration_s)


@experiments.register("zones")
class ZonesExperiment(Experiment):
    """Compares a constant cost of leaving the data centre with planned shares."""

    summary = "uneven and moving demand in three data centres: in time, and traffic between them"

    def run(self, seeds):
        rows = []
        for name, day in DAYS.items():
            for cost, plans in (("constant", False), ("planned", True)):
                found = [play(day, plans, seed) for seed in seeds]
                means = [
                    sum(value(each) for each in found) / len(found)
                    for value in (
                        lambda each: each.served,
                        lambda each: each.worst,
                        lambda each: each.left,
                        lambda each: each.both_ways,
                        lambda each: float(each.reversals()),
                    )
                ]
                rows.append((name, cost, *means))
        columns = ("day", "cost", "in time", "worst second", "left", "both ways", "reversals")
        return (Table("Requests between data centres, means of the seeds", columns, tuple(rows)),)
