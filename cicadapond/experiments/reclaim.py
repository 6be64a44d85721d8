"""Reclaim of a zone: all of its engines get notice at the same time, with 200 streams on them.

Each policy runs the same streams.  Tokens recomputed are the tokens that all engines computed,
prefilled and generated, beyond those of an undisturbed run with the same seed.  The gaps between
tokens of streams on the surviving engines show how much moving slows them down.
"""

import asyncio
import random

import attrs

from cicadapond.data import Priority
from cicadapond.document import Intent, ModelIntent, PolicyIntent
from cicadapond.experiments._engines import MODEL, POOL, VERSION, EngineBench, random_words
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.standin import EngineSettings, EngineTiming

POLICIES = ("restart", "replay", "export")
NOTICES_SECONDS = (30.0, 5.0)
NOTICE_TIME = seconds(20)
ENTRIES = 3
QUANTILE_95 = 0.95


@attrs.frozen
class ReclaimSize:
    """The size of one run; prompt and answer lengths are drawn uniformly from their ranges."""

    leaving: int = 4
    surviving: int = 8
    streams: int = 200
    background_streams: int = 40
    prompt_words: tuple[int, int] = (600, 2500)
    answer_tokens: tuple[int, int] = (800, 1100)


@attrs.frozen
class ReclaimReport:
    """The results of one run."""

    streams: int
    completed: int
    computed_tokens: int
    p95_gap_seconds: float
    longest_gap_seconds: float
    duration_seconds: float


def run_reclaim(
    seed: int,
    policy: str | None,
    notice_seconds: float = 30.0,
    size: ReclaimSize | None = None,
) -> ReclaimReport:
    """Runs the streams once.

    Args:
      seed: Seed of prompts, lengths and all decisions.
      policy: The moving policy; None leaves the engines undisturbed.
      notice_seconds: Time from the notice to the reclaim.
      size: Size of the run.
    """
    return run_virtual(_run(seed, policy, notice_seconds, size or ReclaimSize()))


async def _run(seed, policy, notice_seconds, size):
    intent = Intent(
        models={MODEL: ModelIntent(POOL, VERSION)},
        policies=PolicyIntent(moving=policy or "export"),
    )
    bench = EngineBench(
        size.leaving + size.surviving,
        ENTRIES,
        seed,
        intent,
        engine=EngineSettings(slots=64, model=MODEL, version=VERSION),
        timing=EngineTiming(decode_step_seconds=0.04),
    )
    leaving = [f"e{number}" for number in range(size.leaving)]
    streams = await _start_streams(bench, seed, size.streams, size, leaving)
    others = [name for name in bench.models if name not in leaving]
    background_streams = await _start_streams(
        bench, seed + 1, size.background_streams, size, others
    )
    await bench.clock.sleep(NOTICE_TIME)
    if policy is not None:
        bench.notice(leaving, seconds(notice_seconds))
    results = await asyncio.gather(*streams)
    background_results = await asyncio.gather(*background_streams)
    gaps = sorted(
        gap for result in background_results for at, gap in result.gaps if at > NOTICE_TIME
    )
    report = ReclaimReport(
        streams=len(results) + len(background_results),
        completed=sum(result.complete for result in [*results, *background_results]),
        computed_tokens=bench.computed_tokens(),
        p95_gap_seconds=gaps[int(QUANTILE_95 * (len(gaps) - 1))],
        longest_gap_seconds=gaps[-1],
        duration_seconds=max(result.duration.total_seconds() for result in results),
    )
    await bench.close()
    return report


async def _start_streams(bench, seed, count, size, engine_names):
    """Starts streams on the given engines only."""
    rng = random.Random(seed)
    for entry in bench.entries:
        entry.fleet.restrict_to(engine_names)
    tasks = [
        asyncio.ensure_future(
            bench.ask(
                number % len(bench.entries),
                random_words(rng, rng.randint(*size.prompt_words)),
                rng.randint(*size.answer_tokens),
                priority=Priority.STANDARD,
            )
        )
        for number in range(count)
    ]
    await bench.clock.sleep(seconds(0.01))
    for entry in bench.entries:
        entry.fleet.restrict_to(None)
    return tasks


@experiments.register("reclaim")
class ReclaimExperiment(Experiment):
    """Compares export, replay and restart, with a long and a short notice."""

    summary = "all engines of a zone get notice at the same time, with 200 streams on them"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            baseline = run_reclaim(seed, None)
            rows.append((seed, "none", "undisturbed", *_cells(baseline, baseline), ""))
            for notice in NOTICES_SECONDS:
                rows.extend(self._compare(seed, notice, baseline))
        columns = (
            "seed",
            "notice s",
            "policy",
            "streams",
            "whole",
            "tokens recomputed",
            "p95 gap of survivors s",
            "longest gap of survivors s",
            "all done after s",
            "times more than export",
        )
        return (Table("Reclaim: tokens recomputed by moving policy", columns, tuple(rows)),)

    def _compare(self, seed, notice, baseline):
        reports = {policy: run_reclaim(seed, policy, notice) for policy in POLICIES}
        export_recomputed = max(1, reports["export"].computed_tokens - baseline.computed_tokens)
        for policy, report in reports.items():
            ratio = (report.computed_tokens - baseline.computed_tokens) / export_recomputed
            yield (seed, notice, policy, *_cells(report, baseline), ratio)


def _cells(report, baseline):
    return (
        report.streams,
        report.completed,
        report.computed_tokens - baseline.computed_tokens,
        report.p95_gap_seconds,
        report.longest_gap_seconds,
        report.duration_seconds,
    )
