"""Tests the holder's decisions on phases, without processes."""

import datetime

import attrs
import pytest

from cicadapond.kernel import seconds
from cicadapond.provider import version_in_era
from cicadapond.rollout import (
    ALL_ROUTES,
    ExposureBounds,
    Judgement,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutView,
    Verdict,
    next_state,
)

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
BOUNDS = ExposureBounds()
ORDER = RolloutOrder("chat", "v2", seconds(15), 7)
GOOD = Judgement(Verdict.GOOD, "good")
VIEW = RolloutView(10, 10, 5, 1, GOOD, {"chat": 1000}, 40, {"chat": 0.1}, START)
IDLE = attrs.evolve(VIEW, in_flight_old=0)


def state_in(phase, **changes):
    return attrs.evolve(RolloutState(ORDER, phase, START, START, share=0.05), **changes)


def step(order, state, at, view=VIEW):
    return next_state(order, state, view, BOUNDS, START + seconds(at))


def test_an_order_passes_all_phases():
    state, phases = None, []
    for number in range(60):
        view = attrs.evolve(VIEW, requests={"chat": 50 * number}, new_servers=10 * (number > 4))
        state = step(ORDER, state, number / 4, view)
        if not phases or phases[-1] is not state.phase:
            phases.append(state.phase)
    assert phases == [Phase.WAITING, Phase.TRIAL, Phase.SHIFT, Phase.COMPLETED]
    assert state.phase_since < state.ends_at - seconds(0.7)


def test_the_order_of_the_version_that_serves_alone_is_completed_at_once():
    assert step(ORDER, None, 0, attrs.evolve(VIEW, old_servers=0)).phase is Phase.COMPLETED


@pytest.mark.parametrize("phase", [Phase.WAITING, Phase.TRIAL, Phase.SHIFT])
def test_orders_change_while_one_runs(phase):
    # Guards against a restart for the same order, and against two rollouts at once.
    state = state_in(phase, shifted=("other",))
    same = step(attrs.evolve(ORDER, row_version=8), state, 0.1)
    assert (same.phase, same.started_at, same.order.row_version) == (phase, START, 8)
    withdrawn = step(None, state, 0.1)
    assert (withdrawn.phase, withdrawn.reason) == (Phase.ROLLED_BACK, "withdrawn")
    changed = RolloutOrder("chat", "v3", seconds(15), 8)
    ended = step(changed, state, 0.1)
    assert (ended.phase, ended.reason, ended.order.to) == (Phase.ROLLED_BACK, "superseded", "v2")
    view = attrs.evolve(VIEW, seen_at=START + seconds(0.1))
    begun = step(changed, ended, 0.35, view)
    assert (begun.phase, begun.barred, begun.order) == (Phase.WAITING, ("v2",), changed)
    assert begun.started_at == START + seconds(0.1)


@pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
def test_an_ended_order_stays_ended_until_its_row_is_written_again(phase):
    state = state_in(phase)
    assert step(ORDER, state, 9) is state
    assert step(None, state, 9) is state
    again = step(attrs.evolve(ORDER, row_version=9), state, 20)
    # Guards against a shift back to engines that stop, as the version carries the traffic.
    expected = Phase.COMPLETED if phase is Phase.COMPLETED else Phase.WAITING
    assert (again.phase, again.barred, again.order.row_version) == (expected, (), 9)


def test_an_ended_order_that_is_read_from_a_restored_store_does_not_begin_anew():
    restored = attrs.evolve(ORDER, row_version=version_in_era(1, ORDER.row_version))
    assert step(restored, state_in(Phase.ROLLED_BACK), 20).phase is Phase.ROLLED_BACK


def test_without_a_good_judgement_the_order_is_rolled_back_before_its_time_limit():
    doubtful = attrs.evolve(VIEW, judgement=Judgement(Verdict.CONTINUE, "few outcomes"))
    state = state_in(Phase.TRIAL)
    assert step(ORDER, state, 13.5, doubtful).phase is Phase.TRIAL
    ended = step(ORDER, state, 14.1, doubtful)
    assert ended.phase is Phase.ROLLED_BACK and "few outcomes" in ended.reason
    # Guards against streams that are cut although there is time to wait for them.
    shifting = step(ORDER, state, 14.1)
    assert (shifting.phase, shifting.shifted) == (Phase.SHIFT, (ALL_ROUTES,))
    assert step(ORDER, shifting, 14.25).phase is Phase.COMPLETED
    assert step(ORDER, state, 14.1, IDLE).phase is Phase.COMPLETED
    assert step(ORDER, state, 15.1).reason == "time limit"


