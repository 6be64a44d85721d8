"""The client of the platform's storage in each process: budget, priorities, timeouts.

The storage is shared by all processes and handles a few hundred writes per second.  A process may
always use its even share, and more while the storage accepts it.  Calls of a more urgent class go
first, queues are bounded, and while the storage is unavailable a circuit breaker makes every call
fail at once.
"""

import asyncio
import datetime
import random

import attrs

from cicadapond.kernel import (
    AnswerLost,
    Clock,
    Conflict,
    Metrics,
    Ok,
    Unavailable,
    at_least,
    setting,
)
from cicadapond.provider._api import ObjectStore, TableService
from cicadapond.provider._circuit_breaker import CircuitBreaker
from cicadapond.provider._classes import StoreClass
from cicadapond.provider._priority_limiter import PriorityRateLimiter

PROBE_KEY = ("probe", "probe")
READ_ATTEMPTS = 2
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class BudgetSettings:
    """Limits and timeouts of a process's calls to the platform's storage.

    Attributes:
      writes_per_second: Writes per second of all processes together.
      reads_per_second: Reads per second of all processes together.
      queue_limit: The maximum number of waiting calls of one class.
      longest_wait: The longest time that a call waits to be admitted.
      timeout: The time limit of one attempt.
      hedge_after: The time after which a read without an answer is sent a second time, if the rate
        limit admits one at once.
      trip_after: Number of consecutive failures that open the circuit breaker.
      probe_interval: The time between probes of unavailable storage, before jitter.
    """

    writes_per_second: float = setting(default=300.0, check=at_least(0.1))
    reads_per_second: float = setting(default=1500.0, check=at_least(0.1))
    queue_limit: int = setting(default=256, check=at_least(1))
    longest_wait: datetime.timedelta = 1000 * _MILLISECOND
    timeout: datetime.timedelta = 2000 * _MILLISECOND
    hedge_after: datetime.timedelta = 100 * _MILLISECOND
    trip_after: int = setting(default=4, check=at_least(1))
    probe_interval: datetime.timedelta = 500 * _MILLISECOND


