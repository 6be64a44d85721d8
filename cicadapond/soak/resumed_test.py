"""Tests of the check of streams that callers take up again."""

import attrs
import pytest

from cicadapond.soak import CallRecord, History, check
from cicadapond.soak._records import STREAM, Partition, ServingTime

BEGUN = CallRecord("r", STREAM, "k", 0, 10.0, 10.5, 200, versions={"v2"}, has_left=True)
SERVING = [ServingTime("pool", "v2", 5.0) for _ in range(2)]
CUT = Partition("cut_off", frozenset((1,)), 9.0, 20.0)


def history(refused=7, resumed=12, resumed_at=11.0, begun=12, **changes):
    """Returns one in which each stream is taken up at process 1 and some are refused."""
    calls = []
    for number in range(max(resumed, begun)):
        new = attrs.evolve(BEGUN, id=f"r-{number}", process=number % 2)
        calls.append(new if number < begun else attrs.evolve(new, status=503))
        if number < resumed:
            status, end = 503 if number < refused else 200, resumed_at + 0.5
            calls.append(
                attrs.evolve(
                    BEGUN,
                    id=f"r-{number}-again-1",
                    process=1,
                    sent_at=resumed_at,
                    ended_at=end,
                    status=status,
                    versions=set(),
                    resumes=f"r-{number}",
                )
            )
    return History(calls=calls, **({"serving_times": SERVING, "partitions": [CUT]} | changes))


def found(seen):
    return [each.subject for each in check(seen) if each.guarantee == "resumed streams"]


def test_refused_streams_are_found_in_all_and_during_the_partition():
    assert found(history()) == ["all", "cut_off of [1] at 9.0, during it"]


@pytest.mark.parametrize(
    "seen",
    [
        history(refused=6),
        history(resumed=11),
        history(begun=0),
        history(serving_times=SERVING[:1]),
        history(serving_times=[attrs.evolve(each, end=11.2) for each in SERVING]),
        history(partitions=[attrs.evolve(CUT, is_excused=True)]),
        history(partitions=[attrs.evolve(CUT, is_excused=True, end=8.5, begin=5.0)]),
        history(fault_spans=[(7.0, 8.5)]),
        history(planned_stops=[(1, 7.0, 8.5)]),
        history(own_pauses=[(7.0, 8.5)]),
    ],
)
def test_documented_exceptions_are_no_violations(seen):
    assert found(seen) == []


def test_a_disturbance_excuses_no_longer_than_the_contact_time():
    assert found(history(busy_spans=[(7.0, 8.5)]))
    ended = attrs.evolve(CUT, is_excused=True, begin=5.0, end=6.9)
    assert found(history(partitions=[ended])) == ["all", "cut_off of [1] at 5.0, after it"]
