"""Quotas: the total over all processes stays bounded, whatever reports they receive."""

import datetime

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.kernel import ManualClock, seconds
from cicadapond.quotas import SPENDING_WINDOW, GrantPart, QuotaShares
from cicadapond.serving import ClientAccount, QuotaOverage
from cicadapond.usage import UsageWindows

RATE, BURST, WINDOW_S, UNITS = 100.0, 100.0, 8.0, 10.0
ACCOUNT = ClientAccount("acme", frozenset(), rate=RATE, burst=BURST)
STEP_S = 0.1


def test_bucket_admits_its_burst_and_then_its_rate():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    taken = [shares.take(ACCOUNT, UNITS, 1.0) for _ in range(12)]
    assert taken[:10] == [None] * 10
    assert taken[10] == datetime.timedelta(seconds=0.1)
    clock.advance(seconds(0.1))
    assert shares.take(ACCOUNT, UNITS, 1.0) is None
    assert shares.take(ACCOUNT, UNITS, 1.0) is not None


def test_request_larger_than_the_bucket_is_admitted_when_it_is_full():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    assert shares.take(ACCOUNT, 5 * BURST, 1.0) is None
    clock.advance(seconds(4))
    assert shares.take(ACCOUNT, UNITS, 1.0) is not None


def window(clock):
    return UsageWindows(SPENDING_WINDOW).number(clock.now())


def test_spending_of_older_processes_before_the_start_is_not_charged():
    clock = ManualClock()
    clock.advance(seconds(5))
    shares = QuotaShares(clock, begins_full=False)
    assert shares.take(ACCOUNT, UNITS, 1.0) is None
    before, now = window(clock) - 1, window(clock)
    shares.apply_spending("other", {before: {"acme": 1_000_000.0}}, includes_own=False)
    assert shares.level("acme") == BURST / 4 - UNITS
    shares.apply_spending("other", {now: {"acme": 30.0}}, includes_own=False)
    assert shares.level("acme") == BURST / 4 - UNITS - 30.0


def test_spending_of_processes_started_at_the_same_time_is_charged():
    clock = ManualClock()
    processes = [QuotaShares(clock, begins_full=False) for _ in range(6)]
    spent = 0.0
    for shares in processes:
        while shares.take(ACCOUNT, 5.0, 1.0) is None:
            spent += 5.0
    for shares in processes:
        for number, other in enumerate(processes):
            if other is not shares:
                shares.apply_spending(f"p{number}", other.spending(), includes_own=False)
    # Every bucket is overdrawn by what the others spent, and waits until it is refilled.
    clock.advance(seconds((spent - BURST / 4) / RATE - 0.01))
    assert all(shares.take(ACCOUNT, 5.0, 1.0) is not None for shares in processes)


def test_processes_that_restart_together_begin_with_a_part_of_one_burst():
    """Guards against QUOTA: each of them began with a quarter of the whole burst."""
    clock, spent = ManualClock(), 0.0
    for shares in [QuotaShares(clock, begins_full=False) for _ in range(40)]:
        while shares.take(ACCOUNT, 0.1, 1 / 40) is None:
            spent += 0.1
    assert spent <= BURST


def test_spending_is_charged_once_however_often_and_by_whomever_it_is_reported():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    shares.take(ACCOUNT, UNITS, 1.0)
    now = window(clock)
    for units in (50.0, 20.0, 50.0, 60.0):
        shares.apply_spending("yqr", {now: {"acme": units}}, includes_own=False)
    shares.apply_spending("yxe", {now: {"acme": 5.0}}, includes_own=False)
    assert shares.level("acme") == BURST - UNITS - 60.0 - 5.0


def test_own_spending_is_taken_out_of_the_total_of_the_own_data_centre():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    shares.take(ACCOUNT, UNITS, 1.0)
    now = window(clock)
    shares.apply_spending("yqr", {now: {"acme": UNITS}}, includes_own=True)
    assert shares.level("acme") == BURST - UNITS
    shares.apply_spending("yqr", {now: {"acme": UNITS + 7.0}}, includes_own=True)
    assert shares.level("acme") == BURST - UNITS - 7.0


def test_late_summaries_that_still_contain_own_spending_charge_nothing():
    """A hub that lags tells of windows that this process does not report any more."""
    clock = ManualClock()
    shares, summary = QuotaShares(clock, begins_full=True), {}
    for _ in range(40):
        assert shares.take(ACCOUNT, UNITS, 1.0) is None
        shares.apply_spending("yqr", summary, includes_own=True)
        summary = shares.spending()
        clock.advance(seconds(1))
        assert shares.level("acme") == BURST - UNITS


def test_old_windows_that_are_reported_again_charge_nothing():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    assert shares.take(ACCOUNT, UNITS, 1.0) is None
    idle_zone = {window(clock): {"acme": 30.0}}
    shares.apply_spending("yxe", idle_zone, includes_own=False)
    clock.advance(seconds(60))
    shares.apply_spending("yxe", {}, includes_own=False)
    shares.apply_spending("yxe", idle_zone, includes_own=False)
    assert shares.level("acme") == BURST - UNITS - 30.0


def test_an_account_is_not_at_its_full_burst_where_it_is_used_for_the_first_time():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    shares.apply_spending("other", {window(clock): {"acme": 2 * BURST}}, includes_own=False)
    assert shares.take(ACCOUNT, UNITS, 1.0) is not None
    clock.advance(seconds(1.5))
    assert shares.take(ACCOUNT, UNITS, 1.0) is None


