"""Holding requests back: its effect on answer times while engines are overloaded."""

import heapq
import random

import attrs

from cicadapond.kernel import seconds
from cicadapond.placing import should_hold

OBJECTIVE, LIMIT = seconds(0.4), seconds(3)
ENGINES = 3
HOLD_STEP_S = 0.04


@attrs.define
class Outcome:
    in_time: int = 0
    late: int = 0
    longest_s: float = 0.0


def simulate(with_holding: bool, load: float, seed: int = 1) -> Outcome:
    """Simulates 20 s of prompts: half the capacity, from 5 s to 11 s `load` times the capacity."""
    rng = random.Random(seed)
    engine_free_at = [0.0] * ENGINES
    arrivals = []
    arrival = 0.0
    while arrival < 20.0:
        current_load = load if 5.0 <= arrival < 11.0 else 0.5
        arrival += rng.expovariate(current_load * ENGINES / 0.05)
        # One in ten prompts makes up about half of the prefill.
        arrivals.append((arrival, 0.25 if rng.random() < 0.1 else 0.028))
    waiting = [(arrival, number, arrival, work) for number, (arrival, work) in enumerate(arrivals)]
    heapq.heapify(waiting)
    outcome = Outcome()
    while waiting:
        now, number, arrived, work = heapq.heappop(waiting)
        engine = min(range(ENGINES), key=engine_free_at.__getitem__)
        expected = max(0.0, engine_free_at[engine] - now) + work
        held = now - arrived
        if with_holding and should_hold(seconds(expected), OBJECTIVE, seconds(held), LIMIT):
            heapq.heappush(waiting, (now + HOLD_STEP_S, number, arrived, work))
            continue
        engine_free_at[engine] = max(engine_free_at[engine], now) + work
        elapsed = engine_free_at[engine] - arrived
        outcome.in_time += elapsed <= OBJECTIVE.total_seconds()
        outcome.late += elapsed > OBJECTIVE.total_seconds()
        outcome.longest_s = max(outcome.longest_s, elapsed)
    return outcome


def test_more_requests_are_in_time_during_an_overload():
    for seed in range(5):
        baseline, holding = simulate(False, 1.3, seed), simulate(True, 1.3, seed)
        assert holding.in_time > baseline.in_time
        assert holding.longest_s < baseline.longest_s + 0.2


def test_nothing_is_held_while_capacity_suffices():
    baseline, holding = simulate(False, 0.6), simulate(True, 0.6)
    assert abs(baseline.in_time - holding.in_time) <= 0.005 * baseline.in_time


def test_a_request_that_can_be_in_time_is_never_held():
    assert not should_hold(seconds(0.39), OBJECTIVE, seconds(0), LIMIT)


def test_no_request_is_held_beyond_its_maximum():
    assert should_hold(seconds(30), OBJECTIVE, seconds(0.89), LIMIT)
    assert not should_hold(seconds(30), OBJECTIVE, seconds(0.9), LIMIT)
    assert not should_hold(seconds(30), OBJECTIVE, seconds(1.2), seconds(60))


def test_the_longer_a_request_is_held_the_longer_a_queue_it_accepts():
    assert should_hold(seconds(1.0), OBJECTIVE, seconds(0.1), LIMIT)
    assert not should_hold(seconds(1.0), OBJECTIVE, seconds(0.5), LIMIT)
