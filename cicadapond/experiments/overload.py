"""Overload: three times the capacity, one large account against four small ones, with retries.

A whole entry runs on the virtual loop before engines in memory.  Callers send on their own
schedule, give up after a time and ask again: at once where they are told nothing, and when they
are told to where they are.
"""

import asyncio
import collections
import datetime
import random

import attrs

from cicadapond.data import (
    BackendServer,
    Completion,
    Endpoint,
    HostEntry,
    HostListing,
    HostState,
    Priority,
    ServerKind,
)
from cicadapond.document import AccountIntent, Intent, ModelIntent, PolicyIntent
from cicadapond.entry import CompletionSink, EntrySettings
from cicadapond.entry._node import Edges, EntryNode
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import Metrics, NotRun, Ok, VirtualClock, run_virtual, seconds
from cicadapond.provider import AdapterSettings, HostList, PlatformSettings
from cicadapond.standin import DirectEngine, EngineModel, EngineSettings, EngineTiming

MODEL = "shade-model"
POOL = "shade-pool"
LARGE = "large"
SMALL = ("small-1", "small-2", "small-3", "small-4")
LARGE_OVERLOAD = 2.0  # of the capacity
SMALL_OVERLOAD = 0.25  # of the capacity, each
CALM = 0.5  # of the capacity, all accounts together, before and after
PERCENT_95 = 0.95
RECOVERED_SHARE = 0.9
WINDOW_SECONDS = 3  # long enough that random arrivals alone do not look like an outage


@attrs.frozen
class OverloadSettings:
    """Sizes of one run.

    Attributes:
      engines: How many engines.
      slots: Each engine's slots.
      tokens: Mean tokens of an answer.
      calm_seconds: Ordinary load before the overload.
      load_seconds: The overload.
      after_seconds: Ordinary load after it.
      timeout: How long a caller waits for its whole answer.
      attempts: How often a caller asks.
    """

    engines: int = 6
    slots: int = 8
    tokens: int = 20
    prompt_words: int = 30
    calm_seconds: int = 15
    load_seconds: int = 60
    after_seconds: int = 30
    timeout: datetime.timedelta = seconds(2)
    attempts: int = 6


@attrs.define
class OverloadResult:
    """What one run showed.

    Attributes:
      capacity: Answers a second that the engines give when they are always busy.
      small_share: The least goodput of a small account during the overload, as a share of its
        fair share of the capacity.
      goodput: All answers a second during the overload, as a share of the capacity.
      first_token: The 95th percentile of the time to the first token of what was admitted.
      recovery: Seconds after the overload until there are as many answers as new requests, for
        good; None if that never happened.
      first_attempt_recovery: The same for the part of requests answered at the first attempt.
      attempts: How often callers asked, by request.
    """

    capacity: float
    small_share: float
    goodput: float
    first_token: float
    recovery: float | None
    first_attempt_recovery: float | None
    attempts: float


class _MemoryHosts(HostList):
    def __init__(self, servers):
        self._listing = HostListing(tuple(HostEntry(server, HostState.LIVE) for server in servers))

    async def list(self):
        return Ok(self._listing)


class _FirstToken(CompletionSink):
    """Notes when the first token came."""

    def __init__(self, clock):
        self._clock = clock
        self.at = None

    async def tokens(self, tokens):
        if self.at is None:
            self.at = self._clock.monotonic()


@attrs.define
class _Sent:
    """One caller's request: when it was sent, and what came of it."""

    account: str
    at: float
    attempts: int = 0
    answered_at: float | None = None


