"""Journal writes, and tokens recomputed after entry deaths, by checkpoint interval.

Runs the real `DurableRequests` of several entries in virtual time, with a fixed token rate.
Baseline: an adopter that restarts the answer from the first token.
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
MEAN_DEATH_INTERVAL_SECONDS = 6.0
TOKENS_PER_BATCH = 5
DEATH_DETECTION_SECONDS = 3.0  # delay until membership reports a death
RESTART_SECONDS = 2.0
POLL_SECONDS = 1.0
ACCOUNT = "co-op"
INTERVALS_SECONDS = (0.5, 1.0, 2.0, 5.0, 10.0)


@attrs.frozen
class Case:
    """One configuration: checkpoint interval, resume or restart, membership reports of deaths."""

    interval_seconds: float
    resumes: bool = True
    deaths_reported: bool = True


CASES = (
    Case(1.0, resumes=False),
    *map(Case, INTERVALS_SECONDS),
    *(Case(interval, deaths_reported=False) for interval in INTERVALS_SECONDS),
)


class _DeathNotices(Peers):
    """Membership that reports each death after a delay, and nothing else."""

    def __init__(self, world):
        self._world = world

    def members(self):
        detected_before = self._world.clock.monotonic() - seconds(DEATH_DETECTION_SECONDS)
        return tuple(
            Member(name, "", "entry", 0, MemberState.DEAD, died_at, 0, Digest())
            for name, died_at in self._world.death_times.items()
            if self._world.case.deaths_reported and died_at <= detected_before
        )

    def publish(self, digest):
        return None

    def subscribe(self, listener):
        return None

    def last_heard_from_zone(self, zone):
        return None


class DurableWorld:
    """The store and the entries of one run.

    Args:
      case: The configuration.
      seed: Seed of all random choices.
    """

    def __init__(self, case: Case, seed: int):
        self.clock = VirtualClock()
        self.tables = TableModel(self.clock, random.Random(seed))
        self.generated_tokens = 0
        self.wrong_answers = 0
        self.stalls = []
        self._objects = ObjectModel(self.clock, random.Random(seed + 1))
        self.case = case
        self.death_times = {}
        self._rng = random.Random(seed + 2)
        self._seed = seed * 1000
        self._last_token_times = {}
        self._entries = [self._new_entry() for _ in range(ENTRIES)]

    async def run(self) -> float:
        """Runs all requests to completion under entry deaths; returns the seconds taken."""
        start = self.clock.monotonic()
        for number in range(REQUESTS):
            req = Completion(f"r{number}", ACCOUNT, "shade-model", "planogram", TOKENS)
            req = attrs.evolve(req, priority=Priority.BATCH)
            await self._accept(req)
        deaths = asyncio.ensure_future(self._run_deaths())
        for number in range(REQUESTS):
            await self._wait_for_end(f"r{number}")
        deaths.cancel()
        return (self.clock.monotonic() - start).total_seconds()

    async def _accept(self, req):
        while not isinstance(await self._rng.choice(self._entries).accept(req), Ok):
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_for_end(self, request_id):
        while True:
            result = await self._entries[0].lookup(request_id, ACCOUNT)
            if isinstance(result, Ok) and result.value.state is RequestState.DONE:
                self.wrong_answers += result.value.tokens != _expected_texts(request_id)
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _run_deaths(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_DEATH_INTERVAL_SECONDS))
            index = self._rng.randrange(ENTRIES)
            await self._entries[index].close()
            self.death_times[self._entries[index].name] = self.clock.monotonic()
            await asyncio.sleep(RESTART_SECONDS)
            self._entries[index] = self._new_entry()

    async def _generate(self, req, sink, resume, version):
        texts = _expected_texts(req.request_id)
        if req.request_id in self._last_token_times:
            self.stalls.append(self.clock.monotonic() - self._last_token_times[req.request_id])
        start = len(resume) if self.case.resumes else 0
        while start < TOKENS:
            end = min(start + TOKENS_PER_BATCH, TOKENS)
            await asyncio.sleep((end - start) * TOKEN_SECONDS)
            self.generated_tokens += end - start
            self._last_token_times[req.request_id] = self.clock.monotonic()
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
        budget.set_process_count(ENTRIES)
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
    """Measures journal writes against the tokens recomputed per death."""

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
    """Runs one case; returns its world and the seconds taken."""

    async def main():
        world = DurableWorld(case, seed)
        return world, await world.run()

    return run_virtual(main())


def _row(case, seed):
    world, elapsed_seconds = run_durable(case, seed)
    required_tokens = REQUESTS * TOKENS
    recomputed = world.generated_tokens - required_tokens
    deaths = len(world.death_times)
    stalls = [stall.total_seconds() for stall in world.stalls]
    return (
        "goes on" if case.resumes else "starts again",
        case.interval_seconds,
        f"after {DEATH_DETECTION_SECONDS:g} s" if case.deaths_reported else "never",
        seed,
        REQUESTS,
        world.wrong_answers,
        deaths,
        world.tables.server.writes_served / elapsed_seconds,
        recomputed,
        recomputed / max(1, deaths),
        sum(stalls) / max(1, len(stalls)),
    )


def _expected_texts(request_id):
    return tuple(f"{request_id}-{number} " for number in range(TOKENS))
