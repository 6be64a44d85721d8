"""Tests of evidence of rollouts in reports: the sum of a data centre counts each run once."""

import datetime

from cicadapond.gateway._reports import Report, ZoneReports, read_report
from cicadapond.gateway._run_totals import RUN_RETENTION, RunTotals
from cicadapond.kernel import seconds

NOW = seconds(100)
TOTALS = {"pool 7 new stream low": (20, 3), "pool 7 old stream low": (180, 0)}


def test_totals_survive_the_way_between_processes():
    assert read_report(Report(rollouts=TOTALS).as_items()).rollouts == TOTALS


def test_a_report_of_the_build_before_has_no_totals_and_unknown_kinds_are_ignored():
    items = Report().as_items() | {"y something": [1, "two"], "zz": {}}
    assert read_report(items) == Report()


def test_a_report_with_malformed_totals_is_dropped_whole():
    assert read_report(Report().as_items() | {"v pool": ["x"]}) is None


def test_a_hub_keeps_the_totals_of_ended_runs_and_counts_a_restarted_process_anew():
    reports = ZoneReports("edge-1/1", seconds(3), seconds(20))
    reports.record("edge-1/1", Report(1, rollouts={"k": (5, 1)}), NOW)
    reports.record("edge-2/1", Report(1, rollouts={"k": (4, 4)}), NOW)
    reports.record("edge-2/1", Report(2, rollouts={"k": (6, 5)}), NOW)
    reports.record_ended("edge-2/1")
    reports.record("edge-2/9", Report(1, rollouts={"k": (1, 0)}), NOW)
    later = NOW + seconds(60)
    assert reports.total({}, later).rollouts == {"k": (12, 6)}


def test_a_run_that_was_silent_is_not_counted_twice():
    totals = RunTotals()
    totals.record("a/1", {"k": (5, 1)}, NOW)
    totals.record("b/1", {"k": (1, 0, 7)}, NOW)
    totals.record("a/1", {"k": (6, 1)}, NOW + seconds(300))
    assert totals.sums(NOW + seconds(300)) == {"k": (7, 1, 7)}


def test_totals_that_are_reported_no_more_end():
    totals = RunTotals()
    totals.record("a/1", {"k": (5, 1), "old": (1, 1)}, NOW)
    totals.record("a/1", {"k": (5, 1)}, NOW)
    assert totals.sums(NOW) == {"k": (5, 1)}
    assert totals.sums(NOW + RUN_RETENTION + datetime.timedelta(seconds=1)) == {}
