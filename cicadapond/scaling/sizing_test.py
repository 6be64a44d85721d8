"""Sizes by waiting time: small services need proportionally more engines than large ones."""

import pytest

from cicadapond.kernel import ManualClock, seconds
from cicadapond.scaling import Demand, DemandMeter, PromptTimes, Waiting

SHORT = Waiting(seconds(0.4), 32, PromptTimes(0.03, 0.8), 1.0)


def test_a_single_engine_is_not_fully_utilised():
    """With a demand of 1.0 one engine counted as enough; its queue grew without bound."""
    assert SHORT.servers_for(Demand(1.0, 0.0)) == 2
    assert SHORT.servers_for(Demand(0.3, 0.0)) == 1


def test_many_engines_are_utilised_more():
    assert SHORT.servers_for(Demand(15.0, 0.0)) <= 18
    assert SHORT.servers_for(Demand(0.0, 9.0)) <= 11


@pytest.mark.parametrize("demand", [0.5, 1.0, 2.5, 4.0, 9.0, 30.0])
def test_tighter_objectives_and_longer_prompts_need_more(demand):
    few = SHORT.servers_for(Demand(demand, 0.0))
    tight = Waiting(seconds(0.1), 32, PromptTimes(0.03, 0.8), 1.0)
    long = Waiting(seconds(0.4), 32, PromptTimes(0.3, 1.0), 1.0)
    assert demand < few <= tight.servers_for(Demand(demand, 0.0))
    assert few <= long.servers_for(Demand(demand, 0.0))


def test_unknown_times_and_extreme_ones_give_a_finite_number():
    for waiting in (
        Waiting(seconds(0.4), 1),
        Waiting(seconds(0.001), 1, PromptTimes(5.0, 50.0), 60.0),
        Waiting(seconds(0.4), 64, PromptTimes(0.02, 0.0), None),
    ):
        assert waiting.servers_for(Demand(0.0, 0.0)) == 1
        assert 20 <= waiting.servers_for(Demand(20.0, 20.0)) <= 400


def test_the_times_of_requests_are_measured():
    clock = ManualClock()
    meter = DemandMeter(clock)
    assert meter.prompt_times("pool") is None
    assert meter.stay_s("pool") is None
    for step in range(300):
        meter.add_prefill("pool", seconds(0.02 if step % 2 else 0.12), 1000)
        meter.begin("pool")
        clock.advance(seconds(0.1))
        if step >= 10:
            meter.end("pool")
    times = meter.prompt_times("pool")
    assert 0.06 < times.mean_s < 0.08
    assert 0.4 < times.variation < 0.6
    assert 0.9 < meter.stay_s("pool") < 1.2
