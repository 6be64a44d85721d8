"""A small overload: fair admission meets the targets, and fifo misses them."""

import functools

from cicadapond.experiments.overload import OverloadSettings, run_overload

LEAST_SMALL_SHARE = 0.9
FIRST_TOKEN_TARGET_SECONDS = 0.32
RECOVERY_TARGET_SECONDS = 5
SMALL = OverloadSettings(engines=2, calm_seconds=2, load_seconds=15, after_seconds=9)


@functools.cache
def result(policy):
    return run_overload(policy, SMALL, seed=1)


def test_fair_admission_meets_the_targets():
    found = result("fair")
    assert found.small_share >= LEAST_SMALL_SHARE
    assert found.first_token <= FIRST_TOKEN_TARGET_SECONDS
    assert found.recovery is not None
    assert found.recovery <= RECOVERY_TARGET_SECONDS


def test_fifo_misses_each_of_them():
    found = result("fifo")
    assert found.small_share < LEAST_SMALL_SHARE
    assert found.first_token > FIRST_TOKEN_TARGET_SECONDS
    assert found.recovery is None or found.recovery > RECOVERY_TARGET_SECONDS


def test_the_same_seed_gives_the_same_run():
    tiny = OverloadSettings(engines=1, slots=2, calm_seconds=1, load_seconds=2, after_seconds=3)
    assert run_overload("fair", tiny, 7) == run_overload("fair", tiny, 7)
