"""Fair admission: shares, limits and refusals, under random orders of events."""

import collections
import heapq
import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cicadapond.admission import Admitted, FairAdmission, FifoAdmission, Refused, Ticket
from cicadapond.data import Priority
from cicadapond.document import AccountIntent
from cicadapond.kernel import seconds

SLOTS = 20


class Pool:
    """Drives a policy through simulated time; admitted tickets hold their slot for a given time."""

    def __init__(self, policy, accounts, slots=SLOTS, seed=1):
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = seconds(0)
        self.admitted = collections.Counter()
        self.refused = collections.Counter()
        self.outcomes = []
        self.open = 0
        self._releases = []
        self._hold = {}
        policy.configure(accounts)
        self._take(policy.set_slots("p", slots, self.now))

    def offer(self, account, hold=1.0, priority=Priority.STANDARD, wait=None):
        latest = None if wait is None else self.now + seconds(wait)
        ticket = Ticket(f"t{len(self._hold)}", "p", account, priority, latest)
        self._hold[ticket.ticket_id] = hold
        self.open += 1
        self._take(self.policy.offer(ticket, self.now))
        return ticket

    def run_until(self, instant):
        """Releases slots in order of time."""
        while self._releases and self._releases[0][0] <= instant:
            self.now, _, ticket = heapq.heappop(self._releases)
            self._take(self.policy.release(ticket, self.now))
            self._take(self.policy.expire(self.now))
        self.now = instant
        self._take(self.policy.expire(self.now))

    def _take(self, decisions):
        for decision in decisions:
            self.open -= 1
            ticket = decision.ticket
            if isinstance(decision, Admitted):
                self.admitted[ticket.account, ticket.priority] += 1
                end = self.now + seconds(self._hold[ticket.ticket_id])
                heapq.heappush(self._releases, (end, ticket.ticket_id, ticket))
            else:
                self.refused[ticket.account, ticket.priority] += 1
                self.outcomes.append(decision.outcome)

    def count(self, account):
        return sum(self.admitted[account, priority] for priority in Priority)


def fair(seed=1):
    return FairAdmission(random.Random(seed))


@settings(max_examples=8, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate])
@given(
    shares=st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=5),
    holds=st.lists(st.sampled_from([0.5, 1.0, 2.0]), min_size=5, max_size=5),
    seed=st.integers(0, 100),
)
def test_slot_time_follows_shares(shares, holds, seed):
    accounts = {f"a{i}": AccountIntent(share=share) for i, share in enumerate(shares)}
    pool = Pool(fair(), accounts, seed=seed)
    for step in range(200):
        waiting = collections.Counter(ticket.account for ticket in pool.policy.waiting())
        for name, hold in zip(accounts, holds, strict=False):
            for _ in range(waiting[name], 60):
                pool.offer(name, hold * pool.rng.uniform(0.8, 1.2))
        pool.run_until(seconds(step * 0.5))
    used = [pool.count(name) * hold for name, hold in zip(accounts, holds, strict=False)]
    for share, slot_time in zip(shares, used, strict=True):
        assert slot_time / sum(used) == pytest.approx(share / sum(shares), rel=0.1)


@settings(max_examples=15, deadline=None, derandomize=True)
@given(seed=st.integers(0, 1000))
def test_nothing_without_a_deadline_starves(seed):
    accounts = {"a": AccountIntent(), "b": AccountIntent(share=0.1)}
    pool = Pool(fair(), accounts, slots=2, seed=seed)
    for step in range(400):
        pool.offer("a", 0.1, Priority.INTERACTIVE, wait=60)
        if step % 40 == 0:
            pool.offer(pool.rng.choice("ab"), 0.2, pool.rng.choice(list(Priority)))
        pool.run_until(seconds(step * 0.045))
    assert pool.admitted["a", Priority.INTERACTIVE] > 300
    pool.run_until(seconds(1000))
    assert pool.open == 0


