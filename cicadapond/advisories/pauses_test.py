"""Tests that a server which wants nothing for a time is left alone until that time is over."""

import attrs
import pytest

from cicadapond.advisories import ServerAdvisories
from cicadapond.advisories._record import MAX_GONE
from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import ResponseHead, ServerEntry

ENTRY = ServerEntry("e", "pool", Endpoint("::1", 1), "z", 8, born=7)
ANSWER = ResponseHead(200, ())
REFUSAL = ResponseHead(503, (), not_executed=True)
ASKS_FOR_3S = attrs.evolve(REFUSAL, retry_after=seconds(3))


def after_refusal():
    """Returns a clock and what a process knows of a server that has just asked for 3 s."""
    clock = ManualClock()
    known = ServerAdvisories(clock, "p")
    known.record(ENTRY, ASKS_FOR_3S)
    return clock, known


@pytest.mark.parametrize(
    "later",
    [
        pytest.param(attrs.evolve(REFUSAL, retry_after=seconds(1)), id="shorter"),
        pytest.param(attrs.evolve(REFUSAL, retry_after=seconds(0)), id="zero"),
        pytest.param(attrs.evolve(REFUSAL, brittle=4), id="brittle"),
    ],
)
def test_a_later_shorter_pause_does_not_end_one_that_runs(later):
    """Guards against BUDGET: the answer to a request under way replaced the time asked for."""
    clock, known = after_refusal()
    clock.advance(seconds(0.1))
    known.record(ENTRY, later)
    clock.advance(seconds(2.8))
    assert not known.may_send(ENTRY) and not known.take(ENTRY)
    clock.advance(seconds(1))
    assert known.take(ENTRY)


def test_a_server_whose_entry_lapses_keeps_its_pause():
    """Guards against BUDGET: the entry came back under the same start, and requests with it."""
    clock, known = after_refusal()
    known.remove("e")
    clock.advance(seconds(2.9))
    assert not known.may_send(ENTRY) and not known.take(ENTRY)
    born = round(1000 * clock.now().timestamp())
    assert known.may_send(attrs.evolve(ENTRY, born=born)), "another start asked for nothing"
    clock.advance(seconds(1))
    assert [known.take(ENTRY), known.take(ENTRY)] == [True, False]


def test_pauses_that_are_over_are_not_remembered():
    """Guards against memory that grows with each server that has gone."""
    clock, known = after_refusal()
    for number in range(1000):
        entry = attrs.evolve(ENTRY, name=f"e-{number}")
        known.record(entry, ASKS_FOR_3S)
        known.remove(entry.name)
        clock.advance(seconds(1))
    assert len(known._pauses._pauses) <= 100


@pytest.mark.parametrize("statement", [{"rate_limit": 0.5}, {"brittle": 4}])
def test_a_server_whose_entry_lapses_keeps_what_it_stated(statement):
    """Guards against requests beyond a limit, or beyond the places at a brittle server."""
    known = ServerAdvisories(
        ManualClock(), "p", in_flight=lambda server: 9, servers=lambda service: [ENTRY]
    )
    known.record(ENTRY, attrs.evolve(ANSWER, **statement))
    while known.take(ENTRY):
        pass
    known.remove("e")
    assert known.reported() == {} and known.state() == {}
    assert not known.take(ENTRY) and known.get(ENTRY) is not None


def test_a_server_that_has_just_started_is_brittle_if_its_service_is():
    """Guards against LIMIT: all processes sent what they had to an engine that came back."""
    in_flight = {"e": 0, "new": 0}
    new = attrs.evolve(ENTRY, name="new", born=8)
    known = ServerAdvisories(
        ManualClock(), "p", lambda: ("p", "q"), in_flight.get, lambda service: [ENTRY, new]
    )
    assert known.may_send(new)
    in_flight["new"] = 8
    assert known.may_send(new)
    known.record(ENTRY, attrs.evolve(ANSWER, brittle=4))
    assert not known.may_send(new) and known.time_until_own_permit(new)
    in_flight["new"] = 0
    assert known.may_send(new)
    known.record(ENTRY, ANSWER)
    in_flight["new"] = 8
    assert known.may_send(new)


def test_a_start_that_is_not_told_from_a_later_one_keeps_no_statement():
    """Guards against a new server that is taken for one that leaves, as both have no start."""
    known = ServerAdvisories(ManualClock(), "p")
    entry = attrs.evolve(ENTRY, born=0)
    known.record(entry, attrs.evolve(ANSWER, is_leaving=True))
    known.remove("e")
    assert known.get(entry) is None


def test_statements_of_servers_that_have_gone_are_bounded():
    """Guards against memory that grows with each server that has gone."""
    known = ServerAdvisories(ManualClock(), "p")
    for number in range(MAX_GONE + 100):
        entry = attrs.evolve(ENTRY, name=f"e-{number}")
        known.record(entry, attrs.evolve(ANSWER, rate_limit=1.0))
        known.remove(entry.name)
    assert len(known._gone) == MAX_GONE and not known._known


def test_after_a_pause_one_request_is_sent_until_it_is_answered():
    """Guards against BUDGET: requests that wait for the end of a pause all go at once."""
    clock, known = after_refusal()
    clock.advance(seconds(4))
    assert [known.take(ENTRY) for _ in range(5)] == [True, False, False, False, False]
    clock.advance(seconds(0.9))
    assert not known.take(ENTRY)
    known.record(ENTRY, ASKS_FOR_3S)
    clock.advance(seconds(2.9))
    assert not known.take(ENTRY)


def test_late_refusals_of_requests_after_a_pause_begin_a_new_one():
    """Guards against BUDGET: a refusal that comes late, after more requests have been sent."""
    clock, known = after_refusal()
    clock.advance(seconds(4))
    assert known.take(ENTRY)
    clock.advance(seconds(1.1))
    assert known.take(ENTRY)
    clock.advance(seconds(1.1))
    known.record(ENTRY, ASKS_FOR_3S)
    clock.advance(seconds(0.4))
    known.record(ENTRY, ASKS_FOR_3S)
    clock.advance(seconds(2.9))
    assert not known.take(ENTRY)


@pytest.mark.parametrize("started_s, is_paused", [(-1, True), (1, False)])
def test_a_pause_that_a_server_asked_for_before_its_new_entry_is_not_forgotten_with_it(
    started_s, is_paused
):
    """Guards against BUDGET: the pause was known by the start that the table still told."""
    clock, known = after_refusal()
    born = round(1000 * (clock.now().timestamp() + started_s))
    clock.advance(seconds(2))
    restarted = attrs.evolve(ENTRY, born=born)
    assert known.may_send(restarted) is not is_paused
    assert known.is_paused(restarted) is is_paused
    clock.advance(seconds(2))
    assert known.take(restarted)
