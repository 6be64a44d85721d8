"""The requests of one service that wait for its engines, and which of them goes next; no I/O.

It answers overload: engines that are given all that comes begin every answer late.  A request is
sent while its answer can begin within its objective.  Those that cannot wait here, as they would
only delay others, and go when an engine has nothing queued; a late answer is worth little, but the
engines must not idle.  Nor is a request sent to full engines that would preempt it for others.  A
request that will not be served within its time limit is rejected at once.

The order is by rank, then by the work that the client account was given lately, then by the slack
to the objective.  Events wake the queue: an answer that begins or ends, a load report, a digest.
"""

import datetime
import random

from cicadapond.kernel import Clock
from cicadapond.placing import Placer
from cicadapond.queueing._account_usage import AccountUsage
from cicadapond.queueing._api import Admission, Decision, Waiting
from cicadapond.queueing._forecast import ForecastRatio, Sent

# So many requests of a service wait in a process at most; it bounds the time of a decision.
QUEUE_LIMIT = 64
# How many waiting requests are decided at an event.
MAX_DECIDED = 4
# A request waits at most for this share of its time limit, and for this long: its answer takes time
# too, and a caller that is told early when to return is better off than one that is kept waiting.
MAX_WAIT_SHARE = 0.3
MAX_WAIT = datetime.timedelta(milliseconds=1200)
# An engine counts as free for late requests if its queue is at most this share of their objective.
FREE_SHARE = 0.25
# Requests that others would preempt wait here while the service's engines are fuller than this: of
# 1,382 long requests 483 were preempted at twice the load without it, and 321 with it.  It is the
# mean over the engines, since a request that looks again and again finds one that seems empty and
# is not.
MAX_OCCUPANCY = 1.0
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta()


class ServiceQueue:
    """The queue of one service in one process.

    Args:
      clock: Gives the time.
      placer: Estimates when an answer begins.
      rng: Draws the jitter of Retry-After.
    """

    def __init__(self, clock: Clock, placer: Placer, rng: random.Random):
        self._clock = clock
        self._placer = placer
        self._rng = rng
        self._waiting: list[Waiting] = []
        self._usage = AccountUsage()
        self._forecasts: dict[int, ForecastRatio] = {}

    def __len__(self):
        return len(self._waiting)

    def submit(self, waiting: Waiting) -> Admission:
        """Decides on a request that has arrived; if it waits, its `decided` is called later."""
        now = self._clock.monotonic()
        ahead = [other for other in self._waiting if self._precedes(other, waiting, now)]
        admission = self._decide(waiting, now, bool(ahead))
        if admission.decision is not Decision.WAIT:
            return admission
        if len(self._waiting) >= QUEUE_LIMIT:
            last = max([waiting, *self._waiting], key=lambda other: self._rank(other, now))
            if last is waiting:
                return self._reject("the queue is full", admission.forecast)
            self._waiting.remove(last)
            last.decided(self._reject("the queue is full", None))
        self._waiting.append(waiting)
        return Admission(Decision.WAIT, admission.reason, admission.forecast, position=len(ahead))

    def withdraw(self, waiting: Waiting) -> None:
        """Removes a request whose caller has disconnected."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def send(self, priority: int, expected: datetime.timedelta) -> Sent:
        """Records that a request is sent; `begin` or `end` must follow."""
        return self._forecast(priority).send(expected, self._clock.monotonic())

    def begin(self, priority: int, sent: Sent) -> None:
        """Records that the answer of a request has begun."""
        self._forecast(priority).begin(sent, self._clock.monotonic())

    def end(self, priority: int, sent: Sent) -> None:
        """Records that a request is no longer in flight, whether its answer has begun or not."""
        self._forecast(priority).drop(sent)

    def _forecast(self, priority):
        return self._forecasts.setdefault(priority, ForecastRatio())

    def wake(self, limit: int = MAX_DECIDED) -> None:
        """Decides on the requests that are next, after something has changed.

        Args:
          limit: How many are decided at most; 1 if `decided` does not place the request at once, as
            the estimates do not know of it before.
        """
        if not self._waiting:
            return
        now = self._clock.monotonic()
        decided_count, refused_ranks = 0, set()
        for waiting in sorted(self._waiting, key=lambda other: self._rank(other, now)):
            if waiting.priority in refused_ranks and now < self.latest(waiting):
                continue
            admission = self._decide(waiting, now, False)
            if admission.decision is Decision.WAIT:
                refused_ranks.add(waiting.priority)
                continue
            self._waiting.remove(waiting)
            waiting.decided(admission)
            decided_count += 1
            if decided_count >= limit:
                return

    def next_due(self) -> datetime.timedelta | None:
        """Returns the monotonic time at which `wake` is due at the latest, None if none waits."""
        return min(map(self.latest, self._waiting), default=None)

    def latest(self, waiting: Waiting) -> datetime.timedelta:
        """Returns the monotonic time until which a request waits at most."""
        limit = waiting.deadline - waiting.received_at
        return waiting.received_at + min(MAX_WAIT, MAX_WAIT_SHARE * limit)

    def decide_now(self, waiting: Waiting) -> Admission:
        """Decides on a request that can wait no longer, and removes it."""
        self.withdraw(waiting)
        admission = self._decide(waiting, self._clock.monotonic(), False)
        if admission.decision is not Decision.WAIT:
            return admission
        reason = "no engine was free in time"
        return self._reject(reason, admission.forecast)

    def _decide(self, waiting, now, must_queue):
        servers = waiting.servers()
        best = self._placer.choose(servers, waiting.generation, waiting.priority)
        if best is None:
            return Admission(Decision.SEND, "no server to wait for")
        expected_ms, entry = best.expected_ms - best.cost_ms, best.entry
        forecast = expected_ms * self._forecast(waiting.priority).ratio(now) * _MILLISECOND
        if now + forecast >= waiting.deadline:
            return self._reject("it would not be served in time", forecast)
        slack = waiting.received_at + waiting.objective - now
        # Under load an account that was given more than its share waits before the others do.
        excess = self._usage.excess(waiting.account, now)
        if best.occupancy * excess > MAX_OCCUPANCY:
            if now >= self.latest(waiting):
                return self._reject("the engines were full", forecast)
            return Admission(Decision.WAIT, "it would be preempted", forecast)
        weighted = forecast * excess
        if weighted <= slack and not must_queue:
            return self._send(waiting, "in time", forecast, entry, expected_ms, now)
        if slack < forecast <= FREE_SHARE * waiting.objective:
            return self._send(waiting, "an engine is free", forecast, entry, expected_ms, now)
        if now >= self.latest(waiting):
            return self._reject("no engine was free in time", forecast)
        reason = "others are ahead" if weighted <= slack else "it would be late and delay others"
        return Admission(Decision.WAIT, reason, forecast)

    def _send(self, waiting, reason, forecast, entry, expected_ms, now):
        self._usage.add(waiting.account, expected_ms, now)
        return Admission(Decision.SEND, reason, forecast, entry)

    def _reject(self, reason, forecast):
        base = max(MIN_RETRY_AFTER, forecast if forecast is not None else _ZERO)
        retry_after = base * (1.0 + self._rng.random())
        return Admission(Decision.REJECT, reason, forecast, retry_after=retry_after)

    def _rank(self, waiting, now):
        """Returns the sort key: requests that can be in time first, then as the module says."""
        slack = waiting.received_at + waiting.objective - now
        usage = self._usage.recent_ms(waiting.account, now)
        return waiting.priority, slack <= _ZERO, usage, slack

    def _precedes(self, other, waiting, now):
        return self._rank(other, now) < self._rank(waiting, now)
