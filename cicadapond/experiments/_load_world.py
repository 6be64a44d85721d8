"""Gateway processes and engines under a named load on virtual time; no I/O.

Each process has its own `Placer` and knows of the engines what their responses state and what the
digests of the data centres report, as in a deployment: 58 processes see 4 to 8 requests a second
each, so that their information is stale when it is used.
"""

import heapq
import itertools
import random
import statistics
import typing

import attrs

from cicadapond.data import Endpoint
from cicadapond.experiments._virtual_engine import EngineFigures, Run, VirtualEngine
from cicadapond.kernel import ManualClock
from cicadapond.kernel import seconds as in_seconds
from cicadapond.placing import EngineWork, Placer
from cicadapond.serving import Generation, PromptPart, ServerEntry

ZONES = ("a", "b", "c")
DIGEST_INTERVAL_MS, DIGEST_DELAY_MS = 500.0, 250.0
HOP_MS = 1.0
SUBJECTS = 60
SERVICE = "pool"


@attrs.frozen
class Kind:
    """One kind of request; sizes in tokens, times in milliseconds, rate in requests a second."""

    name: str
    rate: float
    shared: int
    own: int
    events: int
    objective_ms: float
    limit_ms: float
    priority: int
    value: float


LONG = Kind("long", 88.9, 5382, 6610, 42, 1545.0, 12363.0, 1, 2.9)
SHORT = Kind("short", 245.0, 568, 1800, 3, 522.0, 2612.0, 0, 2.7)


@attrs.frozen
class Load:
    """A named load.

    `rate(now, kind)` is a multiple of the kind's usual rate; `pace(now, engine number)` how long
    work takes; `gone(now)` how many engines the platform has withdrawn; `hot_share(now)` the share
    of long requests that come from one client account; `hot_part_share(now)` the share of them that
    have the same shared part.
    """

    name: str
    rate: typing.Callable[[float, Kind], float] = lambda now, kind: 1.0
    pace: typing.Callable[[float, int], float] = lambda now, number: 1.0
    gone: typing.Callable[[float], int] = lambda now: 0
    slowness: typing.Callable[[int], float] = lambda number: 1.0
    hot_share: typing.Callable[[float], float] = lambda now: 0.0
    hot_part_share: typing.Callable[[float], float] = lambda now: 0.0


@attrs.frozen
class WorldSettings:
    """Sizes of a simulated deployment."""

    engines: int = 22
    processes: int = 58
    duration_ms: float = 12_000.0
    kinds: tuple[Kind, ...] = (LONG, SHORT)
    figures: EngineFigures = EngineFigures()
    states_pace: bool = True
    states_load: bool = True


@attrs.define(eq=False)
class Call:
    """A request of a caller and what became of it."""

    kind: Kind
    generation: Generation
    account: str
    at: float
    process: "Process"
    sent_at: float | None = None
    expected_ms: float | None = None
    first_ms: float | None = None
    ended_ms: float | None = None
    refused_ms: float | None = None
    run: Run | None = None
    placement: object = None

    @property
    def in_time(self) -> bool:
        return self.first_ms is not None and self.first_ms <= self.kind.objective_ms


class Process:
    """One gateway process."""

    def __init__(self, number, world):
        self.zone = ZONES[number % len(ZONES)]
        self.placer = world.new_placer(self.zone, number)


