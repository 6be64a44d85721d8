"""Runs an owner's log against the table service: group commit, checkpoints, adoption."""

import asyncio
import collections
import collections.abc
import datetime
import random

import attrs
import msgpack

from cicadapond.data import Completion, Finished, body_hash
from cicadapond.journal._adoption import Adopter, Orphan
from cicadapond.journal._log import Closed, Committed, Fenced, Owned, OwnerLog, Refused, Taken
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

NAME_BITS = 128
OTHER_BODY = 422
RETRY_AFTER = datetime.timedelta(seconds=1)
RELEASE_TRIES = 5
RESEND_AFTER = datetime.timedelta(milliseconds=100)


class Journal:
    """The durable requests of one process.

    Args:
      tables: The table service, in its class for this purpose.
      objects: The object store for long token lists; None keeps them all in rows.
      cfg: The settings.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Makes names; seeded differently in every process.
      process: The process's name, for people.
      processes: Returns how many processes share the budget.
      gone: Returns the processes that membership says are dead.
      on_owned: Called with a request and its tokens once it is this process's to run.
      on_lost: Called with the ids of requests that are no longer this process's.
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
        processes: collections.abc.Callable[[], int] = lambda: 1,
        gone: collections.abc.Callable[[], collections.abc.Container[str]] = frozenset,
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
        self._processes = processes
        self._gone = gone
        self._on_owned = on_owned
        self._on_lost = on_lost
        self._adopter = Adopter(tables, objects, cfg, clock, rng)
        self._log = self._new_log()
        self._waiters: dict[str, asyncio.Future] = {}
        self._wake = asyncio.Event()
        self._writing = asyncio.Lock()
        self._released = False
        self._committed: dict[str, asyncio.Event] = collections.defaultdict(asyncio.Event)

    @property
    def open_requests(self) -> int:
        """How many unfinished requests this process has."""
        return len(self._log.requests)

    def state(self) -> dict:
        """Returns what a dump shows."""
        log = self._log
        return {
            "owner": log.owner,
            "in_doubt": log.in_doubt,
            "requests": {
                request_id: {
                    "stage": found.stage.value,
                    "epoch": found.row.epoch,
                    "tokens": len(found.tokens),
                    "durable": found.durable,
                }
                for request_id, found in log.requests.items()
            },
        }

    # Requests

    async def accept(self, req: Completion) -> Ok[str] | NotRun | Unknown:
        """Makes a request durable and this process's.

        The same key of the same account again is the same request.

        Returns:
          Ok with the request's id; NotRun; or Unknown if the store does not answer in time.
        """
        if self._released:
            return NotRun("this process is stopping", RETRY_AFTER)
        request_id = durable_id(req)
        body = request_hash(req)
        known = self._log.requests.get(request_id)
        if known is not None and known.row.body != body:
            return NotRun("this key was used before with another body", status=OTHER_BODY)
        if known is None:
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
            self._log.take(row)
        return await self._wait_until_owned(request_id, body)

    def begin(self, request_id: str, version: str) -> None:
        """Notes which model version gives a request's tokens; those of another are dropped."""
        self._log.begin(request_id, version)

    def version(self, request_id: str) -> str:
        """Returns the model version of a request's tokens, "" if it has none."""
        found = self._log.requests.get(request_id)
        return "" if found is None else found.version

    def append(self, request_id: str, tokens: tuple[str, ...]) -> None:
        """Adds generated tokens; the next checkpoint makes them durable."""
        self._log.append(request_id, tokens)

    def has(self, request_id: str) -> bool:
        """Whether a request is this process's."""
        return request_id in self._log.requests

    def tokens(self, request_id: str) -> tuple[str, ...] | None:
        """Returns a request's tokens so far, None if it is not this process's."""
        found = self._log.requests.get(request_id)
        return None if found is None else tuple(found.tokens)

    def durable_tokens(self, request_id: str) -> tuple[str, ...] | None:
        """Returns a request's durable tokens, None if it is not this process's."""
        found = self._log.requests.get(request_id)
        return None if found is None else tuple(found.tokens[: found.durable])

    async def changed(self, request_id: str) -> None:
        """Waits until more of a request is durable here, or it is no longer this process's."""
        await self._committed[request_id].wait()

    async def finish(self, request_id: str, finished: Finished, term: datetime.timedelta) -> None:
        """Writes a request's whole answer; returns at once, the next checkpoint writes it.

        Args:
          request_id: The request.
          finished: Its end.
          term: How long the answer is kept.
        """
        found = self._log.requests.get(request_id)
        if found is None:
            return
        name = f"journal/{request_id}/{found.row.epoch}"
        tokens = tuple(found.tokens)
        versioned = attrs.evolve(found.row, version=found.version)
        row = await self._with_tokens(versioned, tokens, name)
        ended = attrs.evolve(
            row,
            state=RequestState.DONE,
            expires=self._clock.now() + term,
            finish=(finished.reason, finished.cached_tokens, finished.computed_tokens),
        )
        self._end(request_id, found, ended)

    def fail(self, request_id: str, reason: str, status: int, term: datetime.timedelta) -> None:
        """Writes that a request has failed for good."""
        found = self._log.requests.get(request_id)
        if found is not None:
            row = attrs.evolve(found.row, state=RequestState.FAILED, reason=reason, status=status)
            ended = attrs.evolve(row, expires=self._clock.now() + term)
            self._end(request_id, found, ended)

    # Loops

    async def write_loop(self) -> None:
        """Writes at each interval, and at once what callers wait for."""
        while True:
            await self._wait_for_work()
            outcome = await self.write_once()
            if isinstance(outcome, AnswerLost):
                await self._clock.sleep(RESEND_AFTER)
                self._wake.set()

    async def write_once(self) -> Ok | Conflict | Unavailable | AnswerLost | None:
        """Sends one batch; None if there is nothing to write."""
        async with self._writing:
            log = self._log
            batch = log.next_batch(self._cfg.interval(self._processes()))
            if batch is None:
                return None
            outcome = await self.tables.transact(batch.writes)
            self._metrics.count("journal_writes", outcome=type(outcome).__name__.lower())
            for result in log.on(outcome):
                self._deliver(result)
            return outcome

    async def adopt_loop(self, room: collections.abc.Callable[[], int]) -> None:
        """Looks for dead owners and takes their requests over.

        Args:
          room: Returns how many more requests this process can run.
        """
        while True:
            pause = self._cfg.adopt_pause(self._processes())
            await self._clock.sleep(pause * (0.5 + self._rng.random()))
            for orphan in await self._find_orphans(room(), pause):
                self._claim(orphan)

    async def release(self) -> None:
        """Gives all requests up, with their tokens so far, for a planned stop."""
        self._released = True
        self._log.release()
        for _ in range(RELEASE_TRIES):
            outcome = await self.write_once()
            if outcome is None or self._log.fenced or isinstance(outcome, Unavailable):
                return
            if isinstance(outcome, AnswerLost):
                await self._clock.sleep(RESEND_AFTER)

    # Inside

    def _new_log(self):
        return OwnerLog(owner_id(self._process, self._name()), self._name)

    def _name(self):
        return f"{self._rng.getrandbits(NAME_BITS):032x}"

    def _end(self, request_id, found, row):
        if self._log.requests.get(request_id) is found:
            self._log.end(request_id, row)

    async def _wait_for_work(self):
        if self._log.is_idle:
            await self._wake.wait()
        interval = self._cfg.interval(self._processes())
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
        return _acceptance(result, body)

    async def _find_orphans(self, room, pause):
        return await self._adopter.find(self._log.owner, room, pause, self._gone())

    def _claim(self, orphan: Orphan):
        request_id = orphan.row.request.request_id
        if request_id not in self._log.requests and not self._released:
            self._log.take(orphan.row, orphan.tokens, orphan.version, orphan.previous)
            self._wake.set()

    def _deliver(self, result):
        match result:
            case Owned(request_id):
                found = self._log.requests[request_id]
                if found.previous is not None:
                    self._metrics.count("journal_adoptions")
                self._on_owned(found.row.request, tuple(found.tokens))
                self._answer(request_id, result)
            case Taken(request_id) | Refused(request_id):
                self._answer(request_id, result)
            case Committed(request_id) | Closed(request_id):
                self._wake_followers(request_id)
            case Fenced(lost, unwritten):
                self._metrics.count("journal_fenced")
                self._start_again(lost, unwritten)

    def _start_again(self, lost, unwritten):
        """Goes on under a new owner id; requests that were never written go along."""
        self._log = self._new_log()
        for row in unwritten:
            self._log.take(row)
        self._wake.set()
        for request_id in lost:
            self._wake_followers(request_id)
        self._on_lost(lost)

    def _answer(self, request_id, result):
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)

    def _wake_followers(self, request_id):
        event = self._committed.pop(request_id, None)
        if event is not None:
            event.set()

    async def _with_tokens(self, row, tokens, name):
        """Returns the row with the tokens, in the object store if they are many."""
        size = sum(map(len, tokens))
        if self.objects is not None and size > self._cfg.value_limit:
            outcome = await self.objects.put(name, msgpack.packb(tokens))
            if isinstance(outcome, Ok):
                return attrs.evolve(row, tokens=(), tokens_object=name)
        return attrs.evolve(row, tokens=tokens, tokens_object=None)


def durable_id(req: Completion) -> str:
    """Returns the id of a durable request: the same for the same key of the same account."""
    if req.idempotency_key is None:
        return req.request_id
    return body_hash("durable", req.account, req.idempotency_key)


def _acceptance(result, body):
    match result:
        case Owned(request_id):
            return Ok(request_id)
        case Taken(request_id, row) if row is not None and row.body == body:
            return Ok(request_id)
        case Taken():
            return NotRun("this key was used before with another body", status=OTHER_BODY)
        case Refused(_, wait):
            return NotRun("the storage is out of reach", wait or RETRY_AFTER)
    raise ValueError(f"a request cannot come to {result}")
