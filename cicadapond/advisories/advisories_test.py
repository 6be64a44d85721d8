"""Tests of what servers say of themselves, and of the division of their limits."""

import datetime
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.advisories import Advisory, PauseEvent, ServerAdvisories
from cicadapond.credits import Ask, AskReply, LoanRequest, Permits, PermitSchedule
from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import ResponseHead, ServerEntry

START = ManualClock().now()
ENTRY = ServerEntry("e", "pool", Endpoint("::1", 1), "z", 8)
LIMITED = ResponseHead(200, (), rate_limit=2.0)
UNLIMITED = ResponseHead(200, ())
REFUSAL = ResponseHead(503, (), not_executed=True)
MAX_CLOCK_DIFFERENCE_FRAMES = 0.3


def names(count):
    return tuple(f"p-{number:03}" for number in range(count))


def advisories(clock, processes=("p",)):
    return ServerAdvisories(clock, "p", lambda: processes)


@pytest.mark.parametrize("rate", [0.25, 0.4, 1.0, 1.6, 7.0, 100.0])
@pytest.mark.parametrize("count", [1, 2, 6, 195])
def test_the_permits_of_all_processes_add_up_to_the_limit(rate, count):
    schedules = [PermitSchedule("e", name, names(count)) for name in names(count)]
    begin, frames = 1_780_000_000, 400
    for frame in range(begin, begin + 5):
        total = sum(schedule.permits(rate, frame) for schedule in schedules)
        assert rate - 1 <= total <= rate + 1
    total = sum(
        schedule.permits(rate, frame)
        for schedule in schedules
        for frame in range(begin, begin + frames)
    )
    assert abs(total - rate * frames) <= 1


@pytest.mark.parametrize(("rate", "count"), [(1.6, 6), (7.0, 6), (10.0, 195)])
def test_each_process_gets_the_same_number_of_permits(rate, count):
    frames = round(20 * count / rate)
    totals = [
        sum(PermitSchedule("e", name, names(count)).permits(rate, 10**9 + n) for n in range(frames))
        for name in names(count)
    ]
    assert max(totals) - min(totals) <= 1


@settings(deadline=None, derandomize=True)
@given(
    rate=st.floats(0.0, 20.0),
    count=st.integers(1, 60),
    begin=st.integers(10**9, 2 * 10**9),
    seed=st.integers(0, 99),
)
def test_no_window_exceeds_the_limit_though_clocks_differ(rate, count, begin, seed):
    rng, window = random.Random(seed), 4.0
    schedules = [
        (PermitSchedule("e", name, names(count)), rng.uniform(0, MAX_CLOCK_DIFFERENCE_FRAMES))
        for name in names(count)
    ]
    times = sorted(
        frame - begin + skew + rng.random()
        for schedule, skew in schedules
        for frame in range(begin, begin + 12)
        for _ in range(schedule.permits(rate, frame))
    )
    for first in times:
        sent = sum(first <= at <= first + window for at in times)
        assert sent <= 1.5 * window * rate + 5


def test_a_permit_is_not_kept_for_a_later_frame():
    clock = ManualClock()
    known = advisories(clock)
    known.record(ENTRY, LIMITED)
    clock.advance(seconds(10))
    assert [known.take(ENTRY) for _ in range(4)] == [True, True, False, False]
    assert known.time_until_permit(ENTRY) == seconds(1)
    clock.advance(seconds(1))
    assert [known.take(ENTRY) for _ in range(3)] == [True, True, False]


def borrowing(clock):
    """Returns the statements known to a process that owns one permit of two in a second."""
    known = advisories(clock, ("p", "q"))
    known.on_want = lambda: None
    known.record(ENTRY, LIMITED)
    return known


def test_a_borrowed_permit_counts_from_the_call_that_brought_it():
    """Guards against a process that was suspended in its call and uses expired permits."""
    clock = ManualClock()
    known = borrowing(clock)
    ask = Ask("e", 0, 2.0, 1, 1)
    reply = AskReply("e", (Permits(1, seconds(0.6)),))
    sent_at = clock.monotonic()
    clock.advance(seconds(0.7))
    known.receive(ask, reply, sent_at, seconds(1))
    assert [known.take(ENTRY), known.take(ENTRY)] == [True, False]
    known.receive(ask, reply, clock.monotonic(), seconds(1))
    clock.advance(seconds(0.2))
    assert [known.take(ENTRY), known.take(ENTRY)] == [True, False]


