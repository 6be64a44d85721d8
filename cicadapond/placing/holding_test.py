"""Holding: what a caller gets of it while engines are short."""

import heapq
import random

import attrs

from cicadapond.kernel import seconds
from cicadapond.placing import should_hold

OBJECTIVE, LIMIT = seconds(0.4), seconds(3)
ENGINES = 3
STEP_S = 0.04


@attrs.define
class Outcome:
    in_time: int = 0
    late: int = 0
    longest_s: float = 0.0


def play(with_holding: bool, load: float, seed: int = 1) -> Outcome:
    """Plays 20 s of prompts, with a shortage from 5 s to 11 s at a multiple of the capacity."""
    rng = random.Random(seed)
    free_at = [0.0] * ENGINES
    arrivals = []
    at = 0.0
    while at < 20.0:
        now_load = load if 5.0 <= at < 11.0 else 0.5
        at += rng.expovariate(now_load * ENGINES / 0.05)
        # One in ten prompts takes half of the reading.
        arrivals.append((at, 0.25 if rng.random() < 0.1 else 0.028))
    waiting = [(at, number, at, work) for number, (at, work) in enumerate(arrivals)]
    heapq.heapify(waiting)
    outcome = Outcome()
    while waiting:
        now, number, came, work = heapq.heappop(waiting)
        engine = min(range(ENGINES), key=free_at.__getitem__)
        expected = max(0.0, free_at[engine] - now) + work
        held = now - came
        if with_holding and should_hold(seconds(expected), OBJECTIVE, seconds(held), LIMIT):
            heapq.heappush(waiting, (now + STEP_S, number, came, work))
            continue
        free_at[engine] = max(free_at[engine], now) + work
        took = free_at[engine] - came
        outcome.in_time += took <= OBJECTIVE.total_seconds()
        outcome.late += took > OBJECTIVE.total_seconds()
        outcome.longest_s = max(outcome.longest_s, took)
    return outcome


def test_more_callers_are_in_time_through_a_shortage():
    for seed in range(5):
        plain, holding = play(False, 1.3, seed), play(True, 1.3, seed)
        assert holding.in_time > plain.in_time
        assert holding.longest_s < plain.longest_s + 0.2


def test_nothing_is_held_while_engines_suffice():
    plain, holding = play(False, 0.6), play(True, 0.6)
    assert abs(plain.in_time - holding.in_time) <= 0.005 * plain.in_time


def test_a_request_that_can_be_in_time_is_never_held():
    assert not should_hold(seconds(0.39), OBJECTIVE, seconds(0), LIMIT)


def test_no_request_is_held_for_longer_than_its_share():
    assert should_hold(seconds(30), OBJECTIVE, seconds(0.89), LIMIT)
    assert not should_hold(seconds(30), OBJECTIVE, seconds(0.9), LIMIT)
    assert not should_hold(seconds(30), OBJECTIVE, seconds(1.2), seconds(60))


def test_the_longer_a_request_is_held_the_longer_a_queue_it_accepts():
    assert should_hold(seconds(1.0), OBJECTIVE, seconds(0.1), LIMIT)
    assert not should_hold(seconds(1.0), OBJECTIVE, seconds(0.5), LIMIT)
