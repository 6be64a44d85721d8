"""Tests of a process's part of a rate limit."""

import datetime

from cicadapond.gateway._shared_rate import RateShares, SharedRate
from cicadapond.kernel import ManualClock

SHARES = RateShares(lasting=0.1, peak=0.4, burst=16)
PROCESSES, PER_SECOND = 195, 2000.0


def spend(rate, clock, calls):
    """Makes calls as soon as they are permitted."""
    for _ in range(calls):
        clock.advance(max(datetime.timedelta(), rate.next_at() - clock.monotonic()))
        rate.record_call()


def test_a_process_that_hears_fewer_others_need_not_wait_longer():
    """Guards against LOST at a process that is cut off: it made no lookups for up to 16 s."""
    clock, count = ManualClock(), [PROCESSES]
    rate = SharedRate(clock, PER_SECOND, SHARES, lambda: count[0])
    spend(rate, clock, 2 * SHARES.burst)
    before = rate.next_at()
    count[0] = 1
    assert rate.next_at() <= before
    assert rate.next_at() - clock.monotonic() <= rate.interval(SHARES.lasting)


def test_calls_come_at_the_peak_rate_and_then_at_the_lasting_one():
    clock = ManualClock()
    rate = SharedRate(clock, PER_SECOND, SHARES, lambda: PROCESSES)
    begun = clock.monotonic()
    spend(rate, clock, SHARES.burst + 1)
    assert clock.monotonic() - begun == SHARES.burst * rate.interval(SHARES.peak)
    spend(rate, clock, 10)
    begun = clock.monotonic()
    spend(rate, clock, 10)
    took = clock.monotonic() - begun
    assert abs(took - 10 * rate.interval(SHARES.lasting)) < datetime.timedelta(milliseconds=1)
