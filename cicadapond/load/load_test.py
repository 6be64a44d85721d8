"""Tests of arrival processes, mixes and load reports."""

import random

import pytest

from cicadapond.load import LoadReportFile, arrivals, merge_reports, mixes
from cicadapond.load._arrivals import ArrivalSettings


@pytest.mark.parametrize("name", ["uniform", "poisson", "burst"])
def test_arrivals_keep_their_mean_rate_and_order(name):
    times = arrivals.create(name).times(ArrivalSettings(50.0, 200.0), random.Random(7))
    assert times == sorted(times)
    assert 8_500 < len(times) < 11_500


def test_bursts_are_burstier_than_poisson():
    def variance_of_seconds(name):
        times = arrivals.create(name).times(ArrivalSettings(50.0, 400.0), random.Random(7))
        counts = [0] * 401
        for time in times:
            counts[int(time)] += 1
        mean = sum(counts) / len(counts)
        return sum((count - mean) ** 2 for count in counts) / len(counts)

    assert variance_of_seconds("burst") > 5 * variance_of_seconds("poisson")


def test_a_trace_is_sent_as_recorded(tmp_path):
    path = tmp_path / "trace.txt"
    path.write_text("0.5\n0.1\n9.0\n")
    cfg = ArrivalSettings(1.0, 5.0, trace=str(path))
    assert arrivals.create("trace").times(cfg, random.Random(1)) == [0.1, 0.5]


def test_a_mix_is_the_same_for_the_same_seed():
    def calls(seed):
        rng = random.Random(seed)
        mix = mixes.create("day")
        return [mix.call(number, rng) for number in range(50)]

    assert calls(3) == calls(3)
    assert {call.kind for call in calls(3)} == {"question", "stock", "planogram", "reorder"}


def test_reports_are_merged_without_loss(tmp_path):
    reports = []
    for number in range(2):
        report = LoadReportFile(seconds=1.0)
        for step in range(100):
            report.record("question whole", (number * 100 + step + 1) / 1000)
        report.count("question 200")
        path = tmp_path / f"{number}.json"
        path.write_text(report.to_json())
        reports.append(LoadReportFile.from_file(str(path)))
    merged = merge_reports(reports)
    assert merged.outcomes == {"question 200": 2}
    histogram = merged.histograms["question whole"]
    assert histogram.get_total_count() == 200
    assert histogram.get_value_at_percentile(50) == pytest.approx(100_000, rel=0.001)
