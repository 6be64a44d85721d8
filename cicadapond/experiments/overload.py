"""Overload: three times the capacity, from one large account and four small ones, with retries.

A complete entry runs in virtual time with in-memory engines.  Callers send on an open-loop
schedule, time out and retry: after the `retry_after` of a refusal, or immediately without one.
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
from cicadapond.entry._node import EntryNode, ExternalServices
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import Metrics, NotRun, Ok, VirtualClock, run_virtual, seconds
from cicadapond.provider import AdapterSettings, HostList, PlatformSettings
from cicadapond.standin import DirectEngine, EngineModel, EngineSettings, EngineTiming

MODEL = "shade-model"
POOL = "shade-pool"
LARGE = "large"
SMALL = ("small-1", "small-2", "small-3", "small-4")
LARGE_OVERLOAD = 2.0  # share of the capacity
SMALL_OVERLOAD = 0.25  # share of the capacity, for each small account
CALM_LOAD = 0.5  # share of the capacity, all accounts together, before and after the overload
QUANTILE_95 = 0.95
RECOVERED_SHARE = 0.9
WINDOW_SECONDS = 3  # in shorter windows, random arrivals alone can look like an outage


@attrs.frozen
class OverloadSettings:
    """Sizes and durations of one run.

    Attributes:
      engines: Number of engines.
      slots: Slots of each engine.
      tokens: Mean number of tokens in an answer.
      prompt_words: Words in a prompt.
      calm_seconds: Duration of normal load before the overload.
      load_seconds: Duration of the overload.
      after_seconds: Duration of normal load after the overload.
      timeout: How long a caller waits for the complete answer.
      attempts: Maximum number of attempts of a caller.
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
    """The results of one run.

    Attributes:
      capacity: Answers per second of the engines when all slots are always busy.
      small_share: The lowest goodput of any small account during the overload, as a share of its
        fair share of the capacity.
      goodput: Answers per second during the overload, as a share of the capacity.
      first_token: The 95th percentile of the seconds to the first token, over the attempts that
        received one.
      recovery: Seconds after the overload until answers permanently keep up with new requests
        (at least 90%); None if that never happened.
      first_attempt_recovery: The same for the share of requests answered at the first attempt.
      attempts: Mean number of attempts per request.
    """

    capacity: float
    small_share: float
    goodput: float
    first_token: float
    recovery: float | None
    first_attempt_recovery: float | None
    attempts: float


class _StaticHostList(HostList):
    def __init__(self, servers):
        self._listing = HostListing(tuple(HostEntry(server, HostState.LIVE) for server in servers))

    async def list(self):
        return Ok(self._listing)


class _FirstToken(CompletionSink):
    """Records the time of the first token."""

    def __init__(self, clock):
        self._clock = clock
        self.at = None

    async def tokens(self, tokens):
        if self.at is None:
            self.at = self._clock.monotonic()


@attrs.define
class _CallerRequest:
    """A caller's request: when it was first sent, its attempts, and when it was answered."""

    account: str
    at: float
    attempts: int = 0
    answered_at: float | None = None


class OverloadWorld:
    """One entry, its engines and its callers.

    Args:
      policy: The admission policy.
      cfg: Sizes and durations.
      seed: Seed of all random choices.
    """

    def __init__(self, policy: str, cfg: OverloadSettings, seed: int):
        self.cfg = cfg
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.requests: list[_CallerRequest] = []
        self.first_token_waits: list[tuple[float, float]] = []
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
        services = ExternalServices(
            hosts=_StaticHostList(servers),
            connect=lambda server: DirectEngine(self.models[server.name], server, self.models),
        )
        rng = random.Random(f"{seed} node")
        return EntryNode(settings, services, self.clock, Metrics(), rng, fixed_document=intent)

    async def start(self):
        """Starts the entry and waits for the first load reports."""
        await self.node.start()
        await self.clock.sleep(seconds(3))

    async def close(self):
        """Stops the callers, the entry and the engines."""
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

    async def send_requests(self, account: str, rate: float, duration: float) -> None:
        """Sends an account's requests at random times, without waiting for answers."""
        end = self.now() + duration
        while True:
            wait = self.rng.expovariate(rate)
            if self.now() + wait >= end:
                return
            await self.clock.sleep(seconds(wait))
            call = asyncio.ensure_future(self._run_caller(account))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _run_caller(self, account):
        request = _CallerRequest(account, self.now())
        self.requests.append(request)
        while request.attempts < self.cfg.attempts:
            request.attempts += 1
            outcome = await self.send_once(account)
            if isinstance(outcome, Ok):
                request.answered_at = self.now()
                return
            if isinstance(outcome, NotRun) and outcome.retry_after is not None:
                await self.clock.sleep(outcome.retry_after)

    async def send_once(self, account: str):
        """Makes one attempt; returns its outcome, or None if the caller timed out."""
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
                self.first_token_waits.append((started, sink.at.total_seconds() - started))


