"""Logic: who waits and who is given up at the bound."""

import hypothesis
from hypothesis import strategies as st

from cicadapond.memory import RESERVE_BYTES, Kind, MemoryBudget, bound_of

MB = 1_000_000


def answer(budget, group, given_up, kind=Kind.ANSWERS):
    account = budget.open(kind)
    account.group = group
    account.on_give_up = lambda reason: given_up.append((group, reason))
    return account


def test_only_the_server_whose_answers_hold_the_most_is_given_up():
    """Guards against LOST: one server's answers without end took the memory of all requests."""
    budget, given_up = MemoryBudget(10 * MB), []
    bad = [answer(budget, "bad/1", given_up) for _ in range(50)]
    sound = answer(budget, "bad/2", given_up)
    sound.set(3 * MB)
    for account in bad:
        account.set(MB // 8)
    assert not given_up and not budget.is_full
    for account in bad:
        account.set(MB // 5)
    assert {group for group, _ in given_up} == {"bad/1"} and len(given_up) == 50
    assert budget.is_full and "50 answers" in given_up[0][1]
    sound.set(4 * MB)
    assert len(given_up) == 50  # what was given up is about to be released
    for account in bad:
        account.close()
    assert not budget.is_full and budget.held_bytes == 4 * MB


def test_what_waits_for_slow_callers_gives_nobody_up():
    """Guards against LOST: sound answers were ended as callers read slowly."""
    budget, given_up, told = MemoryBudget(10 * MB), [], []
    sound, unsent = answer(budget, "s/1", given_up), budget.open(Kind.UNSENT)
    sound.on_change = lambda: told.append(budget.is_full)
    sound.set(4 * MB)
    unsent.set(7 * MB)
    assert budget.is_full and not given_up
    unsent.set(5 * MB)
    assert budget.is_full
    unsent.set(4 * MB)
    assert told == [True, False] and not given_up


def test_answers_that_another_process_relays_are_given_up_one_by_one():
    budget, given_up = MemoryBudget(10 * MB), []
    relayed = [answer(budget, "process", given_up, Kind.RELAYED) for _ in range(6)]
    for account in relayed:
        account.set(2 * MB)
    assert len(given_up) == 1


def test_a_request_whose_body_does_not_fit_leaves_room_for_answers():
    budget = MemoryBudget(10 * MB)
    budget.open(Kind.REQUESTS).set(4 * MB)
    assert budget.fits_request(MB) and not budget.fits_request(2 * MB)


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3 * MB), st.booleans()), max_size=60)
)
def test_the_sums_are_those_of_the_accounts_and_the_bound_leaves_room_again(steps):
    budget, given_up = MemoryBudget(10 * MB), []
    kinds = list(Kind)
    accounts = [answer(budget, n % 4, given_up, kinds[n % len(kinds)]) for n in range(10)]
    for number, held, closes in steps:
        accounts[number].set(held)
        if closes:
            accounts[number].close()
            accounts[number] = answer(budget, number % 4, given_up, kinds[number % len(kinds)])
        assert budget.held_bytes == sum(each.held for each in accounts)
        assert budget.held_bytes == sum(budget.held_by_kind().values())
        assert budget.is_full or budget.held_bytes <= budget.bound_bytes
    for account in accounts:
        account.close()
    assert not budget.is_full and not budget.held_bytes


def test_the_bound_leaves_room_for_the_process_on_small_machines():
    for memory in (160 * MB, 300 * MB, 552 * MB):
        assert 4 * 4 * MB < bound_of(memory) < memory / 2
    assert bound_of(160 * MB) > RESERVE_BYTES * 500