def test_permits_lent_under_a_higher_limit_are_dropped():
    known = borrowing(ManualClock())
    known.receive(
        Ask("e", 0, 2.0, 5, 1), AskReply("e", (Permits(5, seconds(1)),)), seconds(0), seconds(1)
    )
    known.record(ENTRY, attrs.evolve(LIMITED, rate_limit=1.0))
    assert sum(known.take(ENTRY) for _ in range(9)) <= 1


def test_permits_that_were_asked_for_under_a_higher_limit_are_not_used():
    """Guards against a limit that falls while the call is on its way."""
    known = borrowing(ManualClock())
    known.record(ENTRY, attrs.evolve(LIMITED, rate_limit=1.0))
    while known.take(ENTRY):
        pass
    reply = AskReply("e", (Permits(5, seconds(1)),))
    assert known.receive(Ask("e", 0, 2.0, 5, 1), reply, seconds(0), None) == 0
    assert not known.take(ENTRY)


class SteppingClock(ManualClock):
    """A clock that moves with each reading, as time passes between two of them."""

    def monotonic(self):
        self.advance(seconds(0.01))
        return super().monotonic()


def test_a_permit_that_ends_while_it_is_taken_is_not_used():
    """Guards against a send whose permit was valid at the check before, but not when counted."""
    clock = SteppingClock()
    known = borrowing(clock)
    while known.take(ENTRY):
        pass
    ask, reply = Ask("e", 0, 2.0, 1, 1), AskReply("e", (Permits(1, seconds(0.035)),))
    outcomes = set()
    for late_ms in range(40):
        sent_at = ManualClock.monotonic(clock) - seconds(late_ms / 1000)
        known.receive(ask, reply, sent_at, None)
        (permits,) = known._known["e"].ledger._borrowed
        is_sent = known.take(ENTRY)
        assert is_sent == (permits.count == 0), late_ms
        outcomes.add(is_sent)
        known._known["e"].ledger.drop_borrowed()
    assert outcomes == {True, False}


@pytest.mark.parametrize(
    "reply",
    [
        AskReply("other", (Permits(1, seconds(1)),)),
        AskReply("e", (Permits(1, seconds(1)), Permits(50, seconds(1)))),
    ],
)
def test_a_process_uses_no_more_borrowed_permits_than_it_asked_for(reply):
    """Guards against a faulty keeper, whose reply names another server or too many permits."""
    known = borrowing(ManualClock())
    while known.take(ENTRY):
        pass
    known.receive(Ask("e", 0, 2.0, 2, 1), reply, seconds(0), None)
    assert sum(known.take(ENTRY) for _ in range(99)) == (2 if reply.server == "e" else 0)


def test_nothing_is_borrowed_for_a_server_that_pauses():
    """Guards against permits that are lent to a process that may not use them."""
    known = borrowing(ManualClock())
    while known.take(ENTRY):
        pass
    known.record(ENTRY, attrs.evolve(LIMITED, retry_after=seconds(5)))
    known.want([ENTRY])
    assert not known.asks(seconds(0.25))


def test_a_reply_with_many_empty_permits_is_not_kept():
    """Guards against a reply that fills the memory, and is sorted again with each of its parts."""
    known = borrowing(ManualClock())
    reply = AskReply("e", (Permits(0, seconds(1)),) * 500 + (Permits(1, seconds(1)),) * 500)
    assert known.receive(Ask("e", 0, 2.0, 2, 1), reply, seconds(0), None) == 2
    assert len(known._known["e"].ledger._borrowed) <= 2


def test_requests_for_loans_of_unknown_servers_are_not_remembered():
    """Guards against memory that grows with each server that has gone."""
    known = borrowing(ManualClock())
    for number in range(100):
        known.lend(LoanRequest(f"gone-{number}", 0, 2.0, 1))
    assert len(known._schedules) <= 1


def test_a_request_waits_for_a_borrowed_permit_but_not_once_there_are_none():
    clock = ManualClock()
    known = borrowing(clock)
    while known.take(ENTRY):
        pass
    known.want([ENTRY])
    (ask,) = known.asks(seconds(0.25))
    assert (ask.server, ask.born, ask.wanted) == ("e", 0, 1)
    assert known.time_until_permit(ENTRY) < seconds(0.1)
    known.receive(ask, AskReply("e", ()), clock.monotonic(), seconds(0.25))
    assert known.time_until_permit(ENTRY) == seconds(1) and not known.asks(seconds(0.25))
    clock.advance(seconds(0.3))
    known.want([ENTRY])
    assert known.time_until_permit(ENTRY) < seconds(0.1)


