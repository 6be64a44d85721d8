"""The model of the time to the first event: accurate on engines of any speed, and robust."""

import random
import statistics

import pytest

from cicadapond.placing._first_event import INITIAL, FirstEventModel, Prompt

# Constant (ms), prefill (ms per 1,000 tokens), attention (ms per million pairs), wait per queued ms
# and cost of a running request (ms) of three kinds of engines.
ENGINES = {
    "fast": (8.0, 9.9, 0.18, 1.0, 0.5),
    "slow": (45.0, 15.6, 0.65, 1.0, 1.2),
    "very slow": (90.0, 60.0, 2.0, 1.3, 4.0),
}


def draw(rng):
    new = rng.choice((rng.uniform(50, 900), rng.uniform(500, 4000), rng.uniform(2000, 15000)))
    queued_ms = rng.choice((0.0, 0.0, rng.uniform(0, 200)))
    return Prompt(round(new), round(rng.uniform(0, 6000))), queued_ms, rng.randrange(12)


def true_ms(engine, prompt, queued_ms, running, rng):
    thousands, pairs = prompt.features()
    features = (1.0, thousands, pairs, queued_ms, running)
    exact = sum(c * x for c, x in zip(ENGINES[engine], features, strict=True))
    return exact * rng.lognormvariate(0.0, 0.1)


def errors(model, engine, count, rng, name="e", slowness=1.0):
    found = []
    for _ in range(count):
        prompt, queued_ms, running = draw(rng)
        took = slowness * true_ms(engine, prompt, queued_ms, running, rng)
        expected = model.predict(name, model.prefill_ms(prompt), queued_ms, running)
        found.append(abs(expected - took) / took)
        model.observe(name, prompt, queued_ms, running, took)
    return sorted(found)


@pytest.mark.parametrize("engine", ENGINES)
def test_the_error_is_small_after_some_answers(engine):
    rng, model = random.Random(7), FirstEventModel()
    errors(model, engine, 60, rng)
    found = errors(model, engine, 500, rng)
    assert statistics.median(found) < 0.15
    assert found[int(0.95 * len(found))] < 0.6


def test_lost_packets_and_frozen_engines_change_little():
    rng, model = random.Random(7), FirstEventModel()
    errors(model, "slow", 200, rng)
    for _ in range(10):
        prompt, queued_ms, running = draw(rng)
        model.observe("e", prompt, queued_ms, running, 5000.0)
        errors(model, "slow", 10, rng)
    assert statistics.median(errors(model, "slow", 200, rng)) < 0.2


def test_a_slow_engine_is_told_from_the_others_of_its_service():
    rng, model = random.Random(7), FirstEventModel()
    for _ in range(60):
        errors(model, "fast", 3, rng, name="a")
        errors(model, "fast", 1, rng, name="b", slowness=5.0)
    same = (model.prefill_ms(Prompt(3000, 0)), 0.0, 4)
    assert model.predict("b", *same) > 3 * model.predict("a", *same)
    model.remove("b")
    assert model.predict("b", *same) < 2 * model.predict("a", *same)


def test_coefficients_stay_within_bounds_whatever_is_observed():
    rng, model = random.Random(3), FirstEventModel()
    for _ in range(2000):
        took_ms = rng.choice((0.0, 1e-6, 1e9, 30.0))
        model.observe("e", Prompt(rng.randrange(10**6), 0), 0.0, rng.randrange(100), took_ms)
    expected = model.predict("e", model.prefill_ms(Prompt(1000, 0)), 10.0, 3)
    assert 0.0 < expected < 1e6
    assert len(model.coefficients) == len(INITIAL)
