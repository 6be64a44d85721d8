"""What one process has of a server's rate limit: its even share, and permits that it borrowed.

Load condition: a process has more, or fewer, callers than its even share serves.  No I/O.
"""

import collections
import datetime
import math

import attrs

# The demand is measured over this time.
DEMAND_WINDOW = datetime.timedelta(seconds=1)
# A request that found no permit waits at most about so long for one.
WANT_LIFETIME = datetime.timedelta(milliseconds=500)
# A process that used a borrowed permit, or lacked one, within this time goes on asking.
SHORTAGE_MEMORY = datetime.timedelta(seconds=2)


@attrs.define
class _Borrowed:
    """Permits that end at a monotonic time."""

    count: int
    ends: datetime.timedelta


class PermitLedger:
    """Counts the permits of one process for one start of a server.

    A frame's share is passed in, as it follows from the limit and the members known at the moment.
    Times are monotonic, on a clock that also runs while the host is suspended.
    """

    def __init__(self):
        self._frame = 0
        self._used = 0
        self._lent = 0
        self._borrowed: list[_Borrowed] = []
        self._demand: collections.deque[datetime.timedelta] = collections.deque()
        self._wants: collections.deque[datetime.timedelta] = collections.deque()
        self._short_at: datetime.timedelta | None = None
        self._nothing_until: datetime.timedelta | None = None

    def own_left(self, share: int, frame: int) -> int:
        """Returns how many permits of the own share are left in a frame."""
        if frame != self._frame:
            return share
        return max(0, share - self._used - self._lent)

    def use_unlimited(self, frame: int) -> None:
        """Counts a request while there is no limit, as one may be stated within the frame."""
        self._enter(frame)
        self._used += 1

    @property
    def has_borrowed(self) -> bool:
        """Whether permits were borrowed, which may have ended; a cheap check for each send."""
        return bool(self._borrowed)

    def borrowed_left(self, now: datetime.timedelta) -> int:
        """Returns how many borrowed permits are valid."""
        return sum(each.count for each in self._borrowed if each.ends > now)

    def take(self, share: int, frame: int, now: datetime.timedelta) -> bool:
        """Uses a permit; returns False if there is none."""
        if self.own_left(share, frame):
            self._enter(frame)
            self._used += 1
        elif not self._take_borrowed(now):
            return False
        _drop_before(self._wants, now - WANT_LIFETIME)
        if self._wants:
            self._wants.popleft()  # counted when it found no permit
        else:
            self._add_demand(now)
        return True

    def want(self, now: datetime.timedelta) -> None:
        """Records a request that found no permit."""
        self._add_demand(now)
        self._short_at = now
        if self._nothing_until is None or now >= self._nothing_until:
            self._wants.append(now)

    def may_borrow(self, now: datetime.timedelta) -> bool:
        """Returns whether a request that found no permit may get a borrowed one shortly."""
        _drop_before(self._wants, now - WANT_LIFETIME)
        has_nothing = self._nothing_until is not None and now < self._nothing_until
        return bool(self._wants) and not has_nothing

    def give_up(self, until: datetime.timedelta) -> None:
        """Records that there is nothing to borrow until a monotonic time."""
        self._nothing_until = until
        self._wants.clear()

    def demand(self, now: datetime.timedelta) -> float:
        """Returns how many requests a second this process's callers have for the server."""
        _drop_before(self._demand, now - DEMAND_WINDOW)
        return len(self._demand) / DEMAND_WINDOW.total_seconds()

    def is_short(self, now: datetime.timedelta) -> bool:
        """Returns whether the callers needed more than the own share lately."""
        return self._short_at is not None and now - self._short_at <= SHORTAGE_MEMORY

    def to_ask(self, ahead: datetime.timedelta, now: datetime.timedelta) -> int:
        """Returns how many permits to ask for.

        They are those for the requests that wait, and for what is sure to come before the next
        time: a permit that is held for a request that may come is lost to the others.

        Args:
          ahead: The time until the process asks again.
          now: The time.
        """
        _drop_before(self._wants, now - WANT_LIFETIME)
        expected = math.floor(self.demand(now) * ahead.total_seconds())
        return max(0, len(self._wants) + expected - self.borrowed_left(now))

    def lend(
        self, share: int, frame: int, left: datetime.timedelta, most: int, now: datetime.timedelta
    ) -> int:
        """Gives up permits of the frame that is on, which this process does not use any more.

        Args:
          share: The own share of the frame.
          frame: The frame.
          left: What is left of its time.
          most: The most permits to lend.
          now: The time.

        Returns:
          How many were lent.
        """
        if self.is_short(now):
            return 0
        needed = round(self.demand(now) * left.total_seconds())
        count = max(0, min(most, self.own_left(share, frame) - needed))
        self._enter(frame)
        self._lent += count
        return count

    def receive(self, count: int, ends: datetime.timedelta, now: datetime.timedelta) -> None:
        """Adds borrowed permits that end at a monotonic time."""
        self._borrowed = [each for each in self._borrowed if each.count and each.ends > now]
        self._borrowed.append(_Borrowed(count, ends))
        self._borrowed.sort(key=lambda each: each.ends)

    def drop_borrowed(self) -> None:
        """Drops borrowed permits, as they were dealt under a higher limit."""
        self._borrowed.clear()

    def _take_borrowed(self, now):
        self._borrowed = [each for each in self._borrowed if each.count and each.ends > now]
        if not self._borrowed:
            return False
        self._borrowed[0].count -= 1
        self._short_at = now
        return True

    def _add_demand(self, now):
        self._demand.append(now)
        _drop_before(self._demand, now - DEMAND_WINDOW)

    def _enter(self, frame):
        if frame != self._frame:
            self._frame, self._used, self._lent = frame, 0, 0


def _drop_before(times, oldest):
    while times and times[0] < oldest:
        times.popleft()