def test_a_holder_whose_clock_is_behind_ends_the_order_before_its_time_limit():
    # Guards against a missed time limit when a process with another clock takes over.
    state = state_in(Phase.SHIFT, shifted=(ALL_ROUTES,))
    view = attrs.evolve(IDLE, seen_at=START - seconds(2.8))
    assert step(ORDER, state, 11.4, view).phase is Phase.COMPLETED
    assert step(ORDER, state, 11.0, view) == state


def test_an_order_without_engines_waits_until_its_time_limit():
    view = attrs.evolve(VIEW, new_servers=0)
    state = state_in(Phase.WAITING)
    assert step(ORDER, state, 10, view) is state
    assert step(ORDER, state, 14.5, view).reason == "no engine"


@pytest.mark.parametrize("phase", [Phase.WAITING, Phase.TRIAL, Phase.SHIFT])
def test_a_bad_version_is_rolled_back_in_each_phase(phase):
    bad = attrs.evolve(VIEW, judgement=Judgement(Verdict.BAD, "failed", {"n": 1}))
    ended = step(ORDER, state_in(phase), 3, bad)
    assert (ended.phase, ended.reason, ended.judged) == (Phase.ROLLED_BACK, "failed", {"n": 1})


def test_long_streams_shift_first_and_completion_waits_for_them():
    # Guards against streams that are cut off when the old engines stop.
    view = attrs.evolve(VIEW, requests={"chat": 400, "long": 40})
    view = attrs.evolve(view, durations={"chat": 0.05, "long": 0.8})
    state = step(ORDER, state_in(Phase.TRIAL), 12.4, view)
    assert state.shifted == ("long",)
    state = step(ORDER, state, 13.3, view)
    assert state.shifted == (ALL_ROUTES,)
    assert step(ORDER, state, 13.8, view).phase is Phase.SHIFT
    idle = attrs.evolve(view, in_flight_old=0)
    # Other processes may have sent requests to old servers since they reported.
    assert step(ORDER, state, 13.8, idle).phase is Phase.SHIFT
    assert step(ORDER, state, 13.8, attrs.evolve(idle, old_servers=0)).phase is Phase.COMPLETED
    assert step(ORDER, state, 14.0, idle).phase is Phase.COMPLETED
    assert step(ORDER, state, 14.2, view) is state
    assert step(ORDER, state, 14.25, view).phase is Phase.COMPLETED


def test_a_row_survives_writing_and_garbage_is_no_state():
    state = state_in(Phase.SHIFT, shifted=("a",), barred=("v0",), judged={"n": 2}, reason="r")
    assert RolloutState.read_row(state.as_row()) == state
    broken = [{**state.as_row(), "phase": "x"}, {**state.as_row(), "started_at": "y"}]
    broken += [None, 3, [], {}, {**state.as_row(), "to": 1}, {**state.as_row(), "share": 2}]
    # Guards against an error in each request of the service for a time limit out of range.
    broken += [{**state.as_row(), "duration_s": each} for each in (1e13, -5.0, 0, None)]
    assert [RolloutState.read_row(row) for row in broken] == [None] * len(broken)


def test_the_trial_waits_until_all_processes_take_part():
    # Guards against a trial on top of what earlier builds send, which know no rollouts.
    mixed = attrs.evolve(VIEW, absent=2)
    state = step(ORDER, state_in(Phase.WAITING), 3, mixed)
    assert (state.phase, state.reason) == (
        Phase.WAITING,
        "2 processes do not take part in rollouts",
    )
    assert step(ORDER, state, 3.25, mixed) is state
    assert step(ORDER, state, 3.5).phase is Phase.TRIAL
    ended = step(ORDER, state, 14.1, mixed)
    assert (ended.phase, ended.reason) == (Phase.ROLLED_BACK, state.reason)
