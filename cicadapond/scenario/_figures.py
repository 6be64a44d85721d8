"""Figures of a run that a scenario may bound: `expect first-token.question.p95 < 320ms`.

A figure's name is dotted: what is counted, for which kind of call, and which quantile or outcome.
"""

import datetime
import operator

from cicadapond.kernel import Findings, Registry
from cicadapond.scenario._observation import (
    Accepted,
    Answered,
    Began,
    Crashed,
    Edited,
    Ended,
    FinalEngine,
    InForce,
    Ordered,
    Ran,
    Record,
    Sent,
)
from cicadapond.scenario._script import ExpectLine

Figure = float | datetime.timedelta | None

figures: Registry = Registry("figure")

_COMPARISONS = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "=": operator.eq,
}


def check_expectations(
    expects: tuple[ExpectLine, ...], record: Record, findings: Findings
) -> dict[str, Figure]:
    """Computes every figure that a scenario names and checks its bound.

    Args:
      expects: The scenario's expectations.
      record: The run.
      findings: Takes what does not hold, at the expectation's place.

    Returns:
      The figures by name.
    """
    found = {}
    for line in expects:
        value = compute_figure(line, record, findings)
        found[line.figure] = value
        if line.comparison is None or value is None:
            continue
        if not _holds(value, line):
            findings.add(
                line.place, f"{line.figure} is {value}, not {line.comparison} {line.bound}"
            )
    return found


def compute_figure(line: ExpectLine, record: Record, findings: Findings) -> Figure:
    """Returns one figure; None with a finding if it does not exist or has no data."""
    name, *parts = line.figure.split(".")
    if name not in figures.names():
        findings.add(line.place, f"no figure {name!r}; there are {', '.join(figures.names())}")
        return None
    value = figures.create(name, record, *parts)
    if value is None:
        findings.add(line.place, f"{line.figure}: the run has no such observation")
    return value


def _holds(value, line):
    if isinstance(value, datetime.timedelta) != isinstance(line.bound, datetime.timedelta):
        return False
    return _COMPARISONS[line.comparison](value, line.bound)


@figures.register("first-token")
def first_token(record: Record, kind: str, quantile: str) -> Figure:
    """The time to the first token of whole answers, at a quantile such as p95."""
    firsts = sorted(
        found.first
        for found in record.of(Answered)
        if found.kind == kind and found.outcome == "ok" and found.first is not None
    )
    if not firsts:
        return None
    return firsts[min(len(firsts) - 1, int(len(firsts) * float(quantile[1:]) / 100))]


@figures.register("share")
def share(record: Record, kind: str, outcome: str) -> Figure:
    """The share of a kind's requests, resends counted apart, that came to an outcome."""
    answered = [found for found in record.of(Answered) if found.kind == kind]
    if not answered:
        return None
    return sum(found.outcome == outcome for found in answered) / len(answered)


@figures.register("settled")
def settled(record: Record, kind: str) -> Figure:
    """The share of a kind's callers whose last try came to an answer of its own ("ok")."""
    last = {}
    for found in record.of(Answered):
        if found.kind == kind:
            last[found.request.rsplit("-", 1)[0]] = found.outcome
    if not last:
        return None
    return sum(outcome == "ok" for outcome in last.values()) / len(last)


@figures.register("sent")
def sent(record: Record, kind: str) -> Figure:
    """How many requests of a kind were sent."""
    return float(sum(found.kind == kind for found in record.of(Sent)))


@figures.register("crashes")
def crashes(record: Record) -> Figure:
    """How often backend servers crashed."""
    return float(len(record.of(Crashed)))


@figures.register("ran")
def ran(record: Record) -> Figure:
    """How many calls that must not repeat were run."""
    return float(len(record.of(Ran)))


@figures.register("accepted")
def accepted(record: Record) -> Figure:
    """How many durable requests were accepted."""
    return float(len(record.of(Accepted)))


@figures.register("edits")
def edits(record: Record) -> Figure:
    """How many edits of the document were accepted."""
    return float(len(record.of(Edited)))


@figures.register("running")
def running(record: Record, version: str) -> Figure:
    """The share of the engines up at the end that run a model version."""
    versions = [found.version for found in record.of(FinalEngine)]
    if not versions:
        return None
    return sum(found == version for found in versions) / len(versions)


@figures.register("orders")
def orders(record: Record) -> Figure:
    """How many orders engines carried out."""
    return float(len(record.of(Ordered)))


@figures.register("in-force")
def in_force(record: Record) -> Figure:
    """The longest time from an edit's acceptance until a running process had it in force.

    Counted are the processes that were ready before the edit and were neither ended nor paused
    before they had it.
    """
    waits = [
        _force_wait(record, edited, began)
        for edited in record.of(Edited)
        for began in record.of(Began)
        if began.at <= edited.at
    ]
    known = [wait for wait in waits if wait is not None]
    return max(known) if known else None


def _force_wait(record, edited, began):
    """Returns how long one life of a process took to have an edit in force, None if it ended."""
    life = (began.process, began.life)
    reached = [
        found.at
        for found in record.of(InForce)
        if (found.process, found.life) == life and found.revision >= edited.revision
    ]
    ended = [found.at for found in record.of(Ended) if (found.process, found.life) == life]
    if ended and (not reached or min(ended) < min(reached)):
        return None
    if not reached:
        return datetime.timedelta.max
    return max(datetime.timedelta(), min(reached) - edited.at)
