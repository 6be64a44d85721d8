"""Callers of a scenario: they send, time out, resend with the same key, and check answers."""

import abc
import asyncio
import datetime
import json
import random
import typing

import attrs

from cicadapond.data import Completion, GenerateCall, Priority, ServiceCall
from cicadapond.entry import CompletionSink
from cicadapond.journal import RequestState
from cicadapond.kernel import Clock, Failed, NotRun, Ok, Registry, Unknown
from cicadapond.load import arrivals
from cicadapond.load._arrivals import ArrivalSettings
from cicadapond.scenario._backends import FIRST_VERSION, MODEL, SERVICE
from cicadapond.scenario._observation import Accepted, Answered, Record, Sent
from cicadapond.scenario._script import LoadLine
from cicadapond.standin import expected_tokens

POLL_INTERVAL = datetime.timedelta(seconds=1)
RESEND_DELAY = datetime.timedelta(seconds=1)
BROKEN = "broken"
FINAL_OUTCOMES = ("ok", "failed", "unknown")
NEW_VERSIONS = "v2", "v3"

call_kinds: "Registry[CallKind]" = Registry("kind of call")


@attrs.frozen
class Outcome:
    """The outcome that a caller sees; `wrong` says how an answer differs from the expected one."""

    tag: str
    detail: str = ""
    wrong: str = ""
    retry_after: datetime.timedelta | None = None


class Balancer(abc.ABC):
    """The platform's load balancer: chooses a ready entry for a caller."""

    @abc.abstractmethod
    def choose(self, zone: str):
        """Returns a ready entry of a data centre ("" for any), or None."""


