"""Figures computed from a run, for expectations such as `expect first-token.question.p95 < 320ms`.

A dotted name consists of a registered figure and its arguments, such as the kind of call and the
quantile or outcome.
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
      findings: Receives a finding, at the expectation's place, for each one that is not met.

    Returns:
      The figures by name.
    """
    values = {}
    for line in expects:
        value = compute_figure(line, record, findings)
        values[line.figure] = value
        if line.comparison is None or value is None:
            continue
        if not _meets_bound(value, line):
            findings.add(
                line.place, f"{line.figure} is {value}, not {line.comparison} {line.bound}"
            )
    return values


def compute_figure(line: ExpectLine, record: Record, findings: Findings) -> Figure:
    """Returns one figure; None with a finding if it does not exist or has no data."""
    name, *parts = line.figure.split(".")
    if name not in figures.names():
        findings.add(line.place, f"unknown figure {name!r}; known: {', '.join(figures.names())}")
        return None
    value = figures.create(name, record, *parts)
    if value is None:
        findings.add(line.place, f"{line.figure}: the run has no data for this figure")
    return value


def _meets_bound(value, line):
    if isinstance(value, datetime.timedelta) != isinstance(line.bound, datetime.timedelta):
        return False
    return _COMPARISONS[line.comparison](value, line.bound)


@figures.register("first-token")
def first_token(record: Record, kind: str, quantile: str) -> Figure:
    """The time to first token of complete answers, at a quantile such as p95."""
    latencies = sorted(
        answered.first
        for answered in record.of_type(Answered)
        if answered.kind == kind and answered.outcome == "ok" and answered.first is not None
    )
    if not latencies:
        return None
    return latencies[min(len(latencies) - 1, int(len(latencies) * float(quantile[1:]) / 100))]


@figures.register("share")
def share(record: Record, kind: str, outcome: str) -> Figure:
    """The share of a kind's answers that have an outcome; each resend counts as a request."""
    answered = [answer for answer in record.of_type(Answered) if answer.kind == kind]
    if not answered:
        return None
    return sum(answer.outcome == outcome for answer in answered) / len(answered)


@figures.register("settled")
def settled(record: Record, kind: str) -> Figure:
    """The share of a kind's callers whose last attempt succeeded ("ok")."""
    last = {}
    for answered in record.of_type(Answered):
        if answered.kind == kind:
            last[answered.request.rsplit("-", 1)[0]] = answered.outcome
    if not last:
        return None
    return sum(outcome == "ok" for outcome in last.values()) / len(last)


@figures.register("sent")
def sent(record: Record, kind: str) -> Figure:
    """The number of requests of a kind that were sent."""
    return float(sum(request.kind == kind for request in record.of_type(Sent)))


@figures.register("crashes")
def crashes(record: Record) -> Figure:
    """The number of crashes of engines."""
    return float(len(record.of_type(Crashed)))


@figures.register("ran")
def ran(record: Record) -> Figure:
    """The number of executions of non-idempotent calls."""
    return float(len(record.of_type(Ran)))


@figures.register("accepted")
def accepted(record: Record) -> Figure:
    """The number of durable requests that were accepted."""
    return float(len(record.of_type(Accepted)))


@figures.register("edits")
def edits(record: Record) -> Figure:
    """The number of accepted edits of the document."""
    return float(len(record.of_type(Edited)))


@figures.register("running")
def running(record: Record, version: str) -> Figure:
    """The share of the engines up at the end of the run that run a model version."""
    versions = [engine.version for engine in record.of_type(FinalEngine)]
    if not versions:
        return None
    return sum(running_version == version for running_version in versions) / len(versions)


@figures.register("orders")
def orders(record: Record) -> Figure:
    """The number of orders that engines accepted."""
    return float(len(record.of_type(Ordered)))


@figures.register("in-force")
def in_force(record: Record) -> Figure:
    """The longest time from the acceptance of an edit until a process had it in force.

    Only processes count that were ready when the edit was accepted and that were not killed,
    stopped or paused before they had it in force.
    """
    waits = [
        _time_to_in_force(record, edited, began)
        for edited in record.of_type(Edited)
        for began in record.of_type(Began)
        if began.at <= edited.at
    ]
    measured = [wait for wait in waits if wait is not None]
    return max(measured) if measured else None


def _time_to_in_force(record, edited, began):
    """Returns how long a process took to put an edit into force, or None if it ended before that.

    Returns `timedelta.max` if the process neither ended nor put the edit into force.
    """
    life = (began.process, began.life)
    in_force_times = [
        observation.at
        for observation in record.of_type(InForce)
        if (observation.process, observation.life) == life
        and observation.revision >= edited.revision
    ]
    end_times = [
        observation.at
        for observation in record.of_type(Ended)
        if (observation.process, observation.life) == life
    ]
    if end_times and (not in_force_times or min(end_times) < min(in_force_times)):
        return None
    if not in_force_times:
        return datetime.timedelta.max
    return max(datetime.timedelta(), min(in_force_times) - edited.at)
