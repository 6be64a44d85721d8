"""Targets for moving, quarantine and routing, on small versions of the experiments."""

import pytest

from cicadapond.experiments.poison import run_poison
from cicadapond.experiments.reclaim import ReclaimSize, run_reclaim
from cicadapond.experiments.routing import run_routing

SMALL = ReclaimSize(
    leaving=2,
    surviving=3,
    streams=24,
    background_streams=6,
    prompt_words=(300, 900),
    answer_tokens=(750, 900),
)


def test_export_recomputes_ten_times_less_than_restart_and_three_times_less_than_replay():
    base = run_reclaim(1, None, size=SMALL)
    recomputed = {}
    for policy in ("restart", "replay", "export"):
        report = run_reclaim(1, policy, 20.0, SMALL)
        assert report.completed == report.streams
        recomputed[policy] = report.computed_tokens - base.computed_tokens
    assert recomputed["export"] > 0
    assert recomputed["restart"] >= 10 * recomputed["export"]
    assert recomputed["replay"] >= 3 * recomputed["export"]


@pytest.mark.parametrize("entries", [1, 3])
def test_a_poison_prompt_resent_forever_causes_at_most_two_crashes(entries):
    report = run_poison(1, entries=entries)
    assert report.crashes <= 2
    assert report.completed == report.good_streams
    assert report.quarantined == 1
    assert report.poison_answers > 1


def test_without_a_quarantine_the_poison_prompt_keeps_crashing_engines():
    assert run_poison(1, quarantine_enabled=False).crashes > 2


def test_the_scored_policy_recomputes_less_than_the_baselines():
    reports = {
        policy: run_routing(1, policy, load_seconds=10.0)
        for policy in ("round-robin", "least-in-flight", "scored")
    }
    assert all(report.completed == report.requests for report in reports.values())
    scored = reports.pop("scored")
    assert all(scored.recomputed < report.recomputed for report in reports.values())