def test_lowered_quota_applies_at_once():
    shares = QuotaShares(ManualClock(), begins_full=True)
    assert shares.take(ACCOUNT, UNITS, 1.0) is None
    lower = ClientAccount("acme", frozenset(), rate=10.0, burst=15.0)
    assert shares.take(lower, UNITS, 1.0) is None
    assert shares.take(lower, UNITS, 1.0) == datetime.timedelta(seconds=0.5)


def test_a_stream_goes_on_although_new_requests_leave_less_than_it_needs():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    for _ in range(9):
        assert shares.take(ACCOUNT, UNITS, 1.0) is None
    assert shares.take(ACCOUNT, 5 * UNITS, 1.0) is not None
    assert shares.take(ACCOUNT, 5 * UNITS, 1.0, continues=True) is None
    # The bucket is overdrawn by 40 units, which refill before anything else is admitted.
    assert shares.take(ACCOUNT, 5 * UNITS, 1.0, continues=True) == seconds(0.41)
    clock.advance(seconds(0.45))
    assert shares.take(ACCOUNT, UNITS, 1.0) is not None
    assert shares.take(ACCOUNT, UNITS, 1.0, continues=True) is None


OVERAGE = QuotaOverage(0.1, 60.0, seconds(WINDOW_S))


def test_streams_are_continued_beyond_the_quota_up_to_the_overage():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True, overage=OVERAGE)
    spent = []
    for step in range(80):
        while shares.take(ACCOUNT, UNITS, 1.0) is None:
            spent.append((step * STEP_S, UNITS))
        clock.advance(seconds(STEP_S))
    continued = 0
    while shares.take_to_continue(ACCOUNT, UNITS, 1.0):
        spent.append((79 * STEP_S, UNITS))
        continued += 1
    assert continued == 7
    assert _most_in_a_window(spent) <= 1.1 * (RATE * WINDOW_S + BURST) + 60.0
    # New requests make up for it; what is used of the overage is back after the window.
    clock.advance(seconds(0.5))
    assert shares.take(ACCOUNT, UNITS, 1.0) is not None
    assert not shares.take_to_continue(ACCOUNT, UNITS, 1.0)
    clock.advance(seconds(WINDOW_S - 0.5))
    assert shares.take_to_continue(ACCOUNT, UNITS, 1.0)


def test_each_process_uses_its_part_of_the_overage():
    shares = QuotaShares(ManualClock(), True, OVERAGE)
    assert sum(shares.take_to_continue(ACCOUNT, UNITS, 0.5) for _ in range(99)) == 3


def test_after_a_restart_the_overage_counts_as_used():
    """Guards against QUOTA: every restart gave the whole overage again."""
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=False, overage=OVERAGE)
    clock.advance(seconds(WINDOW_S - 0.1))
    assert not shares.take_to_continue(ACCOUNT, UNITS, 1.0)
    clock.advance(seconds(0.1))
    assert shares.take_to_continue(ACCOUNT, UNITS, 1.0)


def test_a_part_of_a_quota_grants_its_part_only():
    shares = QuotaShares(ManualClock(), begins_full=True)
    half = GrantPart(1, 2)
    granted = sum(shares.grant(ACCOUNT, UNITS, 1.0, part=half) is None for _ in range(20))
    assert granted == 5


def test_what_was_granted_is_forgotten_where_another_process_grants_now():
    clock = ManualClock()
    shares = QuotaShares(clock, begins_full=True)
    assert shares.grant(ACCOUNT, UNITS, 1.0, tenure=seconds(1)) is None
    shares.withdraw(lambda account, part: False)
    assert shares.grant(ACCOUNT, UNITS, 1.0, tenure=seconds(0)) == seconds(0.1)


def test_without_a_tolerated_overage_nothing_is_admitted_beyond_the_quota():
    assert not QuotaShares(ManualClock(), True).take_to_continue(ACCOUNT, UNITS, 1.0)


class _Process:
    def __init__(self, name, clock):
        self.name = name
        self.shares = QuotaShares(clock, begins_full=True)


def _most_in_a_window(spent):
    most = 0.0
    for at, _ in spent:
        most = max(most, sum(units for other, units in spent if at <= other < at + WINDOW_S))
    return most


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    demand=st.lists(st.integers(0, 6), min_size=60, max_size=120),
    split_at=st.integers(0, 60),
    split_for=st.integers(0, 60),
    exchange_every=st.integers(1, 6),
)
def test_total_stays_within_the_quota_during_partitions(
    demand, split_at, split_for, exchange_every
):
    clock = ManualClock()
    processes = [_Process(f"p{number}", clock) for number in range(4)]
    spent = []
    for step, requests in enumerate(demand):
        is_split = split_at <= step < split_at + split_for
        groups = [processes[:1], processes[1:]] if is_split else [processes]
        for group in groups:
            fraction = len(group) / len(processes)
            for process in group:
                for _ in range(requests):
                    if process.shares.take(ACCOUNT, UNITS, fraction) is None:
                        spent.append((step * STEP_S, UNITS))
            if step % exchange_every == 0:
                for process in group:
                    for other in group:
                        if other is not process:
                            spending = other.shares.spending()
                            process.shares.apply_spending(other.name, spending, includes_own=False)
        clock.advance(seconds(STEP_S))
    # Each of the other processes may also spend the bucket, and its refill, until reports arrive.
    overshoot = (len(processes) - 1) * (BURST + RATE * exchange_every * STEP_S)
    assert _most_in_a_window(spent) <= RATE * WINDOW_S + BURST + overshoot
