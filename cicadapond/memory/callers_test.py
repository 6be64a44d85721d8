"""Logic: which connections of callers are given up for others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadapond.kernel import ManualClock, seconds
from cicadapond.memory import (
    RESERVE_BYTES,
    CallerSlots,
    CallerState,
    Kind,
    MemoryBudget,
    max_connections,
)

MB = 1_000_000


class Conn:
    """Records what happened to a connection."""

    def __init__(self, slots=None):
        self.ended = None
        self._slots = slots
        self.slot = slots.open(self) if slots is not None else None

    def abort(self):
        self.ended = "aborted"

    def give_up_body(self, reason):
        self.ended = "refused"
        self._slots.become(self.slot, CallerState.REFUSED)


def test_the_number_of_connections_follows_from_memory_and_descriptors():
    assert max_connections(40 * MB, 100_000) == 40 * MB // (16 * 1024)
    assert max_connections(400 * MB, 4100) == 1950
    assert max_connections(400 * MB, 100) == 16


def test_connections_that_have_only_taken_room_are_given_up_first():
    clock = ManualClock()
    slots = CallerSlots(clock, 5)
    conns = {state: Conn(slots) for state in CallerState}
    for state, conn in conns.items():
        slots.become(conn.slot, state)
    order = [CallerState.REFUSED, CallerState.UNUSED, CallerState.READING, CallerState.IDLE]
    for state in order:
        new = Conn(slots)
        slots.become(new.slot, CallerState.SERVED)
        assert conns[state].ended == "aborted" and slots.given_up[state] == 1
    assert Conn(slots).slot is None and conns[CallerState.SERVED].ended is None


def test_of_two_the_one_that_has_been_silent_for_longer_is_given_up():
    clock = ManualClock()
    slots = CallerSlots(clock, 2)
    first, second = Conn(slots), Conn(slots)
    slots.become(first.slot, CallerState.READING)
    slots.become(first.slot, CallerState.UNUSED)
    Conn(slots)
    assert second.ended == "aborted" and first.ended is None


def test_incomplete_bodies_make_room_and_fresh_ones_stay():
    """Guards against uploads that never end and refuse all others for want of memory."""
    clock, left = ManualClock(), [3]
    slots = CallerSlots(clock, 10)
    conns = [Conn(slots) for _ in range(5)]
    for number, conn in enumerate(conns):
        slots.become(conn.slot, CallerState.READING)
        conn.slot.held = RESERVE_BYTES * (number + 1)
    clock.advance(seconds(2))
    fresh = Conn(slots)
    slots.become(fresh.slot, CallerState.READING)
    fresh.slot.held = MB

    def fits():
        return sum(conn.ended == "refused" for conn in conns) >= left[0]

    assert slots.make_room(fits, RESERVE_BYTES)
    assert [conn.ended for conn in conns] == [None, None, "refused", "refused", "refused"]
    left[0] = 9
    assert not slots.make_room(fits, RESERVE_BYTES)
    assert fresh.ended is None and conns[0].ended is None


@given(st.lists(st.tuples(st.sampled_from(list(CallerState)), st.booleans()), max_size=60))
def test_there_are_never_more_connections_than_allowed(steps):
    slots = CallerSlots(ManualClock(), 4)
    for state, closes in steps:
        conn = Conn(slots)
        if conn.slot is not None:
            slots.become(conn.slot, state)
            if closes:
                slots.close(conn.slot)
        assert len(slots) <= 4


def test_the_reserves_of_many_connections_fit_the_bound_together():
    """Guards against a bound for each connection that bounds no process."""
    budget = MemoryBudget(20 * MB)
    assert budget.reserve_bytes == RESERVE_BYTES
    for _ in range(3000):
        budget.open(Kind.UNREAD)
    assert budget.reserve_bytes * 1000 <= budget.bound_bytes / 4


@pytest.mark.parametrize("limit", [0, 1])
def test_a_new_connection_is_refused_if_all_others_are_served(limit):
    slots = CallerSlots(ManualClock(), limit)
    if limit:
        slots.become(Conn(slots).slot, CallerState.SERVED)
    assert Conn(slots).slot is None