async def measure_capacity(cfg: OverloadSettings, seed: int) -> float:
    """Returns the answers per second with one closed-loop caller for each slot."""
    world = OverloadWorld("fifo", attrs.evolve(cfg, timeout=seconds(60)), seed)
    await world.start()
    answers = 0

    async def send_repeatedly():
        nonlocal answers
        while True:
            await world.send_once(LARGE)
            answers += 1

    callers = [asyncio.ensure_future(send_repeatedly()) for _ in range(cfg.engines * cfg.slots)]
    await world.clock.sleep(seconds(5))
    before = answers
    await world.clock.sleep(seconds(20))
    rate = (answers - before) / 20
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    await world.close()
    return rate


async def _overload(policy, cfg, seed, capacity):
    world = OverloadWorld(policy, cfg, seed)
    await world.start()
    calm_rate = CALM_LOAD * capacity / (1 + len(SMALL))
    rates = {LARGE: LARGE_OVERLOAD * capacity}
    rates |= dict.fromkeys(SMALL, SMALL_OVERLOAD * capacity)
    await asyncio.gather(
        *(world.send_requests(name, calm_rate, cfg.calm_seconds) for name in rates)
    )
    begin = world.now()
    loads = (world.send_requests(name, rate, cfg.load_seconds) for name, rate in rates.items())
    await asyncio.gather(*loads)
    end = world.now()
    await asyncio.gather(
        *(world.send_requests(name, calm_rate, cfg.after_seconds) for name in rates)
    )
    await world.clock.sleep(cfg.timeout)
    result = _result(world, capacity, begin, end)
    await world.close()
    return result


def _result(world, capacity, begin, end):
    duration = end - begin
    answered = [s for s in world.requests if s.answered_at and begin <= s.answered_at < end]
    by_account = collections.Counter(request.account for request in answered)
    fair = capacity * duration / (1 + len(SMALL))
    waits = sorted(wait for started, wait in world.first_token_waits if begin <= started < end)
    return OverloadResult(
        capacity=capacity,
        small_share=min(by_account[name] for name in SMALL) / fair,
        goodput=len(answered) / (capacity * duration),
        first_token=waits[int(QUANTILE_95 * len(waits))] if waits else float("inf"),
        recovery=_recovery(world.cfg, lambda at: _answer_ratio(world.requests, end + at)),
        first_attempt_recovery=_recovery(
            world.cfg, lambda at: _first_attempt_share(world.requests, end + at)
        ),
        attempts=sum(request.attempts for request in world.requests) / len(world.requests),
    )


def _recovery(cfg, measure):
    """Returns the first second from which the measure stays good in all windows, or None."""
    recovered = None
    for second in reversed(range(cfg.after_seconds - WINDOW_SECONDS + 1)):
        if measure(second) < RECOVERED_SHARE:
            break
        recovered = float(second)
    return recovered


def _answer_ratio(requests, begin):
    """Returns all answers in a window divided by the new requests in it."""
    end = begin + WINDOW_SECONDS
    answers = sum(s.answered_at is not None and begin <= s.answered_at < end for s in requests)
    return answers / max(1, sum(begin <= s.at < end for s in requests))


def _first_attempt_share(requests, begin):
    window = [s for s in requests if begin <= s.at < begin + WINDOW_SECONDS]
    return sum(s.answered_at is not None and s.attempts == 1 for s in window) / max(1, len(window))


def run_overload(policy: str, cfg: OverloadSettings, seed: int) -> OverloadResult:
    """Runs the overload once.

    Args:
      policy: The admission policy.
      cfg: Sizes and durations.
      seed: Seed of all random choices.
    """

    async def run():
        capacity = await measure_capacity(cfg, seed)
        return await _overload(policy, cfg, seed, capacity)

    return run_virtual(run())


def _recovery_cell(recovery):
    return "never" if recovery is None else recovery


@experiments.register("overload")
class OverloadExperiment(Experiment):
    """Compares fair admission with fifo."""

    summary = "3 times the capacity for 60 s, five accounts, callers that retry"

    def run(self, seeds):
        rows = []
        for policy in ("fair", "fifo"):
            for seed in seeds:
                result = run_overload(policy, OverloadSettings(), seed)
                rows.append(
                    (
                        policy,
                        seed,
                        result.capacity,
                        result.small_share,
                        result.goodput,
                        result.first_token,
                        _recovery_cell(result.recovery),
                        _recovery_cell(result.first_attempt_recovery),
                        result.attempts,
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
