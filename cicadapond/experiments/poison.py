"""One poison prompt, which crashes engines, resent without end among 100 good streams.

Three entries share their quarantines once a second; the caller of the poison prompt moves to the
next entry after each final answer.  The baseline suspects no request and retries all of them.
"""

import asyncio
import random

import attrs

from cicadapond.data import Priority
from cicadapond.experiments._engines import EngineBench, random_words
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.quarantine import Quarantine
from cicadapond.standin import EngineSettings

ENGINES = 6
ENTRIES = 3
GOOD_STREAMS = 100
POISON = "poison"
FIRST_POISON_DELAY = seconds(2)
RESEND_INTERVAL = seconds(0.1)
LONGEST_RUN_SECONDS = 300.0
GOOD_DEADLINE = seconds(LONGEST_RUN_SECONDS)


class DisabledQuarantine(Quarantine):
    """Baseline: crashes do not make requests suspect."""

    def crashed(self, ticket):
        self.ended(ticket)


@attrs.frozen
class PoisonReport:
    """The results of one run."""

    crashes: int
    good_streams: int
    completed: int
    quarantined: int
    poison_answers: int
    duration_seconds: float
    longest_stream_seconds: float


def run_poison(seed: int, quarantine_enabled: bool = True, entries: int = ENTRIES) -> PoisonReport:
    """Runs the good streams alongside the poison prompt once.

    Args:
      seed: Seed of prompts, lengths and all decisions.
      quarantine_enabled: Whether crashes make requests suspect.
      entries: Number of entries that the callers use.
    """
    return run_virtual(_run(seed, quarantine_enabled, entries))


async def _run(seed, quarantine_enabled, entries):
    bench = EngineBench(ENGINES, entries, seed, engine=EngineSettings(restart_duration=seconds(5)))
    for model in bench.models.values():
        model.faults.poison = POISON
    if not quarantine_enabled:
        for entry in bench.entries:
            entry.parts.quarantine = DisabledQuarantine(bench.clock)
    rng = random.Random(seed)
    good_streams = asyncio.gather(
        *(_run_good_stream(bench, number, rng) for number in range(GOOD_STREAMS))
    )
    answers = []
    resending = asyncio.ensure_future(_resend_poison(bench, answers))
    results = await good_streams
    ended = bench.clock.monotonic()
    await bench.clock.sleep(seconds(30))
    resending.cancel()
    await asyncio.gather(resending, return_exceptions=True)
    await asyncio.sleep(0)
    report = PoisonReport(
        crashes=bench.counter_total("crashes"),
        good_streams=len(results),
        completed=sum(result.complete for result in results),
        quarantined=len(
            {body for entry in bench.entries for body in entry.parts.quarantine.quarantined()}
        ),
        poison_answers=len(answers),
        duration_seconds=ended.total_seconds(),
        longest_stream_seconds=max(result.duration.total_seconds() for result in results),
    )
    await bench.close()
    return report


async def _run_good_stream(bench, number, rng):
    prompt = random_words(rng, rng.randint(20, 400))
    tokens, start = rng.randint(50, 400), rng.uniform(0, 6)
    await bench.clock.sleep(seconds(start))
    entry = number % len(bench.entries)
    deadline = bench.clock.monotonic() + GOOD_DEADLINE
    priority = rng.choice(tuple(Priority))
    return await bench.ask(entry, prompt, tokens, deadline=deadline, priority=priority)


async def _resend_poison(bench, answers):
    await bench.clock.sleep(FIRST_POISON_DELAY)
    while True:
        entry = len(answers) % len(bench.entries)
        result = await bench.ask(entry, f"a {POISON} prompt", 50)
        answers.append(result.outcome)
        await bench.clock.sleep(RESEND_INTERVAL)


@experiments.register("poison")
class PoisonExperiment(Experiment):
    """Compares the quarantine with retrying every request."""

    summary = "a poison prompt resent without end among 100 good streams"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            for name, quarantine_enabled, entries in (
                ("retry", False, ENTRIES),
                ("quarantine", True, 1),
                ("quarantine", True, ENTRIES),
            ):
                report = run_poison(seed, quarantine_enabled, entries)
                rows.append((seed, name, entries, *attrs.astuple(report)))
        columns = (
            "seed",
            "policy",
            "entries",
            "crashes",
            "good streams",
            "whole",
            "convicted",
            "answers to the poison prompt",
            "good streams done after s",
            "longest good stream s",
        )
        return (Table("Poison: crashes and good streams", columns, tuple(rows)),)
