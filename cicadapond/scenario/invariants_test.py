"""Each invariant reports a run that violates it; a run without violations has no findings."""

import datetime

import pytest

from cicadapond.kernel import Findings
from cicadapond.scenario._invariants import INVARIANTS, check_invariants
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


def at(number):
    return datetime.timedelta(seconds=number)


def ok(time, request, **fields):
    return Answered(at(time), request, "question", "a", "ok", **fields)


VIOLATIONS = {
    "at_most_once": [Ran(at(1), "s1", "r1", "k"), Ran(at(2), "s2", "r2", "k")],
    "answers_are_correct": [ok(1, "r1", wrong="token 3 is 'a', not 'b'")],
    "not_run_requests_never_run": [
        Answered(at(1), "r1", "charge", "a", "not_run", key="k"),
        Ran(at(2), "s1", "r1", "k"),
    ],
    "every_caller_answered": [Sent(at(1), "r1", "question", "a", "e")],
    "accepted_requests_complete": [Accepted(at(1), "r1")],
    "leaving_servers_get_no_work": [Noticed(at(1), "s1"), Started(at(4.1), "s1", "r1", "e")],
    "planned_stops_break_no_request": [
        Stopping(at(1), "e", ("r1",)),
        Answered(at(2), "r1", "question", "a", "broken"),
    ],
    "revisions_never_decrease": [InForce(at(1), "e", 0, 7), InForce(at(2), "e", 0, 6)],
    "accepted_edits_are_in_order": [
        Edited(at(1), at(0), 5, "x"),
        Edited(at(3), at(2), 4, "y"),
    ],
    "fencing_numbers_never_decrease": [
        Ordered(at(1), "e1", "c2", 5, "run"),
        Ordered(at(2), "e1", "c1", 4, "run"),
    ],
    "accepted_edits_are_kept": [
        Edited(at(1), at(0), 4, "x", "cost.ceiling", 1),
        Edited(at(2), at(0), 5, "y", "cost.ceiling", 2),
        FinalDocument(at(9), {"cost.ceiling": 1}),
    ],
}

VALID_RUN = [
    Ran(at(1), "s1", "r1", "k1"),
    Ran(at(2), "s1", "r2", "k2"),
    Sent(at(1), "r3", "question", "a", "e"),
    Accepted(at(1), "r3"),
    Noticed(at(1), "s1"),
    Started(at(3.9), "s1", "r3", "e"),
    Stopping(at(1), "e", ("r3", "r4")),
    ok(5, "r3"),
    Answered(at(5), "r4", "charge", "a", "unknown", detail="the service did not answer"),
    InForce(at(1), "e", 0, 7),
    InForce(at(2), "e", 1, 6),
    Edited(at(1), at(0), 5, "x", "cost.ceiling", 1),
    Edited(at(2), at(0), 4, "acknowledged late, its answer was lost"),
    FinalDocument(at(9), {"cost.ceiling": 1}),
    Ordered(at(1), "e1", "c1", 4, "run"),
    Ordered(at(2), "e1", "c2", 5, "run"),
    Ordered(at(3), "e2", "c1", 4, "run"),
]


def messages_of(observations):
    record = Record()
    record.observations.extend(observations)
    return [finding.message for finding in check_invariants(record)]


def test_every_invariant_has_a_violation():
    assert set(VIOLATIONS) == {invariant.__name__ for invariant in INVARIANTS}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_a_violation_is_reported(name):
    record = Record()
    record.observations.extend(VIOLATIONS[name])
    invariant = next(invariant for invariant in INVARIANTS if invariant.__name__ == name)

    findings = Findings()
    invariant(record, findings)
    assert len(findings) == 1


def test_a_valid_run_has_no_findings():
    assert messages_of(VALID_RUN) == []
