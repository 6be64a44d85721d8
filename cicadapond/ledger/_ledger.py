"""Policies "ledger" and "ledger-strict": execute attempts against the table service."""

import asyncio
import collections
import random

import attrs
import msgpack

from cicadapond.backend import NotSent
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
from cicadapond.ledger._api import KeyedCall, KeyedCallPolicy, keyed_call_policies
from cicadapond.ledger._attempt import (
    STATUS_BODY_MISMATCH,
    STATUS_IN_PROGRESS,
    STATUS_UNAVAILABLE,
    Attempt,
)
from cicadapond.ledger._group import GroupReader, GroupWriter
from cicadapond.ledger._messages import (
    Finish,
    Put,
    Read,
    Respond,
    RowRead,
    RowWritten,
    Send,
    SendAnswered,
    SendNotRun,
    SendUnknown,
    StoreOut,
    Wait,
    Waited,
    WriteLost,
    WriteRefused,
)
from cicadapond.ledger._row import (
    TABLE,
    decode_answer,
    decode_row,
    encode_answer,
    encode_row,
    row_key,
)
from cicadapond.ledger._settings import LedgerSettings
from cicadapond.provider import ObjectStore, TableService, Write

TOKEN_BITS = 128


@attrs.define
class _RunningAttempt:
    """An attempt in this process; `outcome` is the future that its callers await."""

    keyed_call: KeyedCall
    attempt: Attempt
    outcome: asyncio.Future
    task: asyncio.Task | None = None


