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
    ledger.record_report("p1", 100, {7: {"acme": 5}})
    ledger.record_report("p1", 100, {7: {"acme": 6}})
    ledger.record_report("p1", 200, {7: {"acme": 2}})
    ledger.record_report("p2", 100, {7: {"acme": 1, "other": 0}})
    assert ledger.total(7, {7: {"acme": 10}}) == {"acme": 19}
    assert ledger.total(8, {}) == {}


def test_unpack_merges_packed_counts_except_those_of_the_own_start():
    holder, successor = UsageLedger(), UsageLedger()
    holder.record_report("p2", 100, {6: {"acme": 1}, 7: {"acme": 3, "other": 2}, 3: {"acme": 9}})
    successor.record_report("p2", 100, {7: {"acme": 4, "other": 2}})
    packed = holder.pack(("p1", 50, {7: {"acme": 5}, 8: {"new": 1}}), newest=8, windows=3)
    successor.merge_packed(packed, ("p3", 1))
    assert successor.total(6, {}) == {"acme": 1}
    assert successor.total(7, {}) == {"acme": 9, "other": 2}
    assert successor.total(8, {}) == {"new": 1}
    assert successor.total(3, {}) == {}
    same_start = UsageLedger()
    same_start.merge_packed(packed, ("p1", 50))
    assert same_start.total(7, {7: {"acme": 5}}) == {"acme": 8, "other": 2}
