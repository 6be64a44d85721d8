"""Targets for leaving servers, partitions and leases, and baselines that miss them."""

import pytest

from cicadapond.experiments import lease, leaving, partition


@pytest.mark.parametrize("source", leaving.SOURCES)
def test_no_new_work_later_than_three_seconds_after_the_first_notice(source):
    requests, delays_seconds = leaving.run_leaving(source, seed=1)
    assert requests > 1000
    assert max(delays_seconds, default=0.0) <= leaving.TARGET_SECONDS


def test_the_host_list_alone_is_too_late():
    _, delays_seconds = leaving.run_leaving("cloud", seed=1, share_notices=False)
    assert max(delays_seconds) > leaving.TARGET_SECONDS


def test_views_agree_within_ten_seconds_of_the_heal():
    differences_before, foreign_servers, fewest_own_servers, differences, convergence_seconds = (
        partition.run_partition(seed=1)
    )
    assert differences_before == []
    assert foreign_servers == 0
    assert fewest_own_servers > 0
    assert differences > 0
    assert convergence_seconds <= partition.TARGET_SECONDS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_holders_orders_never_alternate_and_the_holder_changes(seed):
    report = lease.run_lease(seed)
    assert report.holders >= 3
    assert report.alternations == (0, 0)


def test_a_holder_that_does_not_check_before_each_order_is_caught():
    reports = [lease.run_lease(seed, check_each_order=False) for seed in range(1, 9)]
    assert sum(report.alternations[1] for report in reports) > 0
    assert all(report.alternations[0] == 0 for report in reports)