class World:
    """One run of a load.

    Args:
      load: The load.
      cfg: The sizes.
      seed: Seed of all random choices.
      hold: Creates the policy by which requests wait; called with the world.
    """

    def __init__(self, load: Load, cfg: WorldSettings, seed: int, hold):
        self.load, self.cfg = load, cfg
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.calls: list[Call] = []
        self._events: list = []
        self._numbers = itertools.count()
        self.entries = [
            ServerEntry(
                f"e-{number}",
                SERVICE,
                Endpoint("::1", 1),
                ZONES[number % len(ZONES)],
                cfg.figures.slots,
            )
            for number in range(cfg.engines)
        ]
        self.engines = {
            entry.name: VirtualEngine(
                entry.name,
                attrs.evolve(cfg.figures, slowness=load.slowness(number)),
                self.schedule,
                lambda now, number=number: load.pace(now, number),
            )
            for number, entry in enumerate(self.entries)
        }
        self.processes = [Process(number, self) for number in range(cfg.processes)]
        self.hold = hold(self)

    def new_placer(self, zone: str, number: int) -> Placer:
        """Returns the placer of a process."""
        return Placer(
            self.clock,
            zone,
            random.Random(number),
            memory=lambda service: self.cfg.figures.kv_tokens,
        )

    def schedule(self, at: float, function) -> None:
        """Calls function(now) at an instant."""
        heapq.heappush(self._events, (at, next(self._numbers), function))

    def run(self) -> "World":
        for kind in self.cfg.kinds:
            self.schedule(0.0, lambda now, kind=kind: self._arrive(now, kind, True))
        self.schedule(DIGEST_INTERVAL_MS, self._collect)
        self.schedule(100.0, self._withdraw)
        while self._events:
            at, _, function = heapq.heappop(self._events)
            if at > self.now:
                self.clock.advance(in_seconds((at - self.now) / 1000))
                self.now = at
            function(self.now)
        return self

    # Callers

    def _arrive(self, now, kind, is_first=False):
        if now > self.cfg.duration_ms:
            return
        rate = kind.rate * self.load.rate(now, kind)
        self.schedule(now + self.rng.expovariate(rate / 1000), lambda at: self._arrive(at, kind))
        if is_first:
            return
        size = min(4.0, self.rng.lognormvariate(-0.08, 0.4))
        own = round(kind.own * size)
        subject = f"{kind.name}-{self.rng.randrange(SUBJECTS)}"
        hot_part_share = self.load.hot_part_share(now) if kind is self.cfg.kinds[0] else 0.0
        if hot_part_share and self.rng.random() < hot_part_share:
            subject = f"{kind.name}-0"
        parts = (PromptPart(subject, kind.shared), PromptPart(f"o-{len(self.calls)}", own))
        is_hot = kind is self.cfg.kinds[0] and self.rng.random() < self.load.hot_share(now)
        account = "hot" if is_hot else f"a-{self.rng.randrange(16)}"
        output = kind.events * self.cfg.figures.stride
        call = Call(
            kind,
            Generation(kind.shared + own, output, parts),
            account,
            now,
            self.rng.choice(self.processes),
        )
        self.calls.append(call)
        self.schedule(now + kind.limit_ms, lambda at: self._give_up(call))
        self.hold.arrive(call)

    def usable(self) -> list[ServerEntry]:
        """Returns the engines that take requests."""
        return [entry for entry in self.entries if not self.engines[entry.name].is_gone]

    def send(self, call: Call, servers: list[ServerEntry] | None = None) -> None:
        """Places a request and sends it."""
        placer = call.process.placer
        found = placer.place(servers or self.usable(), call.generation, call.kind.priority)
        call.placement, call.sent_at = found, self.now
        call.expected_ms = found.expected.total_seconds() * 1000
        engine = self.engines[found.server.name]
        call.run = Run(
            call.generation,
            call.kind.priority,
            call.kind.events,
            lambda now, number: self._event(call, engine, number),
            lambda now: self.schedule(now + HOP_MS, lambda at: self._end(call)),
            fetch_from=self.engines[found.fetch_from.name] if found.fetch_from else None,
        )
        self.schedule(self.now + HOP_MS, lambda at: engine.submit(call.run, at))

    def _event(self, call, engine, number):
        if number != 1:
            return
        load = engine.load(self.now)
        if not self.cfg.states_pace:
            load = attrs.evolve(load, pace=None)

        def heard(now):
            call.first_ms = now - call.at
            if self.cfg.states_load:
                call.process.placer.update_load(engine.name, load)
            call.process.placer.mark_answer_begun(call.placement.request)
            self.hold.begun(call)
            self.hold.changed(call.process)

        self.schedule(self.now + HOP_MS, heard)

    def _end(self, call):
        if call.ended_ms is None and not call.run.is_cancelled:
            call.ended_ms = self.now - call.at
            call.process.placer.mark_ended(call.placement.request)
            self.hold.changed(call.process)

    def _give_up(self, call):
        if call.ended_ms is not None or call.refused_ms is not None:
            return
        if call.run is not None and not call.run.is_cancelled:
            call.run.is_cancelled = True
            call.process.placer.mark_ended(call.placement.request)
        self.hold.abandon(call)

    # The platform and the digests

    def _withdraw(self, now):
        gone = self.load.gone(now)
        for entry in self.entries[:gone]:
            engine = self.engines[entry.name]
            if engine.is_gone:
                continue
            lost = set(map(id, engine.stop()))
            for call in self.calls:
                if call.run is not None and id(call.run) in lost and not call.run.is_cancelled:
                    call.run.is_cancelled = True
                    call.process.placer.mark_ended(call.placement.request)
            for process in self.processes:
                process.placer.remove(entry.name)
        if now < self.cfg.duration_ms:
            self.schedule(now + 100.0, self._withdraw)

    def _collect(self, now):
        totals = {zone: {} for zone in ZONES}
        for process in self.processes:
            total = totals[process.zone]
            for name, work in process.placer.engine_work().items():
                before = total.get(name, EngineWork(0, 0))
                total[name] = EngineWork(
                    before.prefill_total_ms + work.prefill_total_ms,
                    before.in_flight + work.in_flight,
                )
        self.schedule(now + DIGEST_DELAY_MS, lambda at: self._spread(totals))
        if now < self.cfg.duration_ms:
            self.schedule(now + DIGEST_INTERVAL_MS, self._collect)

    def _spread(self, totals):
        for process in self.processes:
            for zone, total in totals.items():
                process.placer.apply_others_work(zone, "hub", total, zone == process.zone)
            self.hold.changed(process)

    # Results

    def errors(self, begin_ms: float, end_ms: float, kind: str) -> tuple[float, float, float]:
        """Returns the medians of expected and actual time to the first event, and their ratio."""
        found = [
            (call.expected_ms, call.first_ms - (call.sent_at - call.at))
            for call in self.calls
            if call.first_ms is not None
            and begin_ms <= call.sent_at < end_ms
            and call.kind.name == kind
        ]
        if not found:
            return 0.0, 0.0, 0.0
        expected, actual = zip(*found, strict=True)
        ratio = statistics.median(e / a for e, a in found)
        return statistics.median(expected), statistics.median(actual), ratio

    def preempted(self, begin_ms: float = 0.0, end_ms: float = 1e9) -> int:
        """Returns how many requests that arrived in an interval were preempted."""
        return sum(
            bool(call.run is not None and call.run.preemptions)
            for call in self.calls
            if begin_ms <= call.at < end_ms
        )

    def share_abroad(self) -> float:
        """Returns the share of the requests that were sent to another data centre."""
        sent = [call for call in self.calls if call.placement is not None]
        abroad = sum(call.placement.server.zone != call.process.zone for call in sent)
        return abroad / max(1, len(sent))

    def share_in_time(self, begin_ms=0.0, end_ms=1e9, kind=None, account=None) -> float:
        """Returns the share of the requests that arrived in an interval and were in time."""
        found = [
            call.in_time and call.ended_ms is not None
            for call in self.calls
            if begin_ms <= call.at < end_ms
            and kind in (None, call.kind.name)
            and (account is None or (call.account == "hot") == (account == "hot"))
        ]
        return statistics.fmean(found) if found else 0.0
