"""How many slots of a pool one entry may use now."""

import datetime
import typing

import attrs

from cicadapond.kernel import setting
from cicadapond.routing import ServerView

_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
FIRST_SHARE = 0.1


@attrs.frozen
class CapacitySettings:
    """How slots are counted.

    Attributes:
      default_slots: Slots of a server that has not reported its load yet.
      slow_start: How long a new server takes from a tenth of its slots to all of them.
      refresh: How often the count is made again.
    """

    default_slots: int = 16
    slow_start: datetime.timedelta = setting(default=10 * _SECOND)
    refresh: datetime.timedelta = setting(default=0.1 * _SECOND)


def pool_slots(
    views: typing.Sequence[ServerView],
    slots: typing.Sequence[int],
    now: datetime.timedelta,
    warm_since: datetime.timedelta,
    entries: int,
    cfg: CapacitySettings,
) -> int:
    """Returns the slots of a pool that this entry may use.

    They are what the other entries leave free, and at least an even share: then two entries whose
    callers bring different load both get what is there, and none waits for the other.

    Args:
      views: The pool's servers that take new work.
      slots: The slots of each, once it runs at full speed.
      now: The monotonic instant.
      warm_since: Servers first seen up to this instant were there before this process, and start
        with all their slots.
      entries: The number of live entries, this one included.
      cfg: How slots are counted.

    Returns:
      The number of slots, at least 1 where there is a server.
    """
    total = 0.0
    peers = 0
    for view, full in zip(views, slots, strict=True):
        if view.leaving or view.failing_until > now:
            continue
        total += full * _warmth(view, now, warm_since, cfg)
        peers += view.peer_in_flight
    if total == 0.0:
        return 0
    return max(1, int(max(total - peers, total / max(1, entries))))


def _warmth(view, now, warm_since, cfg):
    """Returns which part of its slots a server may have: all, unless it is new."""
    if view.live_since <= warm_since or cfg.slow_start <= _ZERO:
        return 1.0
    age = (now - view.live_since) / cfg.slow_start
    return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * max(0.0, age))