@keyed_call_policies.register("ledger")
class Ledger(KeyedCallPolicy):
    """Runs each keyed call at most once, whichever process, host or storage fails.

    Args:
      tables: The table service, for calls of `StoreClass.AT_MOST_ONCE`.
      objects: The object store for large answers; None stores all answers in the rows.
      cfg: The settings.
      clock: Source of monotonic and wall-clock time.
      metrics: Receives the counters.
      rng: Generates the attempts' tokens; must be seeded differently in every process.
    """

    strict = False

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore | None,
        cfg: LedgerSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._objects = objects
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._writer = GroupWriter(tables, cfg.group_interval, cfg.group_limit, metrics)
        self._reader = GroupReader(tables, cfg.group_interval, cfg.group_limit)
        self._running: dict[str, _RunningAttempt] = {}
        self._sent_keys: collections.OrderedDict[str, None] = collections.OrderedDict()

    async def call(self, keyed_call, send):
        key = row_key(keyed_call.account, keyed_call.key)
        now = self._clock.monotonic()
        deadline = (
            now + self._cfg.call_limit if keyed_call.deadline is None else keyed_call.deadline
        )
        running = self._running.get(key)
        if running is not None:
            outcome = await self._join_attempt(running, keyed_call, deadline)
        else:
            outcome = await self._start_attempt(key, keyed_call, send, deadline)
        self._metrics.count("keyed_calls", outcome=type(outcome).__name__.lower())
        return outcome

    @property
    def running(self):
        return len(self._running)

    def state(self):
        phases = collections.Counter(r.attempt.phase.value for r in self._running.values())
        return {"attempts": dict(phases), "remembered": len(self._sent_keys)}

    async def close(self):
        tasks = [running.task for running in self._running.values()]
        for task in tasks:
            task.cancel()
        self._writer.close()
        self._reader.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Callers

    async def _start_attempt(self, key, keyed_call, send, deadline):
        token = f"{self._rng.getrandbits(TOKEN_BITS):032x}"
        attempt = Attempt(self._cfg, self._clock, keyed_call.body, token, deadline, self.strict)
        running = _RunningAttempt(keyed_call, attempt, asyncio.get_running_loop().create_future())
        self._running[key] = running
        running.task = asyncio.ensure_future(self._run(key, running, send, deadline))
        try:
            return await asyncio.shield(running.outcome)
        except asyncio.CancelledError:
            attempt.caller_gone = True
            raise

    async def _join_attempt(self, running, keyed_call, deadline):
        if running.keyed_call.body != keyed_call.body:
            return NotRun("this key was used before with another body", status=STATUS_BODY_MISMATCH)
        running.attempt.caller_gone = False
        remaining_seconds = (deadline - self._clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, remaining_seconds)):
                return await asyncio.shield(running.outcome)
        except TimeoutError:
            reason = "a request with this key is in progress"
            return Unknown(reason, STATUS_IN_PROGRESS, self._cfg.longest_wait)

    # The attempt

    async def _run(self, key, running, send, deadline):
        try:
            await self._execute(key, running, send, deadline)
        finally:
            del self._running[key]
            if not running.outcome.done():
                running.outcome.set_result(Unknown("this process ends"))

    async def _execute(self, key, running, send, deadline):
        attempt = running.attempt
        commands = attempt.start()
        while True:
            for command in commands:
                if isinstance(command, Respond):
                    running.outcome.set_result(self._downgrade_not_run(key, command.outcome))
            match commands[-1]:
                case Finish():
                    return
                case Put(row, expected):
                    event = await self._put(key, row, expected)
                case Read():
                    event = await self._read(key)
                case Send():
                    self._remember(key)
                    event = _send_event(await send(deadline))
                case Wait(duration):
                    await self._clock.sleep(duration)
                    event = Waited()
            if isinstance(event, SendNotRun):
                self._sent_keys.pop(key, None)
            commands = attempt.handle(event)

    def _remember(self, key):
        self._sent_keys[key] = None
        self._sent_keys.move_to_end(key)
        if len(self._sent_keys) > self._cfg.remembered:
            self._sent_keys.popitem(last=False)

    def _downgrade_not_run(self, key, outcome):
        """Turns NotRun into Unknown if the row is unreadable and this process has sent the key."""
        if (
            isinstance(outcome, NotRun)
            and outcome.status == STATUS_UNAVAILABLE
            and key in self._sent_keys
        ):
            reason = "an earlier request with this key ran or may have; its record is out of reach"
            return Unknown(reason, STATUS_UNAVAILABLE, outcome.retry_after)
        return outcome

    # The table service

    async def _put(self, key, row, expected):
        row = await self._offload_large_answer(key, row)
        if row is None:
            return StoreOut()
        write = Write(TABLE, key, encode_row(row), expected)
        match await self._writer.put(write):
            case Ok(version):
                return RowWritten(version)
            case Conflict(current):
                row = decode_row(current[TABLE, key])
                return WriteRefused(await self._load_answer(row))
            case AnswerLost():
                self._metrics.count("ledger_answers_lost")
                return WriteLost()
            case Unavailable(_, retry_after):
                return StoreOut(retry_after)

    async def _read(self, key):
        match await self._reader.get(TABLE, key):
            case Ok(row):
                return RowRead(await self._load_answer(decode_row(row)))
            case Unavailable(_, retry_after):
                return StoreOut(retry_after)

    # Large answers

    async def _offload_large_answer(self, key, row):
        """Returns the row with a large answer moved to the object store, None if that fails."""
        answer = row.answer
        if answer is None or self._objects is None or len(answer.body) <= self._cfg.answer_limit:
            return row
        name = f"ledger/{key}/{row.token}"
        outcome = await self._objects.put(name, msgpack.packb(encode_answer(answer)))
        if not isinstance(outcome, Ok):
            return None
        return attrs.evolve(row, answer=None, answer_object=name)

    async def _load_answer(self, row):
        """Returns the row with its answer from the object store, or as it is if that fails."""
        if row is None or row.answer_object is None or self._objects is None:
            return row
        outcome = await self._objects.get(row.answer_object)
        if not isinstance(outcome, Ok) or outcome.value is None:
            return row
        return attrs.evolve(row, answer=decode_answer(msgpack.unpackb(outcome.value)))


@keyed_call_policies.register("ledger-strict")
class StrictLedger(Ledger):
    """Returns NotRun only if it has read the key's row, so that NotRun covers resends as well.

    While the table service is unavailable, `Ledger` returns NotRun for a request that it did not
    send, although an earlier request with the same key may have run.  This policy returns Unknown.
    """

    strict = True


def _send_event(outcome):
    match outcome:
        case Ok(answer):
            return SendAnswered(answer)
        case NotSent(reason, retry_after):
            return SendNotRun(reason, retry_after)
        case Unknown(reason):
            return SendUnknown(reason)
