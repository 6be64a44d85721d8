"""Callers of a scenario: they send, time out, send again under the same key, and check answers."""

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
from cicadapond.standin import whole_answer

POLL_INTERVAL = datetime.timedelta(seconds=1)
RESEND_WAIT = datetime.timedelta(seconds=1)
BROKEN = "broken"
FINAL = ("ok", "failed", "unknown")
NEW_VERSIONS = "v2", "v3"

call_kinds: "Registry[CallKind]" = Registry("kind of call")


@attrs.frozen
class Outcome:
    """What a caller was told; `wrong` says in what an answer is not the one expected."""

    tag: str
    detail: str = ""
    wrong: str = ""
    retry_after: datetime.timedelta | None = None


class Balancer(abc.ABC):
    """The platform's balancer: gives a caller a ready entry."""

    @abc.abstractmethod
    def choose(self, zone: str):
        """Returns a ready entry of a data centre ("" for any), or None."""


class CountingSink(CompletionSink):
    """Keeps a streamed answer, with the instant of its first token."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self.tokens_seen: list[str] = []
        self.first_at: datetime.timedelta | None = None

    async def tokens(self, tokens):
        if self.first_at is None:
            self.first_at = self._clock.monotonic()
        self.tokens_seen.extend(token.text for token in tokens)


@attrs.define
class Request:
    """One request of a caller."""

    name: str
    key: str
    line: LoadLine
    account: str
    sink: CountingSink


class CallKind(abc.ABC):
    """What one kind of caller sends, and what it holds for the right answer."""

    keyed = False
    resends_failed = False

    @abc.abstractmethod
    async def send(self, entry, req: Request, rng: random.Random) -> Outcome:
        """Sends a request to an entry and waits for what it says."""

    async def finish(self, callers: "Callers", req: Request, outcome: Outcome) -> Outcome:
        """Waits for what comes after an entry's answer, at any entry; nothing by default."""
        return outcome


