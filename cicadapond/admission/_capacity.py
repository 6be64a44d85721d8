"""Computes how many slots of a pool this entry may use."""

import datetime
import typing

import attrs

from cicadapond.kernel import setting
from cicadapond.routing import ServerView

_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)
SLOW_START_INITIAL_SHARE = 0.1


@attrs.frozen
class CapacitySettings:
    """How slots are counted.

    Attributes:
      default_slots: Slots of a server that has not reported its load yet.
      slow_start: The period over which the counted slots of a new server grow from a tenth to all.
      refresh: The interval at which slots are counted again.
    """

    default_slots: int = 16
    slow_start: datetime.timedelta = setting(default=10 * _SECOND)
    refresh: datetime.timedelta = setting(default=0.1 * _SECOND)


def pool_slots(
    views: typing.Sequence[ServerView],
    slots: typing.Sequence[int],
    now: datetime.timedelta,
    slow_start_after: datetime.timedelta,
    entries: int,
    cfg: CapacitySettings,
) -> int:
    """Returns the slots of a pool that this entry may use.

    They are what the other entries leave free, and at least an even share.  Two entries with
    different load can then use all the slots together, and neither waits for the other.

    Args:
      views: The pool's servers that take new work.
      slots: The slots of each server after its slow start.
      now: The monotonic instant.
      slow_start_after: Servers first seen up to this instant count as older than this process, and
        have no slow start; those seen later do.
      entries: The number of live entries, this one included.
      cfg: How slots are counted.

    Returns:
      The number of slots, at least 1 where there is a server.
    """
    total = 0.0
    peer_in_flight = 0
    for view, full_slots in zip(views, slots, strict=True):
        if view.leaving or view.failing_until > now:
            continue
        total += full_slots * _slow_start_share(view, now, slow_start_after, cfg)
        peer_in_flight += view.peer_in_flight
    if total == 0.0:
        return 0
    return max(1, int(max(total - peer_in_flight, total / max(1, entries))))


def _slow_start_share(view, now, slow_start_after, cfg):
    """Returns the share of its slots that counts for a server: all, unless it is new."""
    if view.live_since <= slow_start_after or cfg.slow_start <= _ZERO:
        return 1.0
    age = (now - view.live_since) / cfg.slow_start
    return min(1.0, SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * max(0.0, age))
