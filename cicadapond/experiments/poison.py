"""One poison prompt sent again for ever among 100 good streams.

Three entries share their quarantines once a second; the caller of the poison prompt goes on to the
next entry with each final answer.  The baseline accuses nobody and runs every request again.
"""

import asyncio
import random

import attrs

from cicadapond.data import Priority
from cicadapond.experiments._engines import EngineBench, words
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import run_virtual, seconds
from cicadapond.quarantine import Quarantine
from cicadapond.standin import EngineSettings

ENGINES = 6
ENTRIES = 3
GOOD_STREAMS = 100
POISON = "poison"
FIRST_POISON = seconds(2)
BETWEEN_RESENDS = seconds(0.1)
LONGEST_RUN_SECONDS = 300.0
GOOD_DEADLINE = seconds(LONGEST_RUN_SECONDS)


class OpenQuarantine(Quarantine):
    """Baseline: no crash makes a suspect."""

    def crashed(self, ticket):
        self.ended(ticket)


@attrs.frozen
class PoisonReport:
    """What came of one run."""

    crashes: int
    good: int
    whole: int
    convicted: int
    poison_answers: int
    duration_seconds: float
    extra_after_seconds: float


def run_poison(seed: int, guarded: bool = True, entries: int = ENTRIES) -> PoisonReport:
    """Runs the good streams beside the poison prompt once.

    Args:
      seed: Seeds prompts, lengths and all decisions.
      guarded: Whether crashes make suspects.
      entries: How many entries the callers use.
    """
    return run_virtual(_run(seed, guarded, entries))


async def _run(seed, guarded, entries):
    bench = EngineBench(ENGINES, entries, seed, engine=EngineSettings(restart_duration=seconds(5)))
    for model in bench.models.values():
        model.faults.poison = POISON
    if not guarded:
        for entry in bench.entries:
            entry.parts.quarantine = OpenQuarantine(bench.clock)
    rng = random.Random(seed)
    good = asyncio.gather(*(_good(bench, number, rng) for number in range(GOOD_STREAMS)))
    answers = []
    resending = asyncio.ensure_future(_resend(bench, answers))
    asked = await good
    ended = bench.clock.monotonic()
    await bench.clock.sleep(seconds(30))
    resending.cancel()
    await asyncio.gather(resending, return_exceptions=True)
    await asyncio.sleep(0)
    report = PoisonReport(
        crashes=bench.total("crashes"),
        good=len(asked),
        whole=sum(found.whole for found in asked),
        convicted=len(
            {body for entry in bench.entries for body in entry.parts.quarantine.convicted()}
        ),
        poison_answers=len(answers),
        duration_seconds=ended.total_seconds(),
        extra_after_seconds=max(found.duration.total_seconds() for found in asked),
    )
    await bench.close()
    return report


async def _good(bench, number, rng):
    prompt = words(rng, rng.randint(20, 400))
    tokens, start = rng.randint(50, 400), rng.uniform(0, 6)
    await bench.clock.sleep(seconds(start))
    entry = number % len(bench.entries)
    deadline = bench.clock.monotonic() + GOOD_DEADLINE
    priority = rng.choice(tuple(Priority))
    return await bench.ask(entry, prompt, tokens, deadline=deadline, priority=priority)


async def _resend(bench, answers):
    await bench.clock.sleep(FIRST_POISON)
    while True:
        entry = len(answers) % len(bench.entries)
        asked = await bench.ask(entry, f"a {POISON} prompt", 50)
        answers.append(asked.outcome)
        await bench.clock.sleep(BETWEEN_RESENDS)


@experiments.register("poison")
class PoisonExperiment(Experiment):
    """The quarantine against running every request again."""

    summary = "a poison prompt sent again for ever among 100 good streams"

    def run(self, seeds):
        rows = []
        for seed in seeds:
            for name, guarded, entries in (
                ("retry", False, ENTRIES),
                ("quarantine", True, 1),
                ("quarantine", True, ENTRIES),
            ):
                report = run_poison(seed, guarded, entries)
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
