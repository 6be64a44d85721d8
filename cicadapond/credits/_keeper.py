"""Collects permits that their owners do not need, and divides them among the processes that ask.

Load condition: demand for a server with a rate limit comes to few processes, or changes place.

A process acts as keeper of a server because others ask it to.  It issues only what owners lent it
in the frame that is on, so several keepers of one server do no harm.  No I/O.
"""

import collections
import datetime
import heapq
import math
import typing

import attrs

from cicadapond.credits._messages import Ask, AskReply, LendReply, LoanRequest, Permits
from cicadapond.credits._schedule import FRAME, frame_of, part_of, time_until_frame
from cicadapond.kernel import Clock

# A process that has not asked for this long needs nothing more.
ASK_LIFETIME = datetime.timedelta(seconds=1)
# Permits with less time left than this are issued also to those who had their share of the frame,
# so that they do not expire unused.
SPENDING_TIME = FRAME / 2
# By how many seconds of its demand a process may be ahead of the others and still get permits
# early in a frame: what it asks for at once.
FAIR_LEAD = 0.25
# What it got beyond that is remembered up to this many seconds of its demand.
MAX_LEAD = 1.0
# Requests a second of a process that has counted none lately.
MIN_DEMAND = 1.0
# Permits that would expire on their way to the process that asks are not issued.
MIN_TIME_LEFT = datetime.timedelta(milliseconds=20)
# How many more permits are collected than the demand, which is known only roughly.
COLLECT_RATIO = 1.2
# What was lent within this time counts as collected; it is shorter than a frame, so that replies
# that were slow in one frame do not delay the loans of the next.
COLLECTED_WINDOW = 0.8 * FRAME
# The clocks of two hosts differ by up to this, so an owner's frame may begin so much earlier.
MAX_CLOCK_DIFFERENCE = datetime.timedelta(milliseconds=300)
# The owner's frame has begun for certain so long after it was due.
FRAME_MARGIN = datetime.timedelta(milliseconds=3)
# A call and its reply take about 90 bytes, so these take 9 of the 19 KB/s of a process.
MAX_LOANS_PER_SECOND = 100
# An owner that did not answer is not asked for this long.
OWNER_RETRY_DELAY = datetime.timedelta(seconds=3)

# The frames of more owners than this are learned anew; there are 420 processes at the design size,
# whose names change if hosts are replaced.
MAX_PHASES = 2000

Owners = typing.Callable[[str, int, int], typing.Mapping[str, int] | None]


@attrs.define
class _Borrower:
    """A process that asks: its demand, when it asked last, and how much of its demand it got.

    `level` is in seconds of its demand, counted from the least that others had when it came.
    """

    demand: float
    asked_at: datetime.timedelta
    level: float


@attrs.define
class _Held:
    """Permits in the pool; they end at a monotonic time."""

    ends: datetime.timedelta
    count: int


@attrs.define(order=True)
class _Loan:
    """Permits to ask an owner for, from the time at which its frame has begun."""

    due_at: datetime.timedelta
    frame: int
    owner: str
    count: int


@attrs.define
class _Pool:
    """What a keeper knows of one start of a server and its limit, and of one part of the owners."""

    borrowers: dict[str, _Borrower] = attrs.field(factory=dict)
    held: list[_Held] = attrs.field(factory=list)
    loans: list[_Loan] = attrs.field(factory=list)
    planned_until: int = 0
    collected: collections.deque[tuple[datetime.timedelta, int]] = attrs.field(
        factory=collections.deque
    )
    # The sum of `collected`, and of the loans whose replies are due.
    supply: int = 0
    pending: int = 0