class Callers:
    """All callers of a scenario.

    Args:
      balancer: Gives them entries.
      clock: Gives the time.
      rng: Decides arrivals and texts.
      record: Takes what they see.
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
        """Sends one line's load, in an open loop."""
        cfg = ArrivalSettings(line.rate, line.length.total_seconds())
        start = line.start
        for time in arrivals.create("poisson").times(cfg, self._rng):
            due = start + datetime.timedelta(seconds=time)
            await self.clock.sleep(due - self.clock.monotonic())
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
            req = Request(name, key, line, account, CountingSink(self.clock))
            outcome = await self._attempt(kind, req, random.Random(seed))
            final = outcome.tag in FINAL and not (kind.resends_failed and outcome.tag == "failed")
            if final or attempt == line.resend:
                return
            wait = outcome.retry_after or RESEND_WAIT
            await self.clock.sleep(wait * (0.5 + rng.random()))

    async def _attempt(self, kind, req, rng):
        entry = self.balancer.choose(req.line.zone)
        now = self.clock.monotonic()
        where = entry.name if entry is not None else ""
        self.record.add(Sent(now, req.name, req.line.kind, req.account, where, req.key))
        if entry is None:
            outcome = Outcome(BROKEN, "no entry is ready")
        else:
            outcome = await self._exchange(kind, entry, req, rng)
        if outcome.tag == "ok":
            outcome = await kind.finish(self, req, outcome)
        self._note(req, now, outcome)
        return outcome

    async def _exchange(self, kind, entry, req, rng):
        call = asyncio.ensure_future(self._send(kind, entry, req, rng))
        gone = asyncio.ensure_future(entry.gone.wait())
        entry.open_requests.add(req.name)
        limit = req.line.timeout.total_seconds()
        try:
            await asyncio.wait((call, gone), timeout=limit, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            return Outcome(BROKEN, "the entry is gone" if gone.done() else "the caller gave up")
        finally:
            entry.open_requests.discard(req.name)
            call.cancel()
            gone.cancel()

    async def _send(self, kind, entry, req, rng):
        node = entry.node
        await node.crossing()
        outcome = await kind.send(entry, req, rng)
        await node.crossing()
        return outcome

    def _note(self, req, sent_at, outcome):
        first_at = req.sink.first_at
        answered = Answered(
            at=self.clock.monotonic(),
            request=req.name,
            kind=req.line.kind,
            account=req.account,
            outcome=outcome.tag,
            key=req.key,
            first=first_at - sent_at if first_at is not None else None,
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
            return told(outcome)
        return Outcome("ok", wrong=difference(completion, req.sink.tokens_seen))


@call_kinds.register("question")
class QuestionKind(_CompletionKind):
    """A quick question; somebody waits at the counter."""

    priority = Priority.INTERACTIVE


@call_kinds.register("draft")
class DraftKind(_CompletionKind):
    """A long draft that a clerk waits for."""


@call_kinds.register("planogram")
class PlanogramKind(_CompletionKind):
    """A long text that shares its start with all others of the season."""

    priority = Priority.BATCH
    shared_words = 320


@call_kinds.register("poison")
class PoisonKind(_CompletionKind):
    """A request whose prompt crashes engines that are told to crash on it."""

    def completion(self, req, rng):
        return attrs.evolve(super().completion(req, random.Random(0)), prompt="poison prompt")


@call_kinds.register("durable")
class DurableKind(PlanogramKind):
    """A planogram that nobody waits for: accepted, then asked for until it is there."""

    async def send(self, entry, req, rng):
        completion = attrs.evolve(self.completion(req, rng), durable=True)
        self._sent = completion
        outcome = await entry.core.accept(completion)
        return Outcome("ok") if isinstance(outcome, Ok) else told(outcome)

    async def finish(self, callers, req, outcome):
        callers.record.add(Accepted(callers.clock.monotonic(), req.name))
        while True:
            await callers.clock.sleep(POLL_INTERVAL)
            entry = callers.balancer.choose("")
            if entry is None:
                continue
            found = await entry.core.lookup(req.name, req.account)
            if not isinstance(found, Ok):
                continue
            if found.value.state is RequestState.DONE:
                return Outcome("ok", wrong=difference(self._sent, found.value.tokens))
            if found.value.state is RequestState.FAILED:
                return Outcome("failed", found.value.row.reason)


# Plain services


@call_kinds.register("stock")
class StockKind(CallKind):
    """A stock check: idempotent, so that its caller asks again after any failure."""

    resends_failed = True

    async def send(self, entry, req, rng):
        path = f"/stock/{rng.randrange(400)}"
        call = ServiceCall(req.name, req.account, SERVICE, "GET", path, idempotent=True)
        outcome = await entry.core.call_service(call)
        if not isinstance(outcome, Ok):
            return told(outcome)
        found = json.loads(outcome.value.body).get("path")
        return Outcome("ok", wrong="" if found == path else f"answer for {found}, not {path}")


@call_kinds.register("charge")
class ChargeKind(CallKind):
    """A charge under a key of its own; it must not run twice."""

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
            return told(outcome)
        found = json.loads(outcome.value.body).get("key")
        return Outcome("ok", wrong="" if found == req.key else f"answer for {found}, not {req.key}")


def told(outcome: NotRun | Failed | Unknown) -> Outcome:
    """Returns what a caller makes of an outcome that is not its answer."""
    match outcome:
        case NotRun(reason, retry_after):
            return Outcome("not_run", reason, retry_after=retry_after)
        case Failed(reason):
            return Outcome("failed", reason)
        case Unknown(reason):
            return Outcome("unknown", reason)
    raise TypeError(f"{outcome!r} is no outcome")


def difference(completion: Completion, tokens: typing.Sequence[str]) -> str:
    """Returns in what an answer differs from the whole one of any version, or ""."""
    found = ""
    for version in (FIRST_VERSION, *NEW_VERSIONS):
        call = GenerateCall("", 1, MODEL, version, completion.prompt, completion.max_tokens)
        expected = whole_answer(call)
        if list(tokens) == expected:
            return ""
        found = found or _first_difference(expected, tokens)
    return found


def _first_difference(expected, tokens):
    if len(expected) != len(tokens):
        return f"{len(tokens)} tokens, not {len(expected)}"
    place = next(
        n for n, pair in enumerate(zip(expected, tokens, strict=True)) if pair[0] != pair[1]
    )
    return f"token {place} is {tokens[place]!r}, not {expected[place]!r}"
