"""Invariants: functions that check a run's record and add a finding for each violation.

Every scenario is checked against all of them.  A finding's place is the virtual time of the
violation, such as `t=12.345s`.
"""

import collections
import datetime
import typing

from cicadapond.kernel import Findings, Place
from cicadapond.scenario._observation import (
    Accepted,
    Answered,
    Edited,
    FinalDocument,
    InForce,
    Noticed,
    Ordered,
    Ran,
    Record,
    Sent,
    Started,
    Stopping,
)

LEAVING_REACTION_LIMIT = datetime.timedelta(seconds=3)
FORCE_LIMIT = datetime.timedelta(seconds=5)

Invariant = typing.Callable[[Record, Findings], None]


def at_most_once(record: Record, findings: Findings) -> None:
    """A non-idempotent call ran at most once for each idempotency key."""
    runs = collections.Counter()
    for ran in record.of_type(Ran):
        runs[ran.key] += 1
        if ran.key and runs[ran.key] > 1:
            findings.add(_place(ran), f"key {ran.key} ran {runs[ran.key]} times, on {ran.server}")


def answers_are_correct(record: Record, findings: Findings) -> None:
    """Every successful answer is the complete and correct answer to its request."""
    for answered in record.of_type(Answered):
        if answered.outcome == "ok" and answered.wrong:
            message = f"request {answered.request} got a wrong answer: {answered.wrong}"
            findings.add(_place(answered), message)


def not_run_requests_never_run(record: Record, findings: Findings) -> None:
    """A request answered with "not_run" was not executed, before or after the answer."""
    not_run = {
        answered.request: answered
        for answered in record.of_type(Answered)
        if answered.outcome == "not_run"
    }
    for ran in record.of_type(Ran):
        if ran.request in not_run:
            message = (
                f"request {ran.request} was answered not_run at {not_run[ran.request].at} but ran"
            )
            findings.add(_place(ran), message)


def every_caller_answered(record: Record, findings: Findings) -> None:
    """Every request that was sent has an answer, or a broken connection, by the end."""
    answered = {answer.request for answer in record.of_type(Answered)}
    for sent in record.of_type(Sent):
        if sent.request not in answered:
            findings.add(_place(sent), f"{sent.kind} request {sent.request} has no answer")


def accepted_requests_complete(record: Record, findings: Findings) -> None:
    """Every durable request that was accepted ends with its complete answer."""
    completed = {
        answered.request for answered in record.of_type(Answered) if answered.outcome == "ok"
    }
    for accepted in record.of_type(Accepted):
        if accepted.request not in completed:
            findings.add(
                _place(accepted), f"accepted request {accepted.request} has no complete answer"
            )


def leaving_servers_get_no_work(record: Record, findings: Findings) -> None:
    """No request starts on a server later than LEAVING_REACTION_LIMIT after its first notice."""
    noticed = {}
    for notice in record.of_type(Noticed):
        noticed.setdefault(notice.server, notice.at)
    for started in record.of_type(Started):
        noticed_at = noticed.get(started.server)
        if noticed_at is not None and started.at > noticed_at + LEAVING_REACTION_LIMIT:
            delay = started.at - noticed_at
            message = f"{started.server} got request {started.request} {delay} after its notice"
            findings.add(_place(started), message)


def planned_stops_break_no_request(record: Record, findings: Findings) -> None:
    """Every request in flight at the start of a planned stop is answered.

    The answer may report that a backend server failed meanwhile; a broken connection is a finding.
    """
    outcomes = {answered.request: answered.outcome for answered in record.of_type(Answered)}
    for stopping in record.of_type(Stopping):
        for request in stopping.requests:
            if outcomes.get(request, "broken") == "broken":
                message = f"request {request} was cut off by the planned stop of {stopping.process}"
                findings.add(_place(stopping), message)


def revisions_never_decrease(record: Record, findings: Findings) -> None:
    """No process returns to a lower revision of the document until it is restarted."""
    highest = {}
    for in_force in record.of_type(InForce):
        life = (in_force.process, in_force.life)
        if in_force.revision < highest.get(life, 0):
            message = (
                f"{in_force.process} went from revision {highest[life]} to {in_force.revision}"
            )
            findings.add(_place(in_force), message)
        highest[life] = max(highest.get(life, 0), in_force.revision)


def accepted_edits_are_in_order(record: Record, findings: Findings) -> None:
    """Every accepted edit has a unique revision, higher than those accepted before it started."""
    edits = record.of_type(Edited)
    for edited in edits:
        for other in edits:
            if other is edited:
                continue
            same = other.revision == edited.revision
            if same or (other.at <= edited.begun and other.revision > edited.revision):
                message = (
                    f"{edited.mark} is revision {edited.revision}, {other.mark} is {other.revision}"
                )
                findings.add(_place(edited), message)


def accepted_edits_are_kept(record: Record, findings: Findings) -> None:
    """The final document has the value that the last accepted edit of each field set."""
    last = {}
    for edited in sorted(record.of_type(Edited), key=lambda edited: edited.revision):
        last[edited.path] = edited
    for final in record.of_type(FinalDocument):
        for path, edited in last.items():
            if final.values.get(path) != edited.value:
                message = f"{path} is {final.values.get(path)}, {edited.mark} set {edited.value}"
                findings.add(_place(final), message)


def fencing_numbers_never_decrease(record: Record, findings: Findings) -> None:
    """No engine accepts an order with a lower fencing number than an earlier order had."""
    newest = {}
    for ordered in record.of_type(Ordered):
        previous = newest.get(ordered.server)
        if previous is not None and ordered.fencing < previous.fencing:
            message = (
                f"{ordered.server} took {ordered.order} of {ordered.process} under"
                f" {ordered.fencing} after {previous.order} of {previous.process}"
                f" under {previous.fencing}"
            )
            findings.add(_place(ordered), message)
        if previous is None or ordered.fencing >= previous.fencing:
            newest[ordered.server] = ordered


INVARIANTS: tuple[Invariant, ...] = (
    at_most_once,
    answers_are_correct,
    not_run_requests_never_run,
    every_caller_answered,
    accepted_requests_complete,
    leaving_servers_get_no_work,
    planned_stops_break_no_request,
    revisions_never_decrease,
    accepted_edits_are_in_order,
    accepted_edits_are_kept,
    fencing_numbers_never_decrease,
)


def check_invariants(record: Record) -> Findings:
    """Returns the findings of all invariants."""
    findings = Findings()
    for invariant in INVARIANTS:
        invariant(record, findings)
    return findings


def _place(observation):
    return Place(f"t={observation.at.total_seconds():.3f}s")
