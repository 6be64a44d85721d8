"""The schedule of a rollout: the share of its trial, and when its traffic shifts.

It answers the load of the shift, when all requests go to the new version: the schedule is planned
backwards from the time limit, so that what a version that turns bad late receives by then fits in
the exposure that is left.
"""

import datetime

import attrs

from cicadapond.rollout._data import ExposureBounds, RolloutState, RolloutView

# The part of the tolerance that the plan spends; the rest covers requests in flight, counts that
# are not heard yet and the chance in the credits of the processes.
TOLERANCE_PART = 0.8
# `COMPLETED` is decided this long before the time limit: the order is seen some 250 ms late, the
# holder steps every 250 ms, and the store's response takes up to some 100 ms.
END_MARGIN = datetime.timedelta(seconds=1)
# A completion waits for requests that still run on the old version until this part of the margin is
# left, which the store's response and the late sight of the order need.
FORCED_PART = 0.75
# The shortest and the longest time for which all requests go to the new version before the order
# completes: the state takes some 200 ms to all processes, and most requests end within 500 ms.
MIN_SHIFT = datetime.timedelta(milliseconds=400)
MAX_SHIFT = datetime.timedelta(milliseconds=900)
# Together they last at most this much longer if the exposure allows it.
MAX_END = datetime.timedelta(milliseconds=2400)
# The part of the exposure that the shift and the time after it may take.
END_PART = 0.65
# The time for which a version that turns bad in the shift goes on to receive all requests, until
# the processes stop by themselves.
REACTION_S = 0.4
# On short orders margins take at most this part of the duration.
MAX_MARGIN_PART = 0.15
# Routes whose responses take longer shift earlier, by twice their duration but at most `MAX_LEAD`.
LONG_RESPONSE_S = 0.4
MAX_LEAD_S = 3.0
# The part of the exposure that earlier shifts may take.
LEAD_PART = 0.15
# What the trial sends in a second, relative to its mean, before and after half of its time: a
# version that turns bad late leaves less time to show it.
EARLY_WEIGHT, LATE_WEIGHT = 0.7, 1.3
# Counts of other processes are this old.
REPORT_DELAY_S = 0.4
# The part of the bound's share that the trial takes until the rate of requests is known.
FIRST_PART = 0.4
MIN_SHARE_PART = 0.1
# At low rates the tolerance is most of the exposure, and the trial needs it to judge by: with a
# share of at most 0.1, 27 of 100 good versions were not judged in time at 10 to 50 requests/s.
MAX_SHARE = 0.5
# When the shift is overdue, what is left is spent over at least this time.
MIN_LEFT_S = 0.5
RATE_TIME_S = 1.0


@attrs.frozen
class Plan:
    """The schedule of a rollout.

    Attributes:
      share: The share of the requests that goes to the new version now, during the trial.
      long_routes: The routes that shift earlier.
      shift_long_at: When they shift.
      shift_at: When all routes shift.
      complete_at: When the rollout ends at the latest.
    """

    share: float
    long_routes: tuple[str, ...]
    shift_long_at: datetime.datetime
    shift_at: datetime.datetime
    complete_at: datetime.datetime


def end_margin(duration: datetime.timedelta) -> datetime.timedelta:
    """Returns how long before its time limit an order of a duration is decided at the latest."""
    return min(END_MARGIN, MAX_MARGIN_PART * duration)


def forced_at(state: RolloutState) -> datetime.datetime:
    """Returns until when a completion waits for requests on the old version to end."""
    return state.ends_at - FORCED_PART * end_margin(state.order.duration)


def make_plan(
    state: RolloutState, view: RolloutView, bounds: ExposureBounds, now: datetime.datetime
) -> Plan:
    """Returns the schedule from what was received so far.

    Args:
      state: The state of the rollout.
      view: What the holder sees.
      bounds: What a bad version may receive.
      now: The time.
    """
    duration = state.order.duration.total_seconds()
    elapsed = max(0.0, (now - state.started_at).total_seconds())
    left = max(0.0, duration - elapsed)
    rates = _rates(view, elapsed)
    rate = sum(rates.values())
    expected = sum(view.requests.values()) + rate * left
    budget = bounds.share * expected + TOLERANCE_PART * bounds.tolerance

    margin = end_margin(state.order.duration)
    shortest = margin + min(MIN_SHIFT, MAX_MARGIN_PART * state.order.duration)
    wanted = datetime.timedelta(seconds=min(duration, END_PART * budget / max(rate, 0.1)))
    end = max(shortest, min(wanted, MAX_END))
    margin = max(margin, end - MAX_SHIFT)
    shift_at = state.ends_at - end

    long_routes = tuple(
        route for route, taken in sorted(view.durations.items()) if taken >= LONG_RESPONSE_S
    )
    long_rate = sum(rates.get(route, 0.0) for route in long_routes)
    lead = 2 * max((view.durations[route] for route in long_routes), default=0.0)
    lead = min(lead, MAX_LEAD_S, LEAD_PART * duration)
    lead = min(lead, LEAD_PART * budget / max(long_rate, 0.1))
    shift_long_at = shift_at - datetime.timedelta(seconds=lead)

    reserve = rate * min(REACTION_S, end.total_seconds()) + long_rate * lead
    spendable = budget - reserve - view.sent_new
    trial = shift_long_at - state.started_at
    left = (state.ends_at - margin - now).total_seconds()
    share = _trial_share(spendable, rate, elapsed, trial, bounds.share, left)
    return Plan(share, long_routes, shift_long_at, shift_at, state.ends_at - margin)


def _rates(view, elapsed):
    seen = elapsed - REPORT_DELAY_S
    if seen <= 0:
        return {}
    return {route: count / seen for route, count in view.requests.items()}


def _trial_share(spendable, rate, elapsed, trial, limit, left):
    if rate <= 0 or elapsed < RATE_TIME_S:
        return FIRST_PART * limit
    trial = trial.total_seconds()
    half = trial / 2
    early, late = max(0.0, half - elapsed), max(0.0, trial - max(half, elapsed))
    weighted = early * EARLY_WEIGHT + late * LATE_WEIGHT
    weight = EARLY_WEIGHT if elapsed < half else LATE_WEIGHT
    if weighted <= 0:
        # Not judged good yet: what is left serves to judge it until the order is decided.
        weight, weighted = 1.0, max(left, MIN_LEFT_S)
    return max(MIN_SHARE_PART * limit, min(MAX_SHARE, spendable * weight / (rate * weighted)))
