"""Usage: windows of UTC time, and counts of restarted processes."""

import datetime

from cicadapond.kernel import seconds
from cicadapond.usage import EPOCH, UsageLedger, UsageWindows


def test_windows_count_from_the_unix_epoch():
    usage = UsageWindows(seconds(5))
    assert usage.number(EPOCH + seconds(14.9)) == 2
    assert usage.end(2) == EPOCH + seconds(15)


def test_requests_count_in_the_window_in_which_they_started():
    usage = UsageWindows(seconds(5))
    at = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    for offset in (0.0, 4.9, 5.0):
        usage.count("acme", at + seconds(offset))
    first = usage.number(at)
    assert usage.counts() == {first: {"acme": 2}, first + 1: {"acme": 1}}


def test_only_the_newest_windows_are_kept():
    usage = UsageWindows(seconds(5))
    for number in range(20):
        usage.count("acme", EPOCH + number * seconds(5))
    assert list(usage.counts()) == list(range(12, 20))


def test_counts_reported_before_a_restart_still_count():
    ledger = UsageLedger()
    ledger.merge("p1/100", {7: {"acme": 5}})
    ledger.merge("p1/100", {7: {"acme": 6}})
    ledger.merge("p1/200", {7: {"acme": 2}})
    ledger.merge("p2/100", {7: {"acme": 1, "other": 0}})
    ledger.merge("p3/100", {7: {"acme": 10}})
    assert ledger.total(7) == {"acme": 19}
    assert ledger.total(8) == {}
    assert ledger.totals() == {7: {"acme": 19}}
    assert ledger.counts("p1/100") == {7: {"acme": 6}}
    assert ledger.sources() == {"p1/100", "p1/200", "p2/100", "p3/100"}


def test_reports_that_are_late_or_repeated_change_nothing():
    ledger = UsageLedger()
    ledger.merge("p1", {7: {"acme": 6, "other": 1}})
    ledger.merge("p1", {7: {"acme": 5}})
    ledger.merge("p1", {7: {"acme": 6, "other": 1}})
    assert ledger.total(7) == {"acme": 6, "other": 1}


def test_packed_counts_are_merged_by_the_highest_of_each_source():
    holder, successor = UsageLedger(), UsageLedger()
    holder.merge("p2", {6: {"acme": 1}, 7: {"acme": 3, "other": 2}, 3: {"acme": 9}})
    holder.merge("p1", {7: {"acme": 5}, 8: {"new": 1}})
    successor.merge("p2", {7: {"acme": 4, "other": 2}})
    successor.merge_packed(holder.pack(newest=8, windows=3))
    assert successor.total(6) == {"acme": 1}
    assert successor.total(7) == {"acme": 9, "other": 2}
    assert successor.total(8) == {"new": 1}
    assert successor.total(3) == {}