class RecordingSink(CompletionSink):
    """Records the tokens of a streamed answer and the time of its first token."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self.received_tokens: list[str] = []
        self.first_token_at: datetime.timedelta | None = None

    async def tokens(self, tokens):
        if self.first_token_at is None:
            self.first_token_at = self._clock.monotonic()
        self.received_tokens.extend(token.text for token in tokens)


@attrs.define
class Request:
    """One request of a caller."""

    name: str
    key: str
    line: LoadLine
    account: str
    sink: RecordingSink


class CallKind(abc.ABC):
    """What one kind of caller sends, and how it checks the answer.

    `keyed`: the caller sends an idempotency key.  `resends_failed`: it also resends after "failed".
    """

    keyed = False
    resends_failed = False

    @abc.abstractmethod
    async def send(self, entry, req: Request, rng: random.Random) -> Outcome:
        """Sends a request to an entry and waits for the outcome."""

    async def finish(self, callers: "Callers", req: Request, outcome: Outcome) -> Outcome:
        """Waits, at any entry, for a result that follows the answer; by default there is none."""
        return outcome


class Callers:
    """All callers of a scenario.

    Args:
      balancer: Chooses the entry for each request.
      clock: Gives the time.
      rng: Random source of arrivals and texts.
      record: Receives the observations.
      accounts: Names of the client accounts.
    """

    def __init__(self, balancer: Balancer, clock: Clock, rng, record: Record, accounts):
        self.balancer = balancer
        self.clock = clock
        self._rng = rng
        self.record = record
        self._accounts = accounts
        self._number = 0
        self.pending: set[asyncio.Task] = set()

    async def run(self, line: LoadLine) -> None:
        """Sends the load of one line as an open loop, with Poisson arrivals."""
        cfg = ArrivalSettings(line.rate, line.length.total_seconds())
        start = line.start
        for time in arrivals.create("poisson").times(cfg, self._rng):
            send_at = start + datetime.timedelta(seconds=time)
            await self.clock.sleep(send_at - self.clock.monotonic())
            self._spawn(line)

    def _spawn(self, line):
        self._number += 1
        seed = self._rng.random()
        task = asyncio.ensure_future(self._call(line, self._number, random.Random(seed)))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def _call(self, line, number, rng):
        kind = call_kinds.create(line.kind)
        account = line.account or rng.choice(self._accounts)
        key = f"key-{number}" if kind.keyed else ""
        seed = rng.random()
        for attempt in range(line.resend + 1):
            name = f"{line.kind}-{number}-{attempt}"
            req = Request(name, key, line, account, RecordingSink(self.clock))
            outcome = await self._attempt(kind, req, random.Random(seed))
            final = outcome.tag in FINAL_OUTCOMES and not (
                kind.resends_failed and outcome.tag == "failed"
            )
            if final or attempt == line.resend:
                return
            wait = outcome.retry_after or RESEND_DELAY
            await self.clock.sleep(wait * (0.5 + rng.random()))

    async def _attempt(self, kind, req, rng):
        entry = self.balancer.choose(req.line.zone)
        now = self.clock.monotonic()
        entry_name = entry.name if entry is not None else ""
        self.record.add(Sent(now, req.name, req.line.kind, req.account, entry_name, req.key))
        if entry is None:
            outcome = Outcome(BROKEN, "no entry is ready")
        else:
            outcome = await self._exchange(kind, entry, req, rng)
        if outcome.tag == "ok":
            outcome = await kind.finish(self, req, outcome)
        self._record_answer(req, now, outcome)
        return outcome

    async def _exchange(self, kind, entry, req, rng):
        call = asyncio.ensure_future(self._send(kind, entry, req, rng))
        ended = asyncio.ensure_future(entry.ended.wait())
        entry.open_requests.add(req.name)
        timeout_s = req.line.timeout.total_seconds()
        try:
            await asyncio.wait(
                (call, ended), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if call.done():
                return call.result()
            return Outcome(BROKEN, "the entry has ended" if ended.done() else "the caller gave up")
        finally:
            entry.open_requests.discard(req.name)
            call.cancel()
            ended.cancel()

    async def _send(self, kind, entry, req, rng):
        node = entry.node
        await node.wait_while_paused()
        outcome = await kind.send(entry, req, rng)
        await node.wait_while_paused()
        return outcome

    def _record_answer(self, req, sent_at, outcome):
        first_token_at = req.sink.first_token_at
        answered = Answered(
            at=self.clock.monotonic(),
            request=req.name,
            kind=req.line.kind,
            account=req.account,
            outcome=outcome.tag,
            key=req.key,
            first=first_token_at - sent_at if first_token_at is not None else None,
            wrong=outcome.wrong,
            detail=outcome.detail,
        )
        self.record.add(answered)


# Completions


class _CompletionKind(CallKind):
    priority = Priority.STANDARD
    shared_words = 0

    def completion(self, req: Request, rng: random.Random) -> Completion:
        """Returns the request that the caller sends."""
        shared = [f"shelf-{number}" for number in range(self.shared_words)]
        own = [f"word-{rng.randrange(10_000)}" for _ in range(req.line.words)]
        return Completion(
            request_id=req.name,
            account=req.account,
            model=MODEL,
            prompt=" ".join(shared + own),
            max_tokens=req.line.tokens,
            priority=self.priority,
        )

    async def send(self, entry, req, rng):
        completion = self.completion(req, rng)
        outcome = await entry.core.complete(completion, req.sink)
        if not isinstance(outcome, Ok):
            return caller_outcome(outcome)
        return Outcome("ok", wrong=describe_difference(completion, req.sink.received_tokens))


@call_kinds.register("question")
class QuestionKind(_CompletionKind):
    """A short completion with interactive priority; a person is waiting for it."""

    priority = Priority.INTERACTIVE


@call_kinds.register("draft")
class DraftKind(_CompletionKind):
    """A long completion with standard priority; a person is waiting for it."""


@call_kinds.register("planogram")
class PlanogramKind(_CompletionKind):
    """A long batch completion whose prompt shares its start with all others of this kind."""

    priority = Priority.BATCH
    shared_words = 320


@call_kinds.register("poison")
class PoisonKind(_CompletionKind):
    """A completion whose prompt crashes engines while the `poison` fault is active."""

    def completion(self, req, rng):
        return attrs.evolve(super().completion(req, random.Random(0)), prompt="poison prompt")


@call_kinds.register("durable")
class DurableKind(PlanogramKind):
    """A durable batch completion that nobody waits for: accepted, then polled until it ends."""

    async def send(self, entry, req, rng):
        completion = attrs.evolve(self.completion(req, rng), durable=True)
        self._sent = completion
        outcome = await entry.core.accept(completion)
        return Outcome("ok") if isinstance(outcome, Ok) else caller_outcome(outcome)

    async def finish(self, callers, req, outcome):
        callers.record.add(Accepted(callers.clock.monotonic(), req.name))
        while True:
            await callers.clock.sleep(POLL_INTERVAL)
            entry = callers.balancer.choose("")
            if entry is None:
                continue
            lookup = await entry.core.lookup(req.name, req.account)
            if not isinstance(lookup, Ok):
                continue
            if lookup.value.state is RequestState.DONE:
                return Outcome("ok", wrong=describe_difference(self._sent, lookup.value.tokens))
            if lookup.value.state is RequestState.FAILED:
                return Outcome("failed", lookup.value.row.reason)


# Plain services


@call_kinds.register("stock")
class StockKind(CallKind):
    """An idempotent stock query, which its caller resends after any failure."""

    resends_failed = True

    async def send(self, entry, req, rng):
        path = f"/stock/{rng.randrange(400)}"
        call = ServiceCall(req.name, req.account, SERVICE, "GET", path, idempotent=True)
        outcome = await entry.core.call_service(call)
        if not isinstance(outcome, Ok):
            return caller_outcome(outcome)
        answered_path = json.loads(outcome.value.body).get("path")
        return Outcome(
            "ok", wrong="" if answered_path == path else f"answer for {answered_path}, not {path}"
        )


@call_kinds.register("charge")
class ChargeKind(CallKind):
    """A non-idempotent charge with its own idempotency key; it must not run twice."""

    keyed = True

    async def send(self, entry, req, rng):
        headers = (("Idempotency-Key", req.key), ("Cicadapond-Request-Id", req.name))
        body = json.dumps({"key": req.key}).encode()
        call = ServiceCall(
            req.name,
            req.account,
            SERVICE,
            "POST",
            "/orders",
            headers,
            body,
            idempotency_key=req.key,
        )
        outcome = await entry.core.call_service(call)
        if not isinstance(outcome, Ok):
            return caller_outcome(outcome)
        answered_key = json.loads(outcome.value.body).get("key")
        return Outcome(
            "ok",
            wrong="" if answered_key == req.key else f"answer for {answered_key}, not {req.key}",
        )


def caller_outcome(outcome: NotRun | Failed | Unknown) -> Outcome:
    """Converts a result other than Ok to the outcome that the caller sees."""
    match outcome:
        case NotRun(reason, retry_after):
            return Outcome("not_run", reason, retry_after=retry_after)
        case Failed(reason):
            return Outcome("failed", reason)
        case Unknown(reason):
            return Outcome("unknown", reason)
    raise TypeError(f"{outcome!r} is not NotRun, Failed or Unknown")


def describe_difference(completion: Completion, tokens: typing.Sequence[str]) -> str:
    """Returns "" if an answer is the complete one of any version.

    Otherwise describes how it differs from the complete answer of the first version.
    """
    message = ""
    for version in (FIRST_VERSION, *NEW_VERSIONS):
        call = GenerateCall("", 1, MODEL, version, completion.prompt, completion.max_tokens)
        expected = expected_tokens(call)
        if list(tokens) == expected:
            return ""
        message = message or _first_difference(expected, tokens)
    return message


def _first_difference(expected, tokens):
    if len(expected) != len(tokens):
        return f"{len(tokens)} tokens, not {len(expected)}"
    index = next(
        n for n, pair in enumerate(zip(expected, tokens, strict=True)) if pair[0] != pair[1]
    )
    return f"token {index} is {tokens[index]!r}, not {expected[index]!r}"
