"""Decides which orders are due, from what was sent and what came of it; no I/O.

Load condition: all reclaimable servers of a data centre are withdrawn and none are to be had
anywhere for a while.  Declined orders are then tried for one data centre at a time, at growing
intervals; the first that is accepted shows that the others are worth trying again.
"""

import datetime
import enum

import attrs

from cicadapond.kernel import Clock
from cicadapond.serving import ServerOrder

# The first time after which a declined order is tried again, the factor by which it grows, and the
# longest.  Reclaimable servers were not to be had for 3 to 14 s; meanwhile on-demand ones that cost
# five times as much take their place.  A call costs far less than a second of one of those, so that
# the interval grows slowly: to about a tenth of the time that has passed.
FIRST_RETRY = datetime.timedelta(seconds=1.5)
RETRY_GROWTH = 1.1
MAX_RETRY = datetime.timedelta(seconds=5)
# The shortest time between two orders of the same number, for servers that were lost meanwhile.  It
# merges the notices of one data centre's servers, which arrive one after the other.
LOSS_INTERVAL = datetime.timedelta(seconds=1)
# A server may take this long beyond the boot time before it counts as not coming.
START_SLACK = datetime.timedelta(seconds=3)


class Outcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    DECLINED = "declined"
    FAILED = "failed"


class Due(enum.Enum):
    """Why an order is due."""

    FIRST = "first"
    CHANGED = "changed"
    MISSING = "missing"
    RETRY = "retry"


_Target = tuple[str, str, bool]


@attrs.frozen
class Listed:
    """The servers of one kind in a data centre that the server table lists.

    `serving` are those that take requests or will, `leaving` those that have been told to stop.
    """

    serving: int = 0
    leaving: int = 0


@attrs.define
class _Sent:
    """The last order for a target.

    `most_listed` is the most servers that were seen since, `last_listed` those seen last.
    `has_lost` tells whether the number that was seen has fallen below the order since.
    """

    count: int
    at: datetime.timedelta
    outcome: Outcome
    most_listed: int
    last_listed: int
    had_leaving: bool
    has_lost: bool = False


@attrs.define
class _Backoff:
    """When declined orders are tried again, and how long the wait is."""

    next_at: datetime.timedelta
    interval: datetime.timedelta = FIRST_RETRY

    def grow(self, now: datetime.timedelta) -> None:
        self.interval = min(MAX_RETRY, self.interval * RETRY_GROWTH)
        self.next_at = now + self.interval


class OrderBook:
    """The orders that this process sent while it holds the lease.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._sent: dict[_Target, _Sent] = {}
        # By service and kind.
        self._backoffs: dict[tuple[str, bool], _Backoff] = {}

    def clear(self) -> None:
        """Forgets all orders: another process may have sent others."""
        self._sent.clear()
        self._backoffs.clear()

    def due(self, order: ServerOrder, listed: Listed, boot: datetime.timedelta) -> Due | None:
        """Returns why an order is to be sent now, None if it is not.

        Args:
          order: The order that should be in force.
          listed: The servers that the server table lists for it.
          boot: How long a server takes to start.
        """
        sent = self._sent.get(_target(order))
        is_accepted = sent is not None and sent.outcome is Outcome.ACCEPTED
        # Servers that an earlier holder or an unanswered call ordered and that have not started yet
        # are not listed; once they are, the numbers differ.
        if not is_accepted and listed.serving == order.count and not listed.leaving:
            self._sent.pop(_target(order), None)
            return None
        if sent is None:
            return Due.FIRST
        now = self._clock.monotonic()
        if sent.outcome is not Outcome.ACCEPTED:
            return Due.RETRY if self._may_retry(order, now) else None
        if sent.count != order.count:
            return Due.CHANGED
        sent.most_listed = max(sent.most_listed, listed.serving)
        sent.has_lost = listed.serving < order.count and (
            sent.has_lost or listed.serving < sent.last_listed
        )
        sent.last_listed = listed.serving
        waited = now - sent.at
        if listed.serving >= order.count:
            return None
        # The platform may have counted the servers that were leaving when the order was sent.
        is_short = sent.had_leaving and not listed.leaving
        is_due = (sent.has_lost or is_short) and waited >= LOSS_INTERVAL
        return Due.MISSING if is_due or waited >= boot + START_SLACK else None

    def record(self, order: ServerOrder, outcome: Outcome, listed: Listed) -> None:
        """Records what became of an order that was sent just now."""
        now, kind = self._clock.monotonic(), (order.service, order.reclaimable)
        self._sent[_target(order)] = _Sent(
            order.count, now, outcome, listed.serving, listed.serving, bool(listed.leaving)
        )
        backoff = self._backoffs.get(kind)
        if outcome is Outcome.ACCEPTED:
            self._backoffs.pop(kind, None)
        elif backoff is None:
            self._backoffs[kind] = _Backoff(now + FIRST_RETRY)
        elif now >= backoff.next_at:
            backoff.grow(now)

    def arriving(self, service: str, boot: datetime.timedelta) -> dict[str, int]:
        """Returns, by data centre, how many reclaimable servers are accepted and still starting.

        Orders that were sent while servers of the data centre were leaving do not count, as the
        platform may have counted those servers.

        Args:
          service: The service.
          boot: How long a server takes to start.
        """
        now = self._clock.monotonic()
        return {
            zone: max(0, sent.count - sent.most_listed)
            for (of_service, zone, reclaimable), sent in self._sent.items()
            if of_service == service
            and reclaimable
            and sent.outcome is Outcome.ACCEPTED
            and not sent.had_leaving
            and now - sent.at < boot + START_SLACK
        }

    def declined(self, service: str) -> tuple[str, ...]:
        """Returns the data centres whose last order of reclaimable servers was not accepted."""
        return tuple(
            sorted(
                zone
                for (of_service, zone, reclaimable), sent in self._sent.items()
                if of_service == service and reclaimable and sent.outcome is not Outcome.ACCEPTED
            )
        )

    def _may_retry(self, order, now):
        """Returns whether an order that was not accepted is the one to try now.

        Of all such orders of a service and kind it is the one that was tried the longest ago.
        """
        backoff = self._backoffs.get((order.service, order.reclaimable))
        if backoff is None:
            return True
        if now < backoff.next_at:
            return False
        waiting = [
            (sent.at, target)
            for target, sent in self._sent.items()
            if sent.outcome is not Outcome.ACCEPTED
            and (target[0], target[2]) == (order.service, order.reclaimable)
        ]
        return min(waiting)[1] == _target(order)


def _target(order) -> _Target:
    return order.service, order.zone, order.reclaimable