class BudgetedTables:
    """The process's client of the table service and the object store.

    Args:
      inner: The table service's adapter.
      cfg: Limits and timeouts.
      clock: The clock.
      metrics: Records counts and durations of calls by class.
      rng: Source of jitter.
    """

    def __init__(
        self,
        inner: TableService,
        cfg: BudgetSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random | None = None,
    ):
        self._inner = inner
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        write_rate, read_rate = cfg.writes_per_second, cfg.reads_per_second
        self._write_limiter = PriorityRateLimiter(write_rate, write_rate, cfg.queue_limit, clock)
        self._read_limiter = PriorityRateLimiter(read_rate, read_rate, cfg.queue_limit, clock)
        self._circuit = CircuitBreaker(
            cfg.trip_after, cfg.probe_interval, self._probe, clock, rng or random.Random()
        )

    @property
    def is_unavailable(self) -> bool:
        """Whether the storage is considered unavailable."""
        return self._circuit.is_open

    def set_process_count(self, processes: int) -> None:
        """Divides the total budget evenly among the given number of live processes."""
        self._write_limiter.set_floor(self._cfg.writes_per_second / max(1, processes))
        self._read_limiter.set_floor(self._cfg.reads_per_second / max(1, processes))

    def for_class(self, store_class: StoreClass) -> TableService:
        """Returns the table service for calls of one class."""
        return _ClassTables(self, self._inner, store_class)

    def objects_for_class(self, objects: ObjectStore, store_class: StoreClass) -> ObjectStore:
        """Returns an object store whose calls count against the same budget."""
        return _ClassObjects(self, objects, store_class)

    def state(self) -> dict:
        """Returns the budget's state for the debug dump."""
        limiters = {"writes": self._write_limiter, "reads": self._read_limiter}
        state = {
            name: {
                "rate": limiter.rate,
                "queued": {kind.name.lower(): n for kind, n in limiter.queued.items() if n},
            }
            for name, limiter in limiters.items()
        }
        return state | {"out": self.is_unavailable, "outages": self._circuit.times_opened}

    def close(self) -> None:
        """Cancels the background tasks."""
        for component in (self._write_limiter, self._read_limiter, self._circuit):
            component.close()

    async def write(self, store_class: StoreClass, send):
        """Sends a write once.

        Args:
          store_class: The class of the call.
          send: Returns the call as a coroutine.

        Returns:
          The outcome; Unavailable if it was not sent; AnswerLost if there was no answer in time.
        """
        refusal = await self._admit(self._write_limiter, store_class)
        if refusal is not None:
            return self._count(store_class, refusal)
        outcome = await self._timed(store_class, send, AnswerLost)
        self._record_outcome(self._write_limiter, outcome)
        return self._count(store_class, outcome)

    async def read(self, store_class: StoreClass, send):
        """Sends a read, retries it if it fails, and hedges it if it is slow.

        A hedge is a second request in parallel, sent if the rate limit admits one at once.

        Args:
          store_class: The class of the call.
          send: Returns the call as a coroutine; called once for each request sent.

        Returns:
          The outcome, or Unavailable.
        """
        for _ in range(READ_ATTEMPTS):
            refusal = await self._admit(self._read_limiter, store_class)
            if refusal is not None:
                return self._count(store_class, refusal)
            outcome = await self._timed(store_class, lambda: self._hedged(send), Unavailable)
            self._record_outcome(self._read_limiter, outcome)
            if isinstance(outcome, Ok):
                break
        return self._count(store_class, outcome)

    async def _admit(self, limiter, store_class):
        if self._circuit.is_open:
            return Unavailable("the platform's storage is out", self._cfg.probe_interval)
        if not await limiter.acquire(store_class, self._cfg.longest_wait):
            return Unavailable("no budget for the platform's storage", self._cfg.longest_wait)
        if self._circuit.is_open:
            return Unavailable("the platform's storage is out", self._cfg.probe_interval)
        return None

    async def _timed(self, store_class, send, timeout_outcome):
        start = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._cfg.timeout.total_seconds()):
                outcome = await send()
        except TimeoutError:
            outcome = timeout_outcome(f"no answer within {self._cfg.timeout}")
        duration = self._clock.monotonic() - start
        self._metrics.record("store_call", duration, store_class=store_class.name.lower())
        return outcome

    async def _hedged(self, send):
        first = asyncio.ensure_future(send())
        attempts = [first]
        try:
            await asyncio.wait(attempts, timeout=self._cfg.hedge_after.total_seconds())
            if not first.done() and self._read_limiter.is_idle:
                self._metrics.count("store_hedged_reads")
                await self._read_limiter.acquire(StoreClass.STATISTICS, self._cfg.longest_wait)
                attempts.append(asyncio.ensure_future(send()))
            return await _first_ok(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _record_outcome(self, limiter, outcome):
        match outcome:
            case Ok() | Conflict():
                self._circuit.record_success()
                limiter.record_success()
            case Unavailable(retry_after=wait) if wait is not None:
                limiter.record_throttled()
            case _:
                self._circuit.record_failure()

    def _count(self, store_class, outcome):
        outcome_label = type(outcome).__name__.lower()
        self._metrics.count(
            "store_calls", store_class=store_class.name.lower(), outcome=outcome_label
        )
        return outcome

    async def _probe(self):
        try:
            async with asyncio.timeout(self._cfg.timeout.total_seconds()):
                return isinstance(await self._inner.read((PROBE_KEY,)), Ok)
        except TimeoutError:
            return False


async def _first_ok(attempts):
    pending = attempts
    while pending:
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        outcomes = [attempt.result() for attempt in pending if attempt.done()]
        pending = [attempt for attempt in pending if not attempt.done()]
        for outcome in outcomes:
            if isinstance(outcome, Ok):
                return outcome
    return outcomes[-1]


class _ClassTables(TableService):
    def __init__(self, budget, inner, store_class):
        self._budget = budget
        self._inner = inner
        self._class = store_class

    def era(self):
        return self._inner.era()

    async def transact(self, writes):
        return await self._budget.write(self._class, lambda: self._inner.transact(writes))

    async def read(self, keys):
        return await self._budget.read(self._class, lambda: self._inner.read(keys))

    async def scan(self, table, prefix="", after="", limit=1000):
        return await self._budget.read(
            self._class, lambda: self._inner.scan(table, prefix, after, limit)
        )


class _ClassObjects(ObjectStore):
    def __init__(self, budget, inner, store_class):
        self._budget = budget
        self._inner = inner
        self._class = store_class

    async def put(self, name, body):
        return await self._budget.write(self._class, lambda: self._inner.put(name, body))

    async def get(self, name):
        return await self._budget.read(self._class, lambda: self._inner.get(name))

    async def delete(self, name):
        return await self._budget.write(self._class, lambda: self._inner.delete(name))
