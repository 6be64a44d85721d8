"""The holder's decision on the phase of a rollout.

It answers the load of a service while a new version of its servers takes over its traffic.
"""

import datetime

from cicadapond.rollout._data import ExposureBounds, RolloutOrder, RolloutState, RolloutView


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
    return state
