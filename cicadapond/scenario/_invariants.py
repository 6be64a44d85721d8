"""What must always hold, as functions from a run's record to findings.

Every scenario is checked against all of them.  Each finding's place is the instant at which the
invariant was broken, given as a line of the timeline.
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

LEAVING_LIMIT = datetime.timedelta(seconds=3)
FORCE_LIMIT = datetime.timedelta(seconds=5)

Invariant = typing.Callable[[Record, Findings], None]


def at_most_once(record: Record, findings: Findings) -> None:
    """A call that must not repeat ran at most once under its key."""
    runs = collections.Counter()
    for ran in record.of(Ran):
        runs[ran.key] += 1
        if ran.key and runs[ran.key] > 1:
            findings.add(_place(ran), f"key {ran.key} ran {runs[ran.key]} times, on {ran.server}")


def whole_answers(record: Record, findings: Findings) -> None:
    """Every answer is whole and its own request's."""
    for answered in record.of(Answered):
        if answered.outcome == "ok" and answered.wrong:
            message = f"request {answered.request} got a wrong answer: {answered.wrong}"
            findings.add(_place(answered), message)


def not_run_is_true(record: Record, findings: Findings) -> None:
    """A request whose caller was told that it was not run has not run and never runs."""
    told = {found.request: found for found in record.of(Answered) if found.outcome == "not_run"}
    for ran in record.of(Ran):
        if ran.request in told:
            message = f"request {ran.request} was told not_run at {told[ran.request].at} and ran"
            findings.add(_place(ran), message)


def every_caller_answered(record: Record, findings: Findings) -> None:
    """Every request that was sent has a final answer by the end."""
    answered = {found.request for found in record.of(Answered)}
    for sent in record.of(Sent):
        if sent.request not in answered:
            findings.add(_place(sent), f"{sent.kind} request {sent.request} has no answer")


def accepted_survives(record: Record, findings: Findings) -> None:
    """Every durable request that was accepted ends with its whole answer."""
    done = {found.request for found in record.of(Answered) if found.outcome == "ok"}
    for accepted in record.of(Accepted):
        if accepted.request not in done:
            findings.add(_place(accepted), f"accepted request {accepted.request} has no answer")


def leaving_gets_no_work(record: Record, findings: Findings) -> None:
    """A backend server gets no new work later than LEAVING_LIMIT after its first notice."""
    noticed = {}
    for found in record.of(Noticed):
        noticed.setdefault(found.server, found.at)
    for started in record.of(Started):
        since = noticed.get(started.server)
        if since is not None and started.at > since + LEAVING_LIMIT:
            late = started.at - since
            message = f"{started.server} got request {started.request} {late} after its notice"
            findings.add(_place(started), message)


def planned_stops_cut_nothing(record: Record, findings: Findings) -> None:
    """Every request in flight at the start of a planned stop gets an answer, none is cut off.

    An answer may say that a backend server failed meanwhile; a connection that breaks may not.
    """
    ended = {found.request: found.outcome for found in record.of(Answered)}
    for stopping in record.of(Stopping):
        for request in stopping.requests:
            if ended.get(request, "broken") == "broken":
                message = f"request {request} was cut off by the planned stop of {stopping.process}"
                findings.add(_place(stopping), message)


def revisions_never_fall(record: Record, findings: Findings) -> None:
    """No process goes back to a lower revision of the document within one life."""
    highest = {}
    for found in record.of(InForce):
        life = (found.process, found.life)
        if found.revision < highest.get(life, 0):
            message = f"{found.process} went from revision {highest[life]} to {found.revision}"
            findings.add(_place(found), message)
        highest[life] = max(highest.get(life, 0), found.revision)


def accepted_edits_are_in_order(record: Record, findings: Findings) -> None:
    """Every accepted edit has a revision of its own, above those accepted before it began."""
    edits = record.of(Edited)
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


def accepted_edits_hold(record: Record, findings: Findings) -> None:
    """What the last accepted edit of a field set is what the document has at the end."""
    last = {}
    for edited in sorted(record.of(Edited), key=lambda found: found.revision):
        last[edited.path] = edited
    for final in record.of(FinalDocument):
        for path, edited in last.items():
            if final.values.get(path) != edited.value:
                message = f"{path} is {final.values.get(path)}, {edited.mark} set {edited.value}"
                findings.add(_place(final), message)


def orders_never_alternate(record: Record, findings: Findings) -> None:
    """No engine carries out an order of an older fencing number after one of a newer."""
    newest = {}
    for ordered in record.of(Ordered):
        last = newest.get(ordered.server)
        if last is not None and ordered.fencing < last.fencing:
            message = (
                f"{ordered.server} took {ordered.order} of {ordered.process} under"
                f" {ordered.fencing} after {last.order} of {last.process} under {last.fencing}"
            )
            findings.add(_place(ordered), message)
        if last is None or ordered.fencing >= last.fencing:
            newest[ordered.server] = ordered


INVARIANTS: tuple[Invariant, ...] = (
    at_most_once,
    whole_answers,
    not_run_is_true,
    every_caller_answered,
    accepted_survives,
    leaving_gets_no_work,
    planned_stops_cut_nothing,
    revisions_never_fall,
    accepted_edits_are_in_order,
    accepted_edits_hold,
    orders_never_alternate,
)


def check_invariants(record: Record) -> Findings:
    """Returns every finding of every invariant."""
    findings = Findings()
    for invariant in INVARIANTS:
        invariant(record, findings)
    return findings


def _place(observation):
    return Place(f"t={observation.at.total_seconds():.3f}s")
