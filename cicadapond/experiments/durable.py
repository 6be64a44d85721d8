"""Experiment "durable": journal writes and tokens recomputed after entry deaths, by interval.

Real `DurableRequests` of several entries on the virtual loop; tokens come at a fixed rate.
Baseline: an adopter that starts the answer again from nothing.
"""

import asyncio
import random

import attrs

from cicadapond.data import Completion, Finished, Priority, Token
from cicadapond.document import Intent
from cicadapond.entry._durable import DurableRequests
from cicadapond.entry._parts import Parts
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.journal import JournalSettings, RequestState
from cicadapond.kernel import Metrics, Ok, VirtualClock, run_virtual, seconds
from cicadapond.peer import Digest, Member, MemberState, Peers
from cicadapond.provider import BudgetedTables, BudgetSettings, StoreClass
from cicadapond.standin import DirectObjects, DirectTables, ObjectModel, TableModel

ENTRIES = 6
REQUESTS = 60
TOKENS = 3000
TOKEN_SECONDS = 0.02
DEATH_EVERY_SECONDS = 6.0
TOKENS_AT_ONCE = 5
NOTICED_SECONDS = 3.0  # how long membership takes to tell of a death
RESTART_SECONDS = 2.0
CHECK_SECONDS = 1.0
ACCOUNT = "co-op"
INTERVALS_SECONDS = (0.5, 1.0, 2.0, 5.0, 10.0)


@attrs.frozen
class Case:
    """One setting: how often progress is written, whether it is used, whether deaths are told."""

    interval_seconds: float
    resumes: bool = True
    told: bool = True


CASES = (
    Case(1.0, resumes=False),
    *map(Case, INTERVALS_SECONDS),
    *(Case(interval, told=False) for interval in INTERVALS_SECONDS),
)


class _DeathNotices(Peers):
    """Membership that tells of each death some time later, and of nothing else."""

    def __init__(self, world):
        self._world = world

    def members(self):
        limit = self._world.clock.monotonic() - seconds(NOTICED_SECONDS)
        return tuple(
            Member(name, "", "entry", 0, MemberState.DEAD, died, 0, Digest())
            for name, died in self._world.died.items()
            if self._world.case.told and died <= limit
        )

    def publish(self, digest):
        return None

    def subscribe(self, listener):
        return None

    def heard_from_zone(self, zone):
        return None


class DurableWorld:
    """The store and the entries of one run.

    Args:
      case: The setting.
      seed: Decides everything random.
    """

    def __init__(self, case: Case, seed: int):
        self.clock = VirtualClock()
        self.tables = TableModel(self.clock, random.Random(seed))
        self.generated = 0
        self.wrong = 0
        self.stalls = []
        self._objects = ObjectModel(self.clock, random.Random(seed + 1))
        self.case = case
        self.died = {}
        self._rng = random.Random(seed + 2)
        self._seed = seed * 1000
        self._last = {}
        self._entries = [self._new_entry() for _ in range(ENTRIES)]

    async def run(self) -> float:
        """Runs all requests to their end under deaths; returns how many seconds it took."""
        start = self.clock.monotonic()
        for number in range(REQUESTS):
            req = Completion(f"r{number}", ACCOUNT, "shade-model", "planogram", TOKENS)
            req = attrs.evolve(req, priority=Priority.BATCH)
            await self._accept(req)
        deaths = asyncio.ensure_future(self._deaths())
        for number in range(REQUESTS):
            await self._wait_for_end(f"r{number}")
        deaths.cancel()
        return (self.clock.monotonic() - start).total_seconds()

    async def _accept(self, req):
        while not isinstance(await self._rng.choice(self._entries).accept(req), Ok):
            await asyncio.sleep(CHECK_SECONDS)

    async def _wait_for_end(self, request_id):
        while True:
            found = await self._entries[0].lookup(request_id, ACCOUNT)
            if isinstance(found, Ok) and found.value.state is RequestState.DONE:
                self.wrong += found.value.tokens != _answer(request_id)
                return
            await asyncio.sleep(CHECK_SECONDS)

    async def _deaths(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / DEATH_EVERY_SECONDS))
            place = self._rng.randrange(ENTRIES)
            await self._entries[place].close()
            self.died[self._entries[place].name] = self.clock.monotonic()
            await asyncio.sleep(RESTART_SECONDS)
            self._entries[place] = self._new_entry()

    async def _generate(self, req, sink, resume, version):
        texts = _answer(req.request_id)
        if req.request_id in self._last:
            self.stalls.append(self.clock.monotonic() - self._last[req.request_id])
        start = len(resume) if self.case.resumes else 0
        while start < TOKENS:
            end = min(start + TOKENS_AT_ONCE, TOKENS)
            await asyncio.sleep((end - start) * TOKEN_SECONDS)
            self.generated += end - start
            self._last[req.request_id] = self.clock.monotonic()
            await sink.tokens(tuple(Token(1, n, texts[n]) for n in range(start, end)))
            start = end
        return Ok(Finished(1, TOKENS, "length"))

    def _new_entry(self):
        self._seed += 1
        budget = BudgetedTables(
            DirectTables(self.tables),
            BudgetSettings(),
            self.clock,
            Metrics(),
            random.Random(self._seed),
        )
        budget.resize(ENTRIES)
        intent = Intent()
        parts = Parts(
            cfg=None,
            clock=self.clock,
            metrics=Metrics(),
            rng=random.Random(-self._seed),
            intent=lambda: intent,
            fleet=None,
            peers=_DeathNotices(self),
            journal_tables=budget.for_class(StoreClass.JOURNAL),
            objects=budget.objects_for_class(DirectObjects(self._objects), StoreClass.JOURNAL),
        )
        cfg = JournalSettings(checkpoint_interval=seconds(self.case.interval_seconds))
        entry = DurableRequests(parts, self._generate, cfg, f"entry-{self._seed}")
        entry.name = f"entry-{self._seed}"
        entry.start()
        return entry


@experiments.register("durable")
class Durable(Experiment):
    """Writes of the journal against the tokens that a death costs."""

    summary = "journal writes per second and tokens recomputed after entry deaths"

    def run(self, seeds):
        rows = [_row(case, seed) for case in CASES for seed in seeds]
        columns = (
            "adopter",
            "interval s",
            "deaths told by membership",
            "seed",
            "requests",
            "wrong or lost",
            "entry deaths",
            "writes a second, all entries",
            "tokens recomputed",
            "per death",
            "mean stall of an adopted stream s",
        )
        return (Table("Durable requests under entry deaths", columns, tuple(rows)),)


def run_durable(case: Case, seed: int) -> tuple[DurableWorld, float]:
    """Runs one case; returns its world and how many seconds it took."""

    async def main():
        world = DurableWorld(case, seed)
        return world, await world.run()

    return run_virtual(main())


def _row(case, seed):
    world, took = run_durable(case, seed)
    needed = REQUESTS * TOKENS
    recomputed = world.generated - needed
    deaths = len(world.died)
    stalls = [stall.total_seconds() for stall in world.stalls]
    return (
        "goes on" if case.resumes else "starts again",
        case.interval_seconds,
        f"after {NOTICED_SECONDS:g} s" if case.told else "never",
        seed,
        REQUESTS,
        world.wrong,
        deaths,
        world.tables.server.writes_served / took,
        recomputed,
        recomputed / max(1, deaths),
        sum(stalls) / max(1, len(stalls)),
    )


def _answer(request_id):
    return tuple(f"{request_id}-{number} " for number in range(TOKENS))
