"""One client of the platform's storage per process: budget, classes, outage circuit, timeouts.

The storage is shared by every process and carries a few hundred writes a second.  A process may
always use its even share, and more while the storage takes it.  Calls of a better class go
first, queues are bounded, and while the storage is out every call fails at once.
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
from cicadapond.provider._circuit import Circuit
from cicadapond.provider._classes import StoreClass
from cicadapond.provider._gate import Gate

PROBE_KEY = ("probe", "probe")
READ_ATTEMPTS = 2
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class BudgetSettings:
    """What a process may ask of the platform's storage.

    `writes_per_second` and `reads_per_second` are what all processes may use together.
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
      cfg: The budget.
      clock: Gives the time.
      metrics: Takes counts and durations by class.
      rng: Decides jitter.
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
        self._writes = Gate(write_rate, write_rate, cfg.queue_limit, clock)
        self._reads = Gate(read_rate, read_rate, cfg.queue_limit, clock)
        self._circuit = Circuit(
            cfg.trip_after, cfg.probe_interval, self._probe, clock, rng or random.Random()
        )

    @property
    def is_out(self) -> bool:
        """Whether the storage counts as out now."""
        return self._circuit.is_open

    def resize(self, processes: int) -> None:
        """Divides the whole budget evenly among so many live processes."""
        self._writes.resize(self._cfg.writes_per_second / max(1, processes))
        self._reads.resize(self._cfg.reads_per_second / max(1, processes))

    def for_class(self, store_class: StoreClass) -> TableService:
        """Returns the table service for calls of one class."""
        return _ClassTables(self, self._inner, store_class)

    def objects_for_class(self, objects: ObjectStore, store_class: StoreClass) -> ObjectStore:
        """Returns an object store whose calls are paid from the same budget."""
        return _ClassObjects(self, objects, store_class)

    def state(self) -> dict:
        """Returns the budget's state for a dump."""
        gates = {"writes": self._writes, "reads": self._reads}
        state = {
            name: {
                "rate": gate.rate,
                "queued": {kind.name.lower(): n for kind, n in gate.queued.items() if n},
            }
            for name, gate in gates.items()
        }
        return state | {"out": self.is_out, "outages": self._circuit.openings}

    def close(self) -> None:
        """Ends the background tasks."""
        for part in (self._writes, self._reads, self._circuit):
            part.close()

    async def write(self, store_class: StoreClass, send):
        """Sends a write once.

        Args:
          store_class: The class.
          send: Returns the call as a coroutine.

        Returns:
          Its outcome; Unavailable if it was not sent; AnswerLost if no answer came in time.
        """
        refusal = await self._enter(self._writes, store_class)
        if refusal is not None:
            return self._count(store_class, refusal)
        outcome = await self._timed(store_class, send, AnswerLost)
        self._judge(self._writes, outcome)
        return self._count(store_class, outcome)

    async def read(self, store_class: StoreClass, send):
        """Sends a read, again if it fails, and a second one beside it if it is slow.

        Args:
          store_class: The class.
          send: Returns the call as a coroutine; called once for each attempt.

        Returns:
          Its outcome, or Unavailable.
        """
        for _ in range(READ_ATTEMPTS):
            refusal = await self._enter(self._reads, store_class)
            if refusal is not None:
                return self._count(store_class, refusal)
            outcome = await self._timed(store_class, lambda: self._hedged(send), Unavailable)
            self._judge(self._reads, outcome)
            if isinstance(outcome, Ok):
                break
        return self._count(store_class, outcome)

    async def _enter(self, gate, store_class):
        if self._circuit.is_open:
            return Unavailable("the platform's storage is out", self._cfg.probe_interval)
        if not await gate.enter(store_class, self._cfg.longest_wait):
            return Unavailable("no budget for the platform's storage", self._cfg.longest_wait)
        if self._circuit.is_open:
            return Unavailable("the platform's storage is out", self._cfg.probe_interval)
        return None

    async def _timed(self, store_class, send, late):
        start = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._cfg.timeout.total_seconds()):
                outcome = await send()
        except TimeoutError:
            outcome = late(f"no answer within {self._cfg.timeout}")
        took = self._clock.monotonic() - start
        self._metrics.record("store_call", took, store_class=store_class.name.lower())
        return outcome

    async def _hedged(self, send):
        first = asyncio.ensure_future(send())
        attempts = [first]
        try:
            await asyncio.wait(attempts, timeout=self._cfg.hedge_after.total_seconds())
            if not first.done() and self._reads.idle:
                self._metrics.count("store_hedged_reads")
                await self._reads.enter(StoreClass.STATISTICS, self._cfg.longest_wait)
                attempts.append(asyncio.ensure_future(send()))
            return await _first_ok(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _judge(self, gate, outcome):
        match outcome:
            case Ok() | Conflict():
                self._circuit.succeeded()
                gate.went_well()
            case Unavailable(retry_after=wait) if wait is not None:
                gate.was_throttled()
            case _:
                self._circuit.failed()

    def _count(self, store_class, outcome):
        tag = type(outcome).__name__.lower()
        self._metrics.count("store_calls", store_class=store_class.name.lower(), outcome=tag)
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
