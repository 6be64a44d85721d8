"""Runs a scenario: starts its world, drives load and faults, checks what must hold."""

import asyncio
import datetime

import attrs

from cicadapond.kernel import Findings, Place, run_virtual
from cicadapond.scenario._callers import call_kinds
from cicadapond.scenario._faults import verbs
from cicadapond.scenario._figures import Figure, check_expectations
from cicadapond.scenario._invariants import check_invariants
from cicadapond.scenario._observation import Fault, Record
from cicadapond.scenario._script import Script
from cicadapond.scenario._world import World

SETTLE_LIMIT = datetime.timedelta(minutes=5)
SETTLE_POLL = datetime.timedelta(seconds=1)


@attrs.frozen
class Verdict:
    """What a run came to: findings, the figures that the scenario names, and the record."""

    seed: int
    findings: Findings
    figures: dict[str, Figure]
    record: Record


def check_script(script: Script, findings: Findings) -> None:
    """Checks that a scenario's verbs, kinds and options exist.

    Args:
      script: The scenario.
      findings: Takes what does not hold.
    """
    for line in script.loads:
        if line.kind not in call_kinds.names():
            known = ", ".join(call_kinds.names())
            findings.add(line.place, f"no kind of call {line.kind!r}; there are {known}")
    for line in script.faults:
        _check_fault(line, findings)


def _check_fault(line, findings):
    if line.verb not in verbs.names():
        findings.add(line.place, f"no verb {line.verb!r}; there are {', '.join(verbs.names())}")
        return
    verb = verbs.create(line.verb)
    if len(line.names()) != verb.positional:
        message = f"{line.verb} takes {verb.positional} names, got {len(line.names())}"
        findings.add(line.place, message)
    for option in line.arguments:
        if option.key and option.key not in verb.options:
            known = ", ".join(verb.options) or "none"
            message = f"{line.verb} has no option {option.key!r}; known: {known}"
            findings.add(option.place, message)
    if verb.needs_length and line.length is None:
        findings.add(line.place, f"{line.verb} needs a time: for 10s")


def run_script(script: Script, seed: int | None = None) -> Verdict:
    """Runs a scenario on virtual time.

    Args:
      script: The scenario, checked.
      seed: Replaces the scenario's own seed.

    Returns:
      The verdict; the same for the same scenario and seed.
    """
    used = script.seed if seed is None else seed
    return run_virtual(_run(script, used))


async def _run(script, seed):
    world = World(script, seed)
    await world.start()
    begun = world.clock.monotonic()
    driving = [
        asyncio.ensure_future(world.callers.run(_later(line, begun))) for line in script.loads
    ]
    driving += [asyncio.ensure_future(_drive(world, line, begun)) for line in script.faults]
    await world.clock.sleep(script.length)
    await asyncio.gather(*driving)
    await _settle(world)
    await world.read_document()
    world.backends.note_versions()
    findings = check_invariants(world.record)
    for process in world.processes.values():
        for failure in process.failed_tasks():
            findings.add(Place(process.name), f"a task failed: {failure}")
    figures = check_expectations(script.expects, world.record, findings)
    await world.close()
    return Verdict(seed, findings, figures, world.record)


async def _settle(world):
    """Waits for callers that still wait, for a bounded time."""
    end = world.clock.monotonic() + SETTLE_LIMIT
    while world.callers.pending and world.clock.monotonic() < end:
        await world.clock.sleep(SETTLE_POLL)


async def _drive(world, line, begun):
    verb = verbs.create(line.verb)
    await world.clock.sleep(begun + line.at - world.clock.monotonic())
    words = " ".join([line.verb, *(str(option.value) for option in line.arguments)])
    world.record.add(Fault(world.clock.monotonic(), f"{words} begins"))
    await verb.begin(world, line)
    if line.length is None:
        return
    await world.clock.sleep(line.length)
    world.record.add(Fault(world.clock.monotonic(), f"{words} ends"))
    await verb.end(world, line)


def _later(line, begun):
    return attrs.evolve(line, start=begun + line.start)