def test_only_permits_of_a_known_start_with_a_limit_are_lent():
    known = borrowing(ManualClock())
    assert known.lend(LoanRequest("e", 7, 2.0, 5)) is None, "another start"
    assert known.lend(LoanRequest("e", 0, 1.0, 5)) is None, "dealt under a higher limit"
    assert known.lend(LoanRequest("other", 0, 2.0, 5)) is None
    assert known.lend(LoanRequest("e", 0, 2.0, 5)).permits == Permits(1, seconds(1))
    assert not known.take(ENTRY), "what was lent is not used here"
    known.record(ENTRY, UNLIMITED)
    assert known.lend(LoanRequest("e", 0, 2.0, 5)) is None


def test_each_change_of_a_pause_is_told_with_its_lengths():
    """Guards against a log that does not tell whether a pause was replaced or dropped."""
    clock, changes = ManualClock(), []
    known = advisories(clock)
    known.watch_pauses(changes.append)
    for length in (2, 3, 1):
        known.record(ENTRY, attrs.evolve(REFUSAL, retry_after=seconds(length)))
    events = [change.event for change in changes]
    assert events == [PauseEvent.BEGUN, PauseEvent.EXTENDED, PauseEvent.KEPT]
    assert [change.asked for change in changes] == [seconds(2), seconds(3), seconds(1)]
    assert changes[0].before == seconds(0)
    assert changes[1].before == changes[0].after >= seconds(2)
    assert {(change.server, change.born) for change in changes} == {("e", 0)}


def test_a_limit_ends_with_the_first_answer_without_it():
    known = advisories(ManualClock())
    assert known.record(ENTRY, LIMITED).after.rate_limit == 2.0
    assert known.record(ENTRY, LIMITED) is None
    assert known.record(ENTRY, UNLIMITED).after.rate_limit is None
    assert all(known.take(ENTRY) for _ in range(10))


def test_a_server_that_starts_again_has_no_limit():
    known = advisories(ManualClock())
    known.record(ENTRY, LIMITED)
    reborn = attrs.evolve(ENTRY, born=1)
    assert known.get(reborn) is None and all(known.take(reborn) for _ in range(10))
    assert known.record(reborn, UNLIMITED) is None


def test_a_limited_server_is_avoided_while_the_processes_are_unknown():
    known = advisories(ManualClock(), processes=None)
    assert known.take(ENTRY)
    known.record(ENTRY, LIMITED)
    assert not known.take(ENTRY)


def test_the_newest_statement_of_all_processes_holds():
    clock = ManualClock()
    known = advisories(clock)
    known.record(ENTRY, LIMITED)
    earlier = START - datetime.timedelta(seconds=1)
    known.merge(ENTRY, Advisory(0, 9.0, earlier))
    assert known.get(ENTRY).rate_limit == 2.0
    known.merge(ENTRY, Advisory(0, None, START + seconds(1)))
    assert known.get(ENTRY).rate_limit is None
    known.merge(ENTRY, Advisory(7, 1.0, START + seconds(2)))
    assert known.get(ENTRY).rate_limit is None, "said by another start of the server"


def test_only_own_observations_are_reported_and_ended_limits_for_a_while():
    clock = ManualClock()
    known = advisories(clock)
    known.merge(ENTRY, Advisory(0, 3.0, START))
    assert known.reported() == {}
    clock.advance(seconds(1))
    known.record(ENTRY, LIMITED)
    assert known.reported()["e"].rate_limit == 2.0
    known.record(ENTRY, UNLIMITED)
    assert known.reported()["e"].rate_limit is None
    clock.advance(seconds(11))
    assert known.reported() == {}


def test_a_start_that_leaves_does_not_come_back():
    clock = ManualClock()
    known = advisories(clock)
    assert known.record(ENTRY, attrs.evolve(UNLIMITED, is_leaving=True)).after.is_leaving
    assert known.record(ENTRY, UNLIMITED) is None
    known.merge(ENTRY, Advisory(0, 1.0, START + seconds(1)))
    assert known.get(ENTRY).is_leaving and known.get(ENTRY).rate_limit == 1.0
    assert known.get(attrs.evolve(ENTRY, born=1)) is None
