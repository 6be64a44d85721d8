"""Routing: planogram requests with long shared prefixes alongside short questions, on 6 engines.

All planogram requests of a store share its long description; all descriptions together do not fit
in one engine's cache.  Arrivals are open loop.  Tokens recomputed are the prefilled tokens beyond
those that must be computed once: each shared prefix, and the unshared part of each request.
"""

import asyncio
import random
import time

import attrs

from cicadapond.data import (
    PREFIX_BLOCK_TOKENS,
    BackendServer,
    Endpoint,
    LoadReport,
    Priority,
    ServerKind,
    prefix_block_hashes,
)
from cicadapond.document import Intent, ModelIntent, PolicyIntent
from cicadapond.experiments._engines import MODEL, POOL, VERSION, EngineBench, random_words
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.routing import RouteRequest, RouterSettings, ServerView, routers
from cicadapond.standin import EngineSettings

POLICIES = ("round-robin", "least-in-flight", "scored")
ENGINES = 6
ENTRIES = 2
STORES = 24
PREFIX_WORDS = 2000
PLANOGRAM_WORDS = 50
PLANOGRAM_TOKENS = 100
PLANOGRAMS_PER_SECOND = 10.0
QUESTION_WORDS = 30
QUESTION_TOKENS = 40
QUESTIONS_PER_SECOND = 15.0
CACHE_BLOCKS = 1500
LOAD_SECONDS = 60.0
DECISIONS = 500
FLEET_SIZES = (6, 60, 600)


@attrs.frozen
class RoutingReport:
    """The results of one run."""

    completed: int
    requests: int
    recomputed: int
    question_first_token_seconds: float
    planogram_first_token_seconds: float
    tokens_per_second: float


def run_routing(
    seed: int, policy: str, load_seconds: float = LOAD_SECONDS, rate: float = 1.0
) -> RoutingReport:
    """Runs the load once.

    Args:
      seed: Seed of texts, arrivals and all decisions.
      policy: The routing policy.
      load_seconds: Seconds during which requests arrive.
      rate: Factor applied to both arrival rates.
    """
    return run_virtual(_run(seed, policy, load_seconds, rate))


async def _run(seed, policy, load_seconds, rate):
    intent = Intent(
        models={MODEL: ModelIntent(POOL, VERSION)}, policies=PolicyIntent(routing=policy)
    )
    engine = EngineSettings(cache_blocks=CACHE_BLOCKS, model=MODEL, version=VERSION)
    bench = EngineBench(ENGINES, ENTRIES, seed, intent, engine)
    rng = random.Random(seed)
    prefixes = [random_words(rng, PREFIX_WORDS) for _ in range(STORES)]
    used_stores = set()

    def planogram():
        store = rng.randrange(STORES)
        used_stores.add(store)
        prompt = f"{prefixes[store]} {random_words(rng, PLANOGRAM_WORDS)}"
        return bench.ask(
            rng.randrange(ENTRIES), prompt, PLANOGRAM_TOKENS, priority=Priority.STANDARD
        )

    def question():
        prompt = random_words(rng, QUESTION_WORDS)
        return bench.ask(
            rng.randrange(ENTRIES), prompt, QUESTION_TOKENS, priority=Priority.INTERACTIVE
        )

    planograms, questions = await asyncio.gather(
        _run_arrivals(bench, rng, PLANOGRAMS_PER_SECOND * rate, load_seconds, planogram),
        _run_arrivals(bench, rng, QUESTIONS_PER_SECOND * rate, load_seconds, question),
    )
    results = [*planograms, *questions]
    required_tokens = len(used_stores) * (PREFIX_WORDS // PREFIX_BLOCK_TOKENS * PREFIX_BLOCK_TOKENS)
    required_tokens += len(planograms) * (PREFIX_WORDS % PREFIX_BLOCK_TOKENS + PLANOGRAM_WORDS)
    required_tokens += len(questions) * QUESTION_WORDS
    report = RoutingReport(
        completed=sum(result.complete for result in results),
        requests=len(results),
        recomputed=bench.counter_total("prefilled") - required_tokens,
        question_first_token_seconds=_p95_first_token_seconds(questions),
        planogram_first_token_seconds=_p95_first_token_seconds(planograms),
        tokens_per_second=bench.counter_total("decoded") / bench.clock.monotonic().total_seconds(),
    )
    await bench.close()
    return report


async def _run_arrivals(bench, rng, per_second, load_seconds, ask):
    """Starts requests at random intervals without waiting for answers; returns all results."""
    tasks = []
    while bench.clock.monotonic() < seconds(load_seconds):
        tasks.append(asyncio.ensure_future(ask()))
        await bench.clock.sleep(seconds(rng.expovariate(per_second)))
    return await asyncio.gather(*tasks)


def _p95_first_token_seconds(results):
    values = sorted(result.first_token.total_seconds() for result in results)
    return values[int(0.95 * (len(values) - 1))]


# Decision time


def decision_microseconds(engines: int, seed: int) -> tuple[float, float, float]:
    """Measures decisions with a learned prefix map on this machine.

    Returns:
      Microseconds to hash a prompt, to choose an engine, and to record the choice.
    """
    rng = random.Random(seed)
    router = routers.create("scored", RouterSettings(), rng)
    views = [_view(f"e{number}", rng) for number in range(engines)]
    prompts = [random_words(rng, PREFIX_WORDS) for _ in range(STORES)]
    spent_seconds = [0.0, 0.0, 0.0]
    for number in range(DECISIONS):
        prompt = f"{prompts[number % STORES]} {random_words(rng, PLANOGRAM_WORDS)}"
        now = seconds(100 + number / 100)
        timestamps = [time.perf_counter()]
        req = RouteRequest(prefix_block_hashes(prompt), PREFIX_WORDS + PLANOGRAM_WORDS)
        timestamps.append(time.perf_counter())
        view = router.choose(req, views, now)
        timestamps.append(time.perf_counter())
        router.routed(req, view.server.name, now)
        timestamps.append(time.perf_counter())
        for step in range(3):
            spent_seconds[step] += timestamps[step + 1] - timestamps[step]
    return tuple(1e6 * total / DECISIONS for total in spent_seconds)


def _view(name, rng):
    server = BackendServer(name, ServerKind.ENGINE, POOL, "yqr", Endpoint("127.0.0.1", 1))
    report = LoadReport(name, running=rng.randrange(32), waiting=0, slots=32)
    return ServerView(server, own_in_flight=rng.randrange(3), report=report, report_at=seconds(99))


@experiments.register("routing")
class RoutingExperiment(Experiment):
    """Compares the scored policy with round robin and least in flight, and times decisions."""

    summary = "planograms with shared prefixes alongside short questions on 6 engines"

    def run(self, seeds):
        return (self._policies(seeds), self._decisions(seeds))

    def _policies(self, seeds):
        rows = []
        for seed in seeds:
            for policy in POLICIES:
                rows.append((seed, policy, *attrs.astuple(run_routing(seed, policy))))
        columns = (
            "seed",
            "policy",
            "whole",
            "requests",
            "prefix tokens recomputed",
            "p95 first token of questions s",
            "p95 first token of planograms s",
            "tokens a second",
        )
        return Table("Routing: policies under the same arrivals", columns, tuple(rows))

    def _decisions(self, seeds):
        rows = [
            (engines, *decision_microseconds(engines, seed))
            for engines in FLEET_SIZES
            for seed in seeds
        ]
        columns = ("engines", "hash the prompt us", "choose us", "note the choice us")
        return Table("Routing: the time of one decision", columns, tuple(rows))
