"""Runs one idempotent call: retries failed attempts and hedges slow ones."""

import asyncio
import collections.abc
import datetime
import random

from cicadapond.backend import NotSent
from cicadapond.data import ServiceResponse
from cicadapond.kernel import Clock, Failed, NotRun, Ok, Unknown, doubled

MAX_ATTEMPTS = 4
FIRST_BACKOFF = datetime.timedelta(milliseconds=20)
RETRIED_STATUSES = (502, 503, 504)
HEDGE_QUANTILE = 0.95
ESTIMATE_STEP = 0.05  # relative change per sample; the steps balance at the quantile
ZERO = datetime.timedelta()

StartAttempt = collections.abc.Callable[[int], collections.abc.Coroutine | None]


class QuantileEstimate:
    """A running estimate of a quantile of durations, in constant memory.

    Args:
      first: The estimate before the first sample.
    """

    def __init__(self, first: datetime.timedelta):
        self.value = first

    def add(self, sample: datetime.timedelta) -> None:
        """Adds a sample."""
        if sample > self.value:
            self.value *= 1 + ESTIMATE_STEP * HEDGE_QUANTILE
        else:
            self.value *= 1 - ESTIMATE_STEP * (1 - HEDGE_QUANTILE)


class HedgedCall:
    """Runs attempts at a call until one gets an answer that need not be retried.

    Args:
      start: Given the attempt's number, returns the attempt, or None if no server is left.
      may_retry: Takes one retry from the budget; returns False if there is none.
      deadline: The monotonic instant at which the call ends.
      hedge_after: How long to wait for the attempts in flight before another one is started.
      clock: Gives the time.
      rng: Source of the backoff's jitter.
    """

    def __init__(
        self,
        start: StartAttempt,
        may_retry: collections.abc.Callable[[], bool],
        deadline: datetime.timedelta,
        hedge_after: datetime.timedelta,
        clock: Clock,
        rng: random.Random,
    ):
        self._start = start
        self._may_retry = may_retry
        self._deadline = deadline
        self._hedge_after = hedge_after
        self._clock = clock
        self._rng = rng
        self._pending: list[asyncio.Task] = []
        self._failures: list[Ok[ServiceResponse] | NotSent | Unknown] = []
        self._launched = 0
        self._no_more_attempts = False

    async def run(self) -> Ok[ServiceResponse] | NotRun | Failed:
        """Returns the first answer that need not be retried, or the outcome of the failures."""
        try:
            self._launch()
            while self._pending:
                answer = await self._wait_once()
                if answer is not None:
                    return answer
                await self._launch_another()
            return self._combined_outcome()
        finally:
            for attempt in self._pending:
                attempt.cancel()

    def _time_left(self):
        return self._deadline - self._clock.monotonic()

    def _launch(self):
        attempt = self._start(self._launched)
        if attempt is None:
            self._no_more_attempts = True
            return
        self._launched += 1
        self._no_more_attempts = self._launched >= MAX_ATTEMPTS
        self._pending.append(asyncio.ensure_future(attempt))

    async def _wait_once(self):
        left = max(ZERO, self._time_left())
        limit = left if self._no_more_attempts else min(left, self._hedge_after)
        await asyncio.wait(
            self._pending, timeout=limit.total_seconds(), return_when=asyncio.FIRST_COMPLETED
        )
        done = [attempt for attempt in self._pending if attempt.done()]
        self._pending = [attempt for attempt in self._pending if not attempt.done()]
        for attempt in done:
            outcome = attempt.result()
            if isinstance(outcome, Ok) and outcome.value.status not in RETRIED_STATUSES:
                return outcome
            self._failures.append(outcome)
        if self._time_left() <= ZERO:
            return self._combined_outcome()
        return None

    async def _launch_another(self):
        if self._no_more_attempts or not self._may_retry():
            self._no_more_attempts = True
            return
        if not self._pending:
            max_backoff = doubled(FIRST_BACKOFF, self._launched - 1, max(ZERO, self._time_left()))
            await self._clock.sleep(max_backoff * self._rng.random())
        if self._time_left() > ZERO:
            self._launch()

    def _combined_outcome(self):
        if self._pending:
            return Failed("no answer in time", status=504)
        answers = [outcome for outcome in self._failures if isinstance(outcome, Ok)]
        if answers:
            return answers[-1]
        if all(isinstance(outcome, NotSent) for outcome in self._failures):
            return not_run(self._failures[-1] if self._failures else None)
        last = next(o for o in reversed(self._failures) if isinstance(o, Unknown))
        return Failed(last.reason, status=504)


RETRY_AFTER = datetime.timedelta(seconds=1)


def not_run(last: NotSent | None) -> NotRun:
    """Returns the outcome of a call of which no attempt was sent."""
    if last is None:
        return NotRun("no server of the service takes work", RETRY_AFTER)
    return NotRun(last.reason, last.retry_after or RETRY_AFTER)
