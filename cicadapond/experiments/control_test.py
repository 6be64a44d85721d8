"""Targets for reclaim waves and planned stops, and baselines that miss them."""

from cicadapond.experiments.rolling import IdleReportingEngine, ImmediateDrains, run_rolling
from cicadapond.experiments.waves import FIRST_TOKEN_TARGET, RECLAIMED_SHARE, WavePhases, run_wave
from cicadapond.kernel import seconds

QUICK = WavePhases(seconds(150), seconds(250), seconds(60), seconds(240))
TARGET_SECONDS = FIRST_TOKEN_TARGET.total_seconds()


def test_a_wave_loses_nothing_and_the_cheapest_mix_holds_the_target():
    report = run_wave(seed=1, policy="cheapest-mix", phases=QUICK)
    assert report.reclaimed >= RECLAIMED_SHARE * report.hosts - 1
    assert report.lost == 0
    assert report.quiet.quantile(0.95) <= TARGET_SECONDS
    assert report.wave.quantile(0.95) <= TARGET_SECONDS


def test_the_cheapest_zone_alone_misses_the_target_in_a_wave():
    report = run_wave(seed=1, policy="cheapest-zone", phases=QUICK)
    assert report.wave.quantile(0.95) > TARGET_SECONDS


def test_a_version_change_and_a_scale_down_cut_off_nothing():
    report = run_rolling(seed=1)
    assert report.tally.cut_off == 0
    assert report.lost == 0
    assert report.old_version_serving == 0
    assert report.hosts_after < report.hosts_before
    assert report.fewest_serving > 0


def test_unannounced_drains_cut_requests_off():
    assert run_rolling(1, ImmediateDrains, IdleReportingEngine).tally.cut_off > 0