def test_batch_work_continues_beside_interactive_work():
    pool = Pool(fair(), {"a": AccountIntent()})
    for _ in range(100):
        pool.offer("a", priority=Priority.BATCH)
    for step in range(100):
        for _ in range(40):
            pool.offer("a", priority=Priority.INTERACTIVE, wait=0.2)
        pool.run_until(seconds(step))
    assert pool.admitted["a", Priority.BATCH] == 100


EVENTS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.sampled_from(Priority),
        st.sampled_from([None, 0.0, 0.3, 5.0]),
        st.floats(0.01, 3.0),
        st.sampled_from([0.0, 0.01, 0.5]),
        st.booleans(),
    ),
    max_size=200,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(events=EVENTS, slots=st.integers(0, 5))
def test_bounds_hold_and_each_ticket_has_one_decision(events, slots):
    limits = AccountIntent(max_queued=4, max_in_flight=2, requests_per_second=20.0)
    policy = fair()
    pool = Pool(policy, dict.fromkeys("abc", limits), slots=slots)
    withdrawn = 0
    for account, priority, wait, hold, pause, withdraw in events:
        ticket = pool.offer(account, hold, priority, wait)
        if withdraw and ticket in policy.waiting():
            pool._take(policy.withdraw(ticket, pool.now))
            withdrawn += 1
        state = policy.state()["p"]
        assert state["running"] <= slots
        for counts in state["accounts"].values():
            assert counts["running"] <= limits.max_in_flight
            assert all(count <= limits.max_queued for count in counts["waiting"].values())
        pool.run_until(pool.now + seconds(pause))
    pool.run_until(pool.now + seconds(1000))
    left = 0 if slots else len(policy.waiting())
    decided = sum(pool.admitted.values()) + sum(pool.refused.values())
    assert decided + withdrawn + left == len(events)


def test_a_large_account_does_not_delay_a_small_one():
    accounts = {"large": AccountIntent(max_queued=10_000), "small": AccountIntent()}
    pool = Pool(fair(), accounts)
    for _ in range(1000):
        pool.offer("large")
    pool.run_until(seconds(10))
    for _ in range(SLOTS // 2):
        pool.offer("small")
    pool.run_until(seconds(11.1))
    assert pool.count("small") == SLOTS // 2


def test_a_ticket_that_cannot_start_in_time_is_refused_at_once_with_a_retry_time():
    pool = Pool(fair(), {"a": AccountIntent()})
    for _ in range(10 * SLOTS):
        pool.offer("a")
    before = pool.refused.total()
    pool.offer("a", wait=1.0)
    assert pool.refused.total() == before + 1
    outcome = pool.outcomes[-1]
    assert outcome.status == 503
    assert outcome.retry_after >= seconds(5)


def test_a_refusal_over_the_rate_says_when_to_retry():
    pool = Pool(fair(), {"a": AccountIntent(requests_per_second=2.0)})
    for _ in range(3):
        pool.offer("a")
    assert pool.refused.total() == 1
    assert pool.outcomes[0].status == 429
    assert seconds(0.5) <= pool.outcomes[0].retry_after <= seconds(1.5)


def test_fifo_lets_a_large_account_starve_a_small_one():
    pool = Pool(FifoAdmission(random.Random(1)), {})
    for _ in range(1000):
        pool.offer("large")
    pool.offer("small")
    pool.run_until(seconds(11.1))
    assert pool.count("small") == 0
    assert not any(isinstance(outcome, Refused) for outcome in pool.outcomes)


def test_a_refusal_says_whether_slots_are_taken_or_there_are_none():
    full = Pool(fair(), {"a": AccountIntent()}, slots=2)
    for _ in range(20):
        full.offer("a", wait=0.0)
    assert full.outcomes[-1].reason.endswith("2 of 2 slots are taken")
    empty = Pool(fair(), {"a": AccountIntent()}, slots=0)
    empty.offer("a", wait=0.0)
    assert empty.outcomes[-1].reason == "no server of pool 'p' takes work from here now"
