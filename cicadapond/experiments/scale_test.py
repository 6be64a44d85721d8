"""The fit recovers known slopes, and a saturated event loop fails the measurement."""

import pytest

from cicadapond.experiments.scale import (
    TARGET_CASE,
    fit,
    fit_figures,
    limits_table,
    mean_relayed_zones,
)
from cicadapond.experiments.slopes import (
    MEMBER_CASES,
    SERVER_CASES,
    ZONE_CASES,
    Case,
    Cost,
    _check_loop_lag,
)
from cicadapond.kernel import seconds

CASES = MEMBER_CASES + SERVER_CASES + ZONE_CASES


def synthetic_cost(case):
    others, remote = case.members - 1, (case.zones - 1) * case.members
    relayed_zones = mean_relayed_zones(case)
    return (
        0.1 + 0.02 * others + 0.0001 * others * case.servers + 0.001 * remote + 0.05 * relayed_zones
    )


def test_known_slopes_are_found():
    model = fit([(case, synthetic_cost(case)) for case in CASES])
    assert model.weights == pytest.approx((0.1, 0.02, 0.0001, 0.001, 0.05))
    assert model.predict(TARGET_CASE, mean_relayed_zones(TARGET_CASE)) == pytest.approx(
        synthetic_cost(TARGET_CASE)
    )


def test_the_first_limit_is_the_tightest():
    fits = fit_figures([(c, Cost(synthetic_cost(c) / 100, 0.0, 0.0, 1.0, 1.0)) for c in CASES])
    rows = {row[0]: row[2] for row in limits_table(fits).rows}
    cpu = rows["CPU, % of a core"]
    assert cpu < rows["KB kept"]
    assert synthetic_cost(TARGET_CASE) < 1.9
    assert cpu > TARGET_CASE.members


def test_a_saturated_loop_gives_no_figure_and_says_why():
    _check_loop_lag(Case(1, 48, 60), seconds(0.1))
    with pytest.raises(RuntimeError, match="one core does not carry 64 members"):
        _check_loop_lag(Case(1, 64, 60), seconds(1.2))
