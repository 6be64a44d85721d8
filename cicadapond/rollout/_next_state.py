"""The holder's decision on the phase of a rollout.

It answers the load of a service while a new version of its servers takes over its traffic.  All
that it needs is in the state and in what each process hears, so that any process may go on.
"""

import datetime

import attrs

from cicadapond.rollout._data import (
    ALL_ROUTES,
    ExposureBounds,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutView,
    Verdict,
)
from cicadapond.rollout._plan import MIN_SHIFT, Plan, forced_at, make_plan

# The shortest wait before the trial, in which the rate of requests is learned and the state reaches
# all processes.
MIN_WAIT = datetime.timedelta(milliseconds=500)
# A changed share is written only if it differs by this factor, to spare the store.
SHARE_STEP = 1.3
# The share stays as it is in this last part of an order's duration.
SHARE_FIXED_PART = 0.12
# How many versions that were rolled back earlier are remembered.
MAX_BARRED = 8


def next_state(
    order: RolloutOrder | None,
    state: RolloutState | None,
    view: RolloutView,
    bounds: ExposureBounds,
    now: datetime.datetime,
) -> RolloutState | None:
    """Returns the state that follows.

    Args:
      order: The order in force, None if there is none.
      state: The last state written, None if there is none.
      view: What the holder sees.
      bounds: What a bad version may receive.
      now: The time.

    Returns:
      The state to write; `state` itself if nothing changes, None if there never was an order.
    """
    if state is None or state.phase.has_ended:
        if order is None:
            return state
        if state is not None and order.repeats(state.order):
            return state if order == state.order else attrs.evolve(state, order=order)
        return _begin(order, state, view, now)
    if order is None:
        return _moved(state, Phase.ROLLED_BACK, "withdrawn", view, now)
    if not order.asks_the_same(state.order):
        return _moved(state, Phase.ROLLED_BACK, "superseded", view, now)
    if order.row_version != state.order.row_version:
        state = attrs.evolve(state, order=order)
    if view.judgement.verdict is Verdict.BAD:
        return _moved(state, Phase.ROLLED_BACK, view.judgement.reason, view, now)
    if view.seen_at is not None:
        # The clock of the host that wrote the state may be ahead of this one's.
        now = max(now, state.started_at + (now - view.seen_at))
    plan = make_plan(state, view, bounds, now)
    if now >= max(plan.complete_at, state.completes_at or plan.complete_at):
        return _at_limit(state, view, now)
    if state.phase is Phase.WAITING:
        return _wait(state, view, plan, now)
    return _advance(state, view, plan, now)


def _begin(order, state, view, now):
    started_at = min(now, view.seen_at or now)
    barred = ()
    if state is not None:
        rolled_back = (state.order.to,) if state.phase is Phase.ROLLED_BACK else ()
        kept = (version for version in state.barred + rolled_back if version != order.to)
        barred = tuple(dict.fromkeys(kept))[-MAX_BARRED:]
    # Old engines may still be listed for some seconds after a rollout was completed.
    is_serving = state is not None and state.phase is Phase.COMPLETED and state.order.to == order.to
    serves_alone = view.new_servers > 0 and (view.old_servers == 0 or is_serving)
    phase = Phase.COMPLETED if serves_alone else Phase.WAITING
    reason = "the version serves alone" if serves_alone else ""
    return RolloutState(order, phase, started_at, now, reason, barred=barred)


def _moved(state, phase, reason, view, now, **changes):
    return attrs.evolve(
        state,
        phase=phase,
        phase_since=now,
        reason=reason,
        judged=view.judgement.evidence,
        **changes,
    )


def _at_limit(state, view, now):
    if state.phase is Phase.WAITING:
        reason = "no engine" if view.new_servers == 0 else "no time for a trial"
        if view.absent:
            reason = _absent_reason(view)
        return _moved(state, Phase.ROLLED_BACK, reason, view, now)
    if now >= state.ends_at:
        return _moved(state, Phase.ROLLED_BACK, "time limit", view, now)
    if view.judgement.verdict is Verdict.GOOD and view.new_servers > 0:
        if view.in_flight_old == 0 or now >= forced_at(state):
            return _moved(state, Phase.COMPLETED, view.judgement.reason, view, now)
        return _shifted(state, (ALL_ROUTES,), now, view, now)
    reason = f"not judged good in time: {view.judgement.reason}"
    return _moved(state, Phase.ROLLED_BACK, reason, view, now)


def _wait(state, view, plan, now):
    if view.new_servers == 0 or now - state.started_at < MIN_WAIT:
        return state
    if view.absent:
        # They send to all versions alike: a trial would add to what the version gets from them.
        reason = _absent_reason(view)
        return state if state.reason == reason else attrs.evolve(state, reason=reason)
    return _moved(state, Phase.TRIAL, "", view, now, share=plan.share)


def _absent_reason(view):
    return f"{view.absent} processes do not take part in rollouts"


def _advance(state, view, plan: Plan, now):
    is_good = view.judgement.verdict is Verdict.GOOD and view.new_servers > 0
    if is_good and state.shifted == (ALL_ROUTES,):
        # Counts of other processes are some 400 ms old: while there are old servers, any of these
        # may have sent requests to them since.
        is_idle = view.old_servers == 0 and view.in_flight_old == 0
        if is_idle and now - state.phase_since >= MIN_SHIFT:
            return _moved(state, Phase.COMPLETED, view.judgement.reason, view, now)
        return state
    if is_good and now >= plan.shift_at:
        return _shifted(state, (ALL_ROUTES,), plan.complete_at, view, now)
    if is_good and state.phase is Phase.TRIAL and plan.long_routes and now >= plan.shift_long_at:
        return _shifted(state, plan.long_routes, plan.complete_at, view, now)
    if state.phase is Phase.TRIAL and _share_changed(state, plan, now):
        return attrs.evolve(state, share=plan.share)
    return state


def _shifted(state, routes, completes_at, view, now):
    if state.shifted == routes == (ALL_ROUTES,):
        return state
    # Processes hold requests by the time that they know, so it may only become later.
    completes_at = max(completes_at, state.completes_at or completes_at)
    return _moved(state, Phase.SHIFT, "", view, now, shifted=routes, completes_at=completes_at)


def _share_changed(state, plan, now):
    if state.ends_at - now < SHARE_FIXED_PART * state.order.duration:
        return False
    if state.share <= 0:
        return True
    ratio = plan.share / state.share
    return ratio >= SHARE_STEP or ratio <= 1 / SHARE_STEP