class OverloadWorld:
    """One entry, its engines and its callers.

    Args:
      policy: The admission policy.
      cfg: Sizes.
      seed: Seeds all randomness.
    """

    def __init__(self, policy: str, cfg: OverloadSettings, seed: int):
        self.cfg = cfg
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.sent: list[_Sent] = []
        self.first_tokens: list[tuple[float, float]] = []
        self._calls = set()
        intent = Intent(
            models={MODEL: ModelIntent(POOL, "v1")},
            accounts={name: AccountIntent() for name in (LARGE, *SMALL)},
            policies=PolicyIntent(admission=policy),
        )
        self.models = {
            f"engine-{n}": EngineModel(
                EngineTiming(), self.clock, EngineSettings(slots=cfg.slots), f"engine-{n}"
            )
            for n in range(cfg.engines)
        }
        self.node = self._node(intent, seed)

    def _node(self, intent, seed):
        servers = [
            BackendServer(name, ServerKind.ENGINE, POOL, "yqr", Endpoint("127.0.0.1", 1 + n))
            for n, name in enumerate(self.models)
        ]
        settings = EntrySettings(
            name="entry",
            zone="yqr",
            http=Endpoint("127.0.0.1", 0),
            admin=Endpoint("127.0.0.1", 0),
            platform=PlatformSettings(hosts=AdapterSettings("memory")),
        )
        edges = Edges(
            hosts=_MemoryHosts(servers),
            connect=lambda server: DirectEngine(self.models[server.name], server, self.models),
        )
        rng = random.Random(f"{seed} node")
        return EntryNode(settings, edges, self.clock, Metrics(), rng, fixed=intent)

    async def start(self):
        """Starts the entry and waits for the first load reports."""
        await self.node.start()
        await self.clock.sleep(seconds(3))

    async def close(self):
        """Ends the callers and the entry."""
        for call in list(self._calls):
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        await self.node.kill()
        for model in self.models.values():
            await model.close()

    # Callers

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.monotonic().total_seconds()

    async def offer(self, account: str, rate: float, duration: float) -> None:
        """Sends an account's requests at random instants, whatever becomes of them."""
        end = self.now() + duration
        while True:
            wait = self.rng.expovariate(rate)
            if self.now() + wait >= end:
                return
            await self.clock.sleep(seconds(wait))
            call = asyncio.ensure_future(self._caller(account))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _caller(self, account):
        sent = _Sent(account, self.now())
        self.sent.append(sent)
        while sent.attempts < self.cfg.attempts:
            sent.attempts += 1
            outcome = await self.ask(account)
            if isinstance(outcome, Ok):
                sent.answered_at = self.now()
                return
            if isinstance(outcome, NotRun) and outcome.retry_after is not None:
                await self.clock.sleep(outcome.retry_after)

    async def ask(self, account: str):
        """Asks once; returns the outcome, None if the caller gave up."""
        prompt = " ".join(f"{self.rng.getrandbits(24):x}" for _ in range(self.cfg.prompt_words))
        started = self.now()
        sink = _FirstToken(self.clock)
        req = Completion(
            request_id=f"{self.rng.getrandbits(64):016x}",
            account=account,
            model=MODEL,
            prompt=prompt,
            max_tokens=self.rng.randint(self.cfg.tokens // 2, 3 * self.cfg.tokens // 2),
            priority=Priority.INTERACTIVE,
            deadline=self.clock.monotonic() + self.cfg.timeout,
        )
        try:
            async with asyncio.timeout(self.cfg.timeout.total_seconds()):
                return await self.node.core.complete(req, sink)
        except TimeoutError:
            return None
        finally:
            if sink.at is not None:
                self.first_tokens.append((started, sink.at.total_seconds() - started))


async def measure_capacity(cfg: OverloadSettings, seed: int) -> float:
    """Returns the answers a second with every slot always busy, at most one caller a slot."""
    world = OverloadWorld("fifo", attrs.evolve(cfg, timeout=seconds(60)), seed)
    await world.start()
    answers = 0

    async def ask_again():
        nonlocal answers
        while True:
            await world.ask(LARGE)
            answers += 1

    busy = [asyncio.ensure_future(ask_again()) for _ in range(cfg.engines * cfg.slots)]
    await world.clock.sleep(seconds(5))
    before = answers
    await world.clock.sleep(seconds(20))
    rate = (answers - before) / 20
    for task in busy:
        task.cancel()
    await asyncio.gather(*busy, return_exceptions=True)
    await world.close()
    return rate


async def _overload(policy, cfg, seed, capacity):
    world = OverloadWorld(policy, cfg, seed)
    await world.start()
    calm = CALM * capacity / (1 + len(SMALL))
    rates = {LARGE: LARGE_OVERLOAD * capacity}
    rates |= dict.fromkeys(SMALL, SMALL_OVERLOAD * capacity)
    await asyncio.gather(*(world.offer(name, calm, cfg.calm_seconds) for name in rates))
    begin = world.now()
    loads = (world.offer(name, rate, cfg.load_seconds) for name, rate in rates.items())
    await asyncio.gather(*loads)
    end = world.now()
    await asyncio.gather(*(world.offer(name, calm, cfg.after_seconds) for name in rates))
    await world.clock.sleep(cfg.timeout)
    result = _result(world, capacity, begin, end)
    await world.close()
    return result


def _result(world, capacity, begin, end):
    duration = end - begin
    answered = [s for s in world.sent if s.answered_at and begin <= s.answered_at < end]
    by_account = collections.Counter(sent.account for sent in answered)
    fair = capacity * duration / (1 + len(SMALL))
    waits = sorted(wait for started, wait in world.first_tokens if begin <= started < end)
    return OverloadResult(
        capacity=capacity,
        small_share=min(by_account[name] for name in SMALL) / fair,
        goodput=len(answered) / (capacity * duration),
        first_token=waits[int(PERCENT_95 * len(waits))] if waits else float("inf"),
        recovery=_recovery(world.cfg, lambda at: _answered_part(world.sent, end + at)),
        first_attempt_recovery=_recovery(world.cfg, lambda at: _first_share(world.sent, end + at)),
        attempts=sum(sent.attempts for sent in world.sent) / len(world.sent),
    )


def _recovery(cfg, measure):
    """Returns the first second from which on a measure of a window stays good, if there is one."""
    recovered = None
    for second in reversed(range(cfg.after_seconds - WINDOW_SECONDS + 1)):
        if measure(second) < RECOVERED_SHARE:
            break
        recovered = float(second)
    return recovered


def _answered_part(sent, begin):
    """Returns answers in a window by requests sent in it, whenever the answered ones were sent."""
    end = begin + WINDOW_SECONDS
    answers = sum(s.answered_at is not None and begin <= s.answered_at < end for s in sent)
    return answers / max(1, sum(begin <= s.at < end for s in sent))


def _first_share(sent, begin):
    found = [s for s in sent if begin <= s.at < begin + WINDOW_SECONDS]
    return sum(s.answered_at is not None and s.attempts == 1 for s in found) / max(1, len(found))


def run_overload(policy: str, cfg: OverloadSettings, seed: int) -> OverloadResult:
    """Runs the overload once.

    Args:
      policy: The admission policy.
      cfg: Sizes.
      seed: Seeds all randomness.
    """

    async def run():
        capacity = await measure_capacity(cfg, seed)
        return await _overload(policy, cfg, seed, capacity)

    return run_virtual(run())


def _or_never(recovery):
    return "never" if recovery is None else recovery


@experiments.register("overload")
class OverloadExperiment(Experiment):
    """Fair admission against fifo."""

    summary = "3 times the capacity for 60 s, five accounts, callers that retry"

    def run(self, seeds):
        rows = []
        for policy in ("fair", "fifo"):
            for seed in seeds:
                found = run_overload(policy, OverloadSettings(), seed)
                rows.append(
                    (
                        policy,
                        seed,
                        found.capacity,
                        found.small_share,
                        found.goodput,
                        found.first_token,
                        _or_never(found.recovery),
                        _or_never(found.first_attempt_recovery),
                        found.attempts,
                    )
                )
        columns = (
            "admission",
            "seed",
            "capacity (1/s)",
            "least small goodput / fair share",
            "goodput / capacity",
            "p95 first token (s)",
            "goodput back (s)",
            "first attempts good (s)",
            "attempts a request",
        )
        return (Table("Overload at 3 times the capacity for 60 s", columns, tuple(rows)),)
