"""Tests of how permits are lent, kept and divided, in virtual time and without messages."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadapond.credits import (
    Ask,
    LendReply,
    PermitKeeper,
    PermitLedger,
    Permits,
    PermitSchedule,
    frame_of,
    permit_owners,
    read_ask,
    read_ask_reply,
    read_lend,
    read_lend_reply,
)
from cicadapond.kernel import ManualClock, seconds

NAMES = tuple(f"p-{number}" for number in range(4))


def keeper(clock, owned=5):
    return PermitKeeper(clock, "k", lambda server, born, frame: {"owner": owned})


def ask(wanted, demand=10):
    return Ask("e", 1, wanted, demand)


def collect(known, clock, count, left_s=0.8, took_s=0.0):
    """Has the owner lend to a keeper; its reply takes `took_s`."""
    sent_at, requests = clock.monotonic(), known.due()
    if not requests:
        return 0
    clock.advance(seconds(took_s))
    reply = LendReply("e", frame_of(clock.now()), Permits(count, seconds(left_s)))
    return known.lent("owner", requests["owner"], [reply], sent_at)


def issued(reply):
    return sum(permits.count for permits in reply.permits)


@given(rate=st.floats(0, 50), count=st.integers(1, 40), frame=st.integers(10**9, 2 * 10**9))
def test_the_owners_of_the_permits_are_those_of_the_schedules(rate, count, frame):
    names = tuple(sorted(f"p-{number}" for number in range(count)))
    owned = permit_owners("e", names, rate, frame)
    for name in names:
        assert owned[name] == PermitSchedule("e", name, names).permits(rate, frame)


def test_what_is_lent_is_not_used_by_the_owner():
    ledger, now = PermitLedger(), seconds(5)
    assert ledger.lend(5, 7, seconds(1), 3, now) == 3
    assert [ledger.take(5, 7, now) for _ in range(3)] == [True, True, False]
    assert ledger.lend(5, 7, seconds(1), 3, now) == 0
    assert ledger.take(5, 8, now), "the next frame has permits of its own"


def test_an_owner_keeps_what_its_own_callers_need():
    ledger, now = PermitLedger(), seconds(5)
    for _ in range(4):
        assert ledger.take(20, 7, now)
    assert ledger.lend(20, 7, seconds(0.5), 20, now) == 20 - 4 - 2
    short = PermitLedger()
    short.want(now)
    assert short.lend(20, 7, seconds(0.5), 20, now) == 0


def test_a_borrowed_permit_ends_at_its_time_also_after_a_suspension():
    ledger = PermitLedger()
    ledger.receive(2, seconds(6), seconds(5))
    assert ledger.take(0, 7, seconds(5.9))
    assert ledger.borrowed_left(seconds(6)) == 0 and not ledger.take(0, 7, seconds(6))


def test_a_keeper_counts_the_time_of_a_loan_from_its_call():
    """Guards against loans that messages, or a suspended keeper, carry into the next frame."""
    clock = ManualClock()
    known = keeper(clock)
    known.ask("p", ask(5))
    assert collect(known, clock, 5, left_s=0.8, took_s=0.7) == 5
    (permits,) = known.ask("p", ask(5)).permits
    assert permits == Permits(5, seconds(0.1))
    clock = ManualClock()
    known = keeper(clock)
    known.ask("p", ask(5))
    collect(known, clock, 5, left_s=0.8, took_s=0.8)
    assert not known.ask("p", ask(5)).permits


def test_a_permit_is_issued_once():
    clock = ManualClock()
    known = keeper(clock)
    known.ask("p", ask(5))
    collect(known, clock, 5, left_s=0.4)
    assert issued(known.ask("p", ask(3))) == 3
    assert sum(issued(known.ask("q", ask(5))) for _ in range(5)) == 2
    assert issued(known.ask("p", ask(5))) == 0


def test_scarce_permits_are_divided_in_proportion_to_the_demands():
    clock = ManualClock()
    known = keeper(clock, owned=20)
    got = {"few": 0, "many": 0}
    for _ in range(200):
        clock.advance(seconds(0.1))
        for name, demand in (("few", 15), ("many", 45)):
            got[name] += issued(known.ask(name, ask(6, demand)))
        collect(known, clock, 20, left_s=1.0)
    assert got["few"] + got["many"] >= 0.9 * 20 * 20
    assert 0.2 <= got["few"] / (got["few"] + got["many"]) <= 0.35


def test_a_keeper_that_nobody_asks_collects_nothing():
    clock = ManualClock()
    known = keeper(clock)
    known.ask("p", ask(1))
    assert known.due()
    clock.advance(seconds(1.1))
    assert not known.due()


def test_an_owner_that_does_not_answer_is_left_alone_for_a_while():
    clock = ManualClock()
    known = keeper(clock)
    known.ask("p", ask(1))
    known.lent("owner", known.due()["owner"], None, clock.monotonic())
    asked = 0
    for _ in range(29):
        clock.advance(seconds(0.1))
        known.ask("p", ask(1))
        asked += len(known.due())
    assert not asked
    clock.advance(seconds(0.9))
    known.ask("p", ask(1))
    assert known.due()


@pytest.mark.parametrize("read", [read_ask, read_ask_reply, read_lend, read_lend_reply])
@pytest.mark.parametrize(
    "items",
    [
        7,
        [7],
        [["e"]],
        [["e", 1, -1, 2, 0, 1]],
        [["e", 1, 1, 2, 0, 0]],
        [["e", 1, 10**9]],
        [["e", [[1, -5]]]],
        [["e", 1, "5", 4]],
        [["e", float("inf"), 1, 2]],
        [["e", float("inf"), 1, 2, 0, 1]],
    ],
)
def test_a_malformed_message_is_an_error(read, items):
    with pytest.raises((TypeError, ValueError)):
        read(items)


def test_messages_are_read_as_they_were_sent():
    sent = LendReply("e", 1_780_000_000, Permits(3, seconds(0.5)))
    (found,) = read_lend_reply([sent.as_list()])
    assert found.permits.count == 3 and seconds(0.49) <= found.permits.left < seconds(0.5)
    assert read_ask([ask(3).as_list()]) == [ask(3)]


@given(wanted=st.integers(1, 50), parts=st.integers(1, 9), first=st.integers(0, 8))
def test_an_ask_is_divided_among_the_parts(wanted, parts, first):
    asks = Ask("e", 1, wanted, 8.0, parts=parts).divide(first % parts)
    assert sum(each.wanted for each in asks) == wanted and all(each.wanted for each in asks)
    assert len({each.part for each in asks}) == len(asks) == min(wanted, parts)


def test_the_parts_of_a_server_have_all_owners_once():
    clock, owned = ManualClock(), {f"p-{number}": 1 for number in range(200)}
    known = PermitKeeper(clock, "k", lambda server, born, frame: owned)
    asked = []
    for part in range(4):
        known.ask("p", attrs.evolve(ask(99, 300), part=part, parts=4))
        asked += known.due()
        clock.advance(seconds(1.2))
    assert sorted(asked) == sorted(owned)
