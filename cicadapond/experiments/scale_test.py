"""The fit finds known slopes, and the slopes are measured on processes that know each other."""

import pytest

from cicadapond.experiments.scale import FULL, first_limit_table, fit, models, relayed_on_average
from cicadapond.experiments.slopes import (
    MEMBER_CASES,
    SERVER_CASES,
    ZONE_CASES,
    Case,
    Cost,
    _expect_prompt_loop,
)
from cicadapond.kernel import seconds

CASES = MEMBER_CASES + SERVER_CASES + ZONE_CASES


def made_up(case):
    others, remote = case.members - 1, (case.zones - 1) * case.members
    relayed = relayed_on_average(case)
    return 0.1 + 0.02 * others + 0.0001 * others * case.servers + 0.001 * remote + 0.05 * relayed


def test_known_slopes_are_found():
    model = fit([(case, made_up(case)) for case in CASES])
    assert model.weights == pytest.approx((0.1, 0.02, 0.0001, 0.001, 0.05))
    assert model.at(FULL, relayed_on_average(FULL)) == pytest.approx(made_up(FULL))


def test_the_first_limit_is_the_tightest():
    fits = models([(c, Cost(made_up(c) / 100, 0.0, 0.0, 1.0, 1.0)) for c in CASES])
    rows = {row[0]: row[2] for row in first_limit_table(fits).rows}
    cpu = rows["CPU, % of a core"]
    assert cpu < rows["KB kept"]
    assert made_up(FULL) < 1.9
    assert cpu > FULL.members


def test_a_saturated_loop_gives_no_figure_and_says_why():
    _expect_prompt_loop(Case(1, 48, 60), seconds(0.1))
    with pytest.raises(RuntimeError, match="one core does not carry 64 members"):
        _expect_prompt_loop(Case(1, 64, 60), seconds(1.2))