class PermitKeeper:
    """The pools of the servers that this process is asked for.

    Args:
      clock: Gives the time; its monotonic clock also runs while the host is suspended.
      process: This process's name.
      owners: Returns who owns how many permits of a server, its start and a frame; None if the
        server's limit or the members are not known.
    """

    def __init__(self, clock: Clock, process: str, owners: Owners):
        self._clock = clock
        self._process = process
        self._owners = owners
        # By server, start, part and number of parts.
        self._pools: dict[tuple[str, int, float, int, int], _Pool] = {}
        # An owner's frame and its end on this process's monotonic clock.
        self._phases: dict[str, tuple[int, datetime.timedelta]] = {}
        self._unreachable_until: dict[str, datetime.timedelta] = {}
        self._calls: collections.deque[datetime.timedelta] = collections.deque()

    def is_active(self) -> bool:
        """Returns whether any process asks for permits."""
        return bool(self._pools)

    def ask(self, process: str, ask: Ask) -> AskReply:
        """Records what a process needs, and issues permits to it."""
        now = self._clock.monotonic()
        pool = self._pools.setdefault(
            (ask.server, ask.born, ask.limit, ask.part, ask.parts), _Pool()
        )
        self._forget(pool, now)
        borrower = pool.borrowers.get(process)
        if borrower is None:
            level = min((each.level for each in pool.borrowers.values()), default=0.0)
            borrower = pool.borrowers[process] = _Borrower(ask.demand, now, level)
        borrower.demand, borrower.asked_at = ask.demand, now
        return AskReply(ask.server, self._issue(pool, borrower, ask.wanted, now))

    def due(self) -> dict[str, list[LoanRequest]]:
        """Returns what to ask the owners for now; each must be followed by `lent`."""
        now = self._clock.monotonic()
        requests: dict[str, list[LoanRequest]] = {}
        while self._calls and now - self._calls[0] > FRAME:
            self._calls.popleft()
        self._unreachable_until = {
            owner: until for owner, until in self._unreachable_until.items() if until > now
        }
        for key, pool in list(self._pools.items()):
            self._forget(pool, now)
            if not pool.borrowers:
                if not pool.pending:
                    del self._pools[key]
                continue
            self._plan(key, pool, now)
            self._take_due(key, pool, now, requests)
        return requests

    def lent(
        self,
        owner: str,
        requests: typing.Sequence[LoanRequest],
        replies: typing.Sequence[LendReply] | None,
        sent_at: datetime.timedelta,
    ) -> int:
        """Adds what an owner lent.

        Args:
          owner: The owner.
          requests: What it was asked for.
          replies: What it replied; None if it did not answer.
          sent_at: The monotonic time right before the call was sent.

        Returns:
          How many permits it lent.
        """
        now = self._clock.monotonic()
        if replies is None:
            self._unreachable_until[owner] = now + OWNER_RETRY_DELAY
        # One request of a call is about each server, see `_take_due`.
        found = {reply.server: reply for reply in replies or ()}
        total = 0
        for request in requests:
            pool = self._pools.get((request.server, request.born, request.limit, *request.part))
            if pool is None:
                continue
            pool.pending -= request.most
            reply = found.get(request.server)
            if reply is None:
                continue
            total += self._add(owner, pool, request, reply, sent_at, now)
            due_at = self._frame_begin(owner, request.frame, now)
            if reply.frame < request.frame and due_at > now:  # the owner's clock is behind
                loan = _Loan(due_at, request.frame, owner, request.most)
                heapq.heappush(pool.loans, loan)
        return total

    def state(self) -> dict:
        """Returns the pools, for a dump."""
        now = self._clock.monotonic()
        return {
            f"{server} {limit:g}/s {part + 1}/{parts}": {
                "demand": round(sum(borrower.demand for borrower in pool.borrowers.values()), 1),
                "borrowers": len(pool.borrowers),
                "held": sum(held.count for held in pool.held if held.ends > now),
                "lent_last_second": pool.supply,
            }
            for (server, _, limit, part, parts), pool in sorted(self._pools.items())
        }

    def _add(self, owner, pool, request, reply, sent_at, now):
        ends = sent_at + reply.permits.left
        if len(self._phases) >= MAX_PHASES:
            self._phases.clear()
        self._phases[owner] = reply.frame, ends
        count = min(reply.permits.count, request.most)
        if count:
            pool.held.append(_Held(ends, count))
            pool.held.sort(key=lambda held: held.ends)
            pool.collected.append((now, count))
            pool.supply += count
        return count

    def _issue(self, pool, borrower, wanted, now):
        """Takes permits from the pool, those that end first."""
        demand = sum(each.demand for each in pool.borrowers.values())
        total = sum(each.count for each in pool.held)
        share = math.ceil(total * borrower.demand / demand) if demand else 1
        fair = self._fair_count(pool, borrower)
        issued = []
        for held in pool.held:
            left = held.ends - now
            if left < MIN_TIME_LEFT:
                continue
            allowed = max(share, fair) if left <= SPENDING_TIME else fair
            count = max(0, min(held.count, wanted, allowed))
            if count:
                held.count -= count
                wanted, share, fair = wanted - count, share - count, fair - count
                issued.append(Permits(count, left))
        pool.held = [held for held in pool.held if held.count]
        got = sum(permits.count for permits in issued)
        others = [each.level for each in pool.borrowers.values() if each is not borrower]
        borrower.level += got / max(borrower.demand, MIN_DEMAND)
        if others:
            borrower.level = min(borrower.level, min(others) + MAX_LEAD)
        return tuple(issued)

    def _fair_count(self, pool, borrower):
        """Returns how many permits a process may get until the others had as much of their demand.

        All that there are if nobody else asks.
        """
        others = [each.level for each in pool.borrowers.values() if each is not borrower]
        if not others:
            return sum(each.count for each in pool.held)
        lead = borrower.level - min(others)
        if lead > FAIR_LEAD:
            return 0
        return max(1, math.floor((FAIR_LEAD - lead) * borrower.demand))

    def _plan(self, key, pool, now):
        """Plans the loans of each frame when some owner's clock may have reached it."""
        server, born, _, part, parts = key
        wall = self._clock.now()
        for frame in (frame_of(wall), frame_of(wall + MAX_CLOCK_DIFFERENCE)):
            if frame <= pool.planned_until:
                continue
            pool.planned_until = frame
            begins = now + time_until_frame(frame, wall)
            for owner, count in (self._owners(server, born, frame) or {}).items():
                if part_of(owner, parts) != part:
                    continue
                due_at = self._frame_begin(owner, frame, begins)
                heapq.heappush(pool.loans, _Loan(due_at, frame, owner, count))

    def _frame_begin(self, owner, frame, estimate):
        """Returns when an owner's frame has begun.

        The estimate if its clock is not known, or was far off when it last replied: it may have
        been corrected since, and whatever frame is on there has permits.
        """
        if owner not in self._phases:
            return estimate
        known, ends = self._phases[owner]
        begins = ends + (frame - known - 1) * FRAME + FRAME_MARGIN
        return begins if abs(begins - estimate) <= FRAME else estimate

    def _take_due(self, key, pool, now, requests):
        demand = sum(each.demand for each in pool.borrowers.values())
        deferred = []
        while pool.loans and pool.loans[0].due_at <= now:
            missing = math.ceil(COLLECT_RATIO * demand) + 1 - pool.supply - pool.pending
            if missing <= 0 or len(self._calls) >= MAX_LOANS_PER_SECOND:
                break
            loan = heapq.heappop(pool.loans)
            if not self._is_useful(pool, loan, now):
                continue
            if any(request.server == key[0] for request in requests.get(loan.owner, ())):
                # Replies name only the server, so the loan waits for the next call.
                deferred.append(loan)
                continue
            if loan.owner not in requests:
                self._calls.append(now)
            most = min(loan.count, missing)
            pool.pending += most
            requests.setdefault(loan.owner, []).append(
                LoanRequest(*key[:3], most, loan.frame, key[3:])
            )
        for loan in deferred:
            heapq.heappush(pool.loans, loan)
        self._drop_old_loans(pool, now)

    def _is_useful(self, pool, loan, now):
        """Returns whether an owner can lend, and needs its permits less than others."""
        if loan.owner in pool.borrowers or now - loan.due_at > FRAME - MIN_TIME_LEFT:
            return False
        return self._unreachable_until.get(loan.owner, now) <= now

    def _drop_old_loans(self, pool, now):
        while pool.loans and now - pool.loans[0].due_at > FRAME:
            heapq.heappop(pool.loans)

    def _forget(self, pool, now):
        for name, borrower in list(pool.borrowers.items()):
            if now - borrower.asked_at > ASK_LIFETIME:
                del pool.borrowers[name]
        while pool.collected and now - pool.collected[0][0] > COLLECTED_WINDOW:
            pool.supply -= pool.collected.popleft()[1]
        pool.held = [held for held in pool.held if held.ends > now]
