"""Writes an owner's log to the table service: group commit, checkpoints, adoption."""

import asyncio
import collections
import collections.abc
import datetime
import random

import attrs
import msgpack

from cicadapond.data import Completion, Finished, content_hash
from cicadapond.journal._adoption import Adopter, Orphan
from cicadapond.journal._log import (
    Closed,
    Committed,
    Fenced,
    Owned,
    OwnedElsewhere,
    OwnerLog,
    Refused,
)
from cicadapond.journal._rows import RequestRow, RequestState, owner_id, request_hash
from cicadapond.journal._settings import JournalSettings
from cicadapond.kernel import (
    AnswerLost,
    Clock,
    Conflict,
    Metrics,
    NotRun,
    Ok,
    Unavailable,
    Unknown,
)
from cicadapond.provider import ObjectStore, TableService

UNIQUE_NAME_BITS = 128
KEY_REUSED_STATUS = 422
RETRY_AFTER = datetime.timedelta(seconds=1)
RELEASE_ATTEMPTS = 5
RESEND_DELAY = datetime.timedelta(milliseconds=100)


class Journal:
    """The durable requests of one process.

    Args:
      tables: The table service, for calls of `StoreClass.JOURNAL`.
      objects: The object store for long token lists; None keeps them all in rows.
      cfg: The settings.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Generates unique names and jitter; must be seeded differently in every process.
      process: The process's name; owner ids begin with it.
      process_count: Returns how many processes share the write and scan budgets.
      dead_processes: Returns the processes that membership reports dead.
      on_owned: Called with a request and its tokens once this process owns it and may run it.
      on_lost: Called with the ids of requests that this process no longer owns.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore | None,
        cfg: JournalSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        process: str,
        process_count: collections.abc.Callable[[], int] = lambda: 1,
        dead_processes: collections.abc.Callable[[], collections.abc.Container[str]] = frozenset,
        on_owned: collections.abc.Callable = lambda req, tokens: None,
        on_lost: collections.abc.Callable = lambda lost: None,
    ):
        self.tables = tables
        self.objects = objects
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._process = process
        self._process_count = process_count
        self._dead_processes = dead_processes
        self._on_owned = on_owned
        self._on_lost = on_lost
        self._adopter = Adopter(tables, objects, cfg, clock, rng)
        self._log = self._new_log()
        self._waiters: dict[str, asyncio.Future] = {}
        self._wake = asyncio.Event()
        self._write_lock = asyncio.Lock()
        self._is_released = False
        self._progress_events: dict[str, asyncio.Event] = collections.defaultdict(asyncio.Event)

    @property
    def open_requests(self) -> int:
        """The number of unfinished requests that this process owns."""
        return len(self._log.requests)

    def state(self) -> dict:
        """Returns the state for the admin port's state dump."""
        log = self._log
        return {
            "owner": log.owner,
            "in_doubt": log.in_doubt,
            "requests": {
                request_id: {
                    "stage": record.stage.value,
                    "epoch": record.row.epoch,
                    "tokens": len(record.tokens),
                    "durable": record.durable,
                }
                for request_id, record in log.requests.items()
            },
        }

    # Requests

    async def accept(self, req: Completion) -> Ok[str] | NotRun | Unknown:
        """Makes a request durable, owned by this process.

        Requests of one account with the same idempotency key are one request.

        Returns:
          Ok with the request's id; NotRun; or Unknown if the storage does not answer within
          `accept_limit`.
        """
        if self._is_released:
            return NotRun("this process is stopping", RETRY_AFTER)
        request_id = durable_id(req)
        body = request_hash(req)
        record = self._log.requests.get(request_id)
        if record is not None and record.row.body != body:
            return NotRun("this key was used before with another body", status=KEY_REUSED_STATUS)
        if record is None:
            if self.open_requests >= self._cfg.max_open:
                return NotRun("too many durable requests are open", self._cfg.longest_backoff)
            row = RequestRow(
                request=attrs.evolve(req, request_id=request_id, deadline=None, durable=True),
                body=body,
                owner=self._log.owner,
                epoch=1,
                state=RequestState.OPEN,
                accepted=self._clock.now(),
            )
            self._log.add(row)
        return await self._wait_until_owned(request_id, body)

    def set_model_version(self, request_id: str, version: str) -> None:
        """Sets the model version that generates a request's tokens; drops those of another."""
        self._log.set_model_version(request_id, version)

    def version(self, request_id: str) -> str:
        """Returns the model version of a request's tokens, "" if it has none."""
        record = self._log.requests.get(request_id)
        return "" if record is None else record.model_version

    def append(self, request_id: str, tokens: tuple[str, ...]) -> None:
        """Appends generated tokens; the next checkpoint makes them durable."""
        self._log.append(request_id, tokens)

    def owns(self, request_id: str) -> bool:
        """Whether this process owns a request."""
        return request_id in self._log.requests

    def tokens(self, request_id: str) -> tuple[str, ...] | None:
        """Returns a request's tokens so far, None if this process does not own it."""
        record = self._log.requests.get(request_id)
        return None if record is None else tuple(record.tokens)

    def durable_tokens(self, request_id: str) -> tuple[str, ...] | None:
        """Returns a request's durable tokens, None if this process does not own it."""
        record = self._log.requests.get(request_id)
        return None if record is None else tuple(record.tokens[: record.durable])

    async def wait_for_progress(self, request_id: str) -> None:
        """Waits until more of a request is durable, or this process no longer owns it."""
        await self._progress_events[request_id].wait()

    async def finish(self, request_id: str, finished: Finished, term: datetime.timedelta) -> None:
        """Records a request's complete answer; the next checkpoint makes it durable.

        Does not wait for that checkpoint; waits for the object store if the answer is stored there.

        Args:
          request_id: The request's id.
          finished: The last event of its stream.
          term: How long the answer is kept.
        """
        record = self._log.requests.get(request_id)
        if record is None:
            return
        name = f"journal/{request_id}/{record.row.epoch}"
        tokens = tuple(record.tokens)
        versioned = attrs.evolve(record.row, version=record.model_version)
        row = await self._with_tokens(versioned, tokens, name)
        closed_row = attrs.evolve(
            row,
            state=RequestState.DONE,
            expires=self._clock.now() + term,
            finish=(finished.reason, finished.cached_tokens, finished.computed_tokens),
        )
        self._close(request_id, record, closed_row)

    def fail(self, request_id: str, reason: str, status: int, term: datetime.timedelta) -> None:
        """Records that a request has failed permanently; the next checkpoint makes it durable."""
        record = self._log.requests.get(request_id)
        if record is not None:
            row = attrs.evolve(record.row, state=RequestState.FAILED, reason=reason, status=status)
            closed_row = attrs.evolve(row, expires=self._clock.now() + term)
            self._close(request_id, record, closed_row)

    # Loops

    async def write_loop(self) -> None:
        """Writes a batch per interval, and earlier when callers wait for it."""
        while True:
            await self._wait_for_work()
            outcome = await self.write_once()
            if isinstance(outcome, AnswerLost):
                await self._clock.sleep(RESEND_DELAY)
                self._wake.set()

    async def write_once(self) -> Ok | Conflict | Unavailable | AnswerLost | None:
        """Sends one batch; returns its outcome, or None if there is nothing to write."""
        async with self._write_lock:
            log = self._log
            batch = log.next_batch(self._cfg.write_interval(self._process_count()))
            if batch is None:
                return None
            outcome = await self.tables.transact(batch.writes)
            self._metrics.count("journal_writes", outcome=type(outcome).__name__.lower())
            for result in log.handle_outcome(outcome):
                self._deliver(result)
            return outcome

    async def adopt_loop(self, capacity: collections.abc.Callable[[], int]) -> None:
        """Scans for dead owners and adopts their requests.

        Args:
          capacity: Returns how many more requests this process can own.
        """
        while True:
            interval = self._cfg.scan_interval(self._process_count())
            await self._clock.sleep(interval * (0.5 + self._rng.random()))
            for orphan in await self._find_orphans(capacity(), interval):
                self._claim(orphan)

    async def release(self) -> None:
        """Releases all requests with their tokens so far, for a planned stop."""
        self._is_released = True
        self._log.release()
        for _ in range(RELEASE_ATTEMPTS):
            outcome = await self.write_once()
            if outcome is None or self._log.fenced or isinstance(outcome, Unavailable):
                return
            if isinstance(outcome, AnswerLost):
                await self._clock.sleep(RESEND_DELAY)

    # Internals

    def _new_log(self):
        return OwnerLog(owner_id(self._process, self._unique_name()), self._unique_name)

    def _unique_name(self):
        return f"{self._rng.getrandbits(UNIQUE_NAME_BITS):032x}"

    def _close(self, request_id, record, row):
        if self._log.requests.get(request_id) is record:
            self._log.close(request_id, row)

    async def _wait_for_work(self):
        if self._log.is_idle:
            await self._wake.wait()
        interval = self._cfg.write_interval(self._process_count())
        try:
            async with asyncio.timeout(interval.total_seconds()):
                await self._wake.wait()
            await self._clock.sleep(self._cfg.group_interval)
        except TimeoutError:
            pass
        self._wake.clear()

    async def _wait_until_owned(self, request_id, body):
        waiter = self._waiters.get(request_id)
        if waiter is None:
            if self._log.is_durable(request_id):
                return Ok(request_id)
            waiter = self._waiters[request_id] = asyncio.get_running_loop().create_future()
        self._wake.set()
        try:
            async with asyncio.timeout(self._cfg.accept_limit.total_seconds()):
                result = await asyncio.shield(waiter)
        except TimeoutError:
            return Unknown("the storage does not say whether the request was accepted")
        return _accept_outcome(result, body)

    async def _find_orphans(self, capacity, interval):
        return await self._adopter.find_orphans(
            self._log.owner, capacity, interval, self._dead_processes()
        )

    def _claim(self, orphan: Orphan):
        request_id = orphan.row.request.request_id
        if request_id not in self._log.requests and not self._is_released:
            self._log.add(orphan.row, orphan.tokens, orphan.row_version, orphan.previous)
            self._wake.set()

    def _deliver(self, result):
        match result:
            case Owned(request_id):
                record = self._log.requests[request_id]
                if record.previous is not None:
                    self._metrics.count("journal_adoptions")
                self._on_owned(record.row.request, tuple(record.tokens))
                self._resolve_waiter(request_id, result)
            case OwnedElsewhere(request_id) | Refused(request_id):
                self._resolve_waiter(request_id, result)
            case Committed(request_id) | Closed(request_id):
                self._notify_progress(request_id)
            case Fenced(lost, unwritten):
                self._metrics.count("journal_fenced")
                self._replace_fenced_log(lost, unwritten)

    def _replace_fenced_log(self, lost, unwritten):
        """Continues under a new owner id, with the requests that were never written."""
        self._log = self._new_log()
        for row in unwritten:
            self._log.add(row)
        self._wake.set()
        for request_id in lost:
            self._notify_progress(request_id)
        self._on_lost(lost)

    def _resolve_waiter(self, request_id, result):
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def _notify_progress(self, request_id):
        event = self._progress_events.pop(request_id, None)
        if event is not None:
            event.set()

    async def _with_tokens(self, row, tokens, name):
        """Returns the row with the tokens, stored in the object store above `value_limit`.

        If the object store fails, the row holds the tokens.
        """
        size = sum(map(len, tokens))
        if self.objects is not None and size > self._cfg.value_limit:
            outcome = await self.objects.put(name, msgpack.packb(tokens))
            if isinstance(outcome, Ok):
                return attrs.evolve(row, tokens=(), tokens_object=name)
        return attrs.evolve(row, tokens=tokens, tokens_object=None)


def durable_id(req: Completion) -> str:
    """Returns a durable request's id, derived from account and idempotency key if it has a key."""
    if req.idempotency_key is None:
        return req.request_id
    return content_hash("durable", req.account, req.idempotency_key)


def _accept_outcome(result, body):
    match result:
        case Owned(request_id):
            return Ok(request_id)
        case OwnedElsewhere(request_id, row) if row is not None and row.body == body:
            return Ok(request_id)
        case OwnedElsewhere():
            return NotRun("this key was used before with another body", status=KEY_REUSED_STATUS)
        case Refused(_, wait):
            return NotRun("the storage is out of reach", wait or RETRY_AFTER)
    raise ValueError(f"unexpected result for a request: {result}")
