"""Reclaim of a zone: its engines are noticed at once with 200 streams on them.

Each policy runs the same streams.  Tokens recomputed are the tokens that all engines computed,
prefilled and generated, beyond those of an undisturbed run with the same seed.  Streams that run
on the surviving engines meanwhile show what moving costs them: their longest gaps between tokens.
"""

import asyncio
import random

import attrs

from cicadapond.data import Priority
from cicadapond.document import Intent, ModelIntent, PolicyIntent
from cicadapond.experiments._engines import MODEL, POOL, VERSION, EngineBench, words
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.standin import EngineSettings, EngineTiming

POLICIES = ("restart", "replay", "export")
NOTICES_SECONDS = (30.0, 5.0)
NOTICE_AT = seconds(20)
ENTRIES = 3
PERCENT_95 = 0.95


@attrs.frozen
class ReclaimSize:
    """How large one run is; prompt and answer lengths are drawn evenly from their ranges."""

    leaving: int = 4
    surviving: int = 8
    streams: int = 200
    bystanders: int = 40
    prompt_words: tuple[int, int] = (600, 2500)
    answer_tokens: tuple[int, int] = (800, 1100)


@attrs.frozen
class ReclaimReport:
    """What came of one run."""

    streams: int
    whole: int
    computed: int
    gap_seconds: float
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
      seed: Seeds prompts, lengths and all decisions.
      policy: The moving policy; None leaves the engines undisturbed.
      notice_seconds: The notice's time.
      size: How large the run is.
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
    streams = await _start(bench, seed, size.streams, size, leaving)
    others = [name for name in bench.models if name not in leaving]
    bystanders = await _start(bench, seed + 1, size.bystanders, size, others)
    await bench.clock.sleep(NOTICE_AT)
    if policy is not None:
        bench.notice(leaving, seconds(notice_seconds))
    asked = await asyncio.gather(*streams)
    beside = await asyncio.gather(*bystanders)
    gaps = sorted(gap for found in beside for at, gap in found.gaps if at > NOTICE_AT)
    report = ReclaimReport(
        streams=len(asked) + len(beside),
        whole=sum(found.whole for found in [*asked, *beside]),
        computed=bench.computed_tokens(),
        gap_seconds=gaps[int(PERCENT_95 * (len(gaps) - 1))],
        longest_gap_seconds=gaps[-1],
        duration_seconds=max(found.duration.total_seconds() for found in asked),
    )
    await bench.close()
    return report


async def _start(bench, seed, count, size, only):
    """Starts streams that begin on some engines only."""
    rng = random.Random(seed)
    for entry in bench.entries:
        entry.fleet.limit_to(only)
    tasks = [
        asyncio.ensure_future(
            bench.ask(
                number % len(bench.entries),
                words(rng, rng.randint(*size.prompt_words)),
                rng.randint(*size.answer_tokens),
                priority=Priority.STANDARD,
            )
        )
        for number in range(count)
    ]
    await bench.clock.sleep(seconds(0.01))
    for entry in bench.entries:
        entry.fleet.limit_to(None)
    return tasks


@experiments.register("reclaim")
class ReclaimExperiment(Experiment):
    """Export against replay and restart, with notices that leave time and that do not."""

    summary = "a zone's engines noticed at once with 200 streams on them"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            base = run_reclaim(seed, None)
            rows.append((seed, "none", "undisturbed", *_figures(base, base), ""))
            for notice in NOTICES_SECONDS:
                rows.extend(self._compare(seed, notice, base))
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

    def _compare(self, seed, notice, base):
        reports = {policy: run_reclaim(seed, policy, notice) for policy in POLICIES}
        least = max(1, reports["export"].computed - base.computed)
        for policy, report in reports.items():
            times = (report.computed - base.computed) / least
            yield (seed, notice, policy, *_figures(report, base), times)


def _figures(report, base):
    return (
        report.streams,
        report.whole,
        report.computed - base.computed,
        report.gap_seconds,
        report.longest_gap_seconds,
        report.duration_seconds,
    )
