"""Runs a scenario: starts the system, applies load and faults, checks the results."""

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

SETTLE_TIMEOUT = datetime.timedelta(minutes=5)
SETTLE_POLL_INTERVAL = datetime.timedelta(seconds=1)


@attrs.frozen
class RunResult:
    """The result of a run: its findings, the figures that the scenario names, and the record."""

    seed: int
    findings: Findings
    figures: dict[str, Figure]
    record: Record


def check_script(script: Script, findings: Findings) -> None:
    """Checks that a scenario's verbs, kinds of call and options exist.

    Args:
      script: The scenario.
      findings: Receives the errors found.
    """
    for line in script.loads:
        if line.kind not in call_kinds.names():
            known = ", ".join(call_kinds.names())
            findings.add(line.place, f"unknown kind of call {line.kind!r}; known: {known}")
    for line in script.faults:
        _check_fault(line, findings)


def _check_fault(line, findings):
    if line.verb not in verbs.names():
        findings.add(line.place, f"unknown verb {line.verb!r}; known: {', '.join(verbs.names())}")
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
        findings.add(line.place, f"{line.verb} needs a duration, for example: for 10s")


def run_script(script: Script, seed: int | None = None) -> RunResult:
    """Runs a scenario on virtual time.

    Args:
      script: The scenario, already checked by `check_script`.
      seed: Replaces the scenario's own seed.

    Returns:
      The result; the same for the same scenario and seed.
    """
    run_seed = script.seed if seed is None else seed
    return run_virtual(_run(script, run_seed))


async def _run(script, seed):
    world = World(script, seed)
    await world.start()
    started_at = world.clock.monotonic()
    tasks = [
        asyncio.ensure_future(world.callers.run(_shift_start(line, started_at)))
        for line in script.loads
    ]
    tasks += [asyncio.ensure_future(_run_fault(world, line, started_at)) for line in script.faults]
    await world.clock.sleep(script.length)
    await asyncio.gather(*tasks)
    await _wait_for_callers(world)
    await world.record_document()
    world.backends.record_versions()
    findings = check_invariants(world.record)
    for process in world.processes.values():
        for failure in process.failed_tasks():
            findings.add(Place(process.name), f"a task failed: {failure}")
    figures = check_expectations(script.expects, world.record, findings)
    await world.close()
    return RunResult(seed, findings, figures, world.record)


async def _wait_for_callers(world):
    """Waits up to SETTLE_TIMEOUT for callers whose requests are still pending."""
    deadline = world.clock.monotonic() + SETTLE_TIMEOUT
    while world.callers.pending and world.clock.monotonic() < deadline:
        await world.clock.sleep(SETTLE_POLL_INTERVAL)


async def _run_fault(world, line, started_at):
    verb = verbs.create(line.verb)
    await world.clock.sleep(started_at + line.at - world.clock.monotonic())
    description = " ".join([line.verb, *(str(option.value) for option in line.arguments)])
    world.record.add(Fault(world.clock.monotonic(), f"{description} begins"))
    await verb.begin(world, line)
    if line.length is None:
        return
    await world.clock.sleep(line.length)
    world.record.add(Fault(world.clock.monotonic(), f"{description} ends"))
    await verb.end(world, line)


def _shift_start(line, offset):
    return attrs.evolve(line, start=offset + line.start)
