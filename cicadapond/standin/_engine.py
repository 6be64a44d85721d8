"""Simulated model engine, without HTTP: batching, cache, KV transfer, orders and faults."""

import abc
import asyncio
import collections
import datetime
import random
import typing

import attrs

from cicadapond.backend import Accepted, NotSent, OrderRefused
from cicadapond.data import (
    Broken,
    EngineState,
    FailureKind,
    GenerateCall,
    LoadReport,
    Order,
    OrderKind,
    Token,
    prefix_block_hashes,
)
from cicadapond.kernel import Clock, Ok, Unavailable, seconds
from cicadapond.standin._engine_run import EngineRun, context_text
from cicadapond.standin._engine_settings import EngineFaults, EngineSettings, EngineTiming
from cicadapond.standin._prefix_cache import PrefixCache
from cicadapond.standin._tokens import advance_chain, expected_tokens, next_token, token_chain

__all__ = [
    "EngineFaults",
    "EngineModel",
    "EngineSettings",
    "EngineTiming",
    "advance_chain",
    "next_token",
    "token_chain",
    "expected_tokens",
]

MAX_KEPT_ORDERS = 1000
REFUSAL_RETRY_AFTER = seconds(1)
MAX_FAULT_TOKENS = 8


@attrs.define
class _ImportedKv:
    text: str
    tokens: int
    expires: datetime.timedelta


class KvTarget(abc.ABC):
    """The receiving end of a KV cache transfer."""

    @abc.abstractmethod
    def link_free(self) -> datetime.timedelta:
        """Returns the time at which its link is free of transfers."""

    @abc.abstractmethod
    def reserve_link(self, end: datetime.timedelta) -> None:
        """Reserves its link until `end`."""

    @abc.abstractmethod
    async def accept_kv(self, text: str, tokens: int) -> Ok[str] | Unavailable:
        """Stores the KV cache of a text, and returns its handle."""


class EngineModel(KvTarget):
    """A simulated engine.

    Args:
      timing: Durations of its computations and transfers.
      clock: Gives the time.
      cfg: Its limits, delays and options.
      name: Its name in reports.
      rng: Decides the gaps in cache events and which attempts get a fault.
      load_weights: Waits until the weights of a (model, version) are loaded; by default it sleeps
        for `cfg.load_duration`.
    """

    def __init__(
        self,
        timing: EngineTiming,
        clock: Clock,
        cfg: EngineSettings | None = None,
        name: str = "",
        rng: random.Random | None = None,
        load_weights: typing.Callable | None = None,
    ):
        self.timing = timing
        self.cfg = cfg or EngineSettings()
        self.name = name
        self.faults = EngineFaults()
        self.clock = clock
        self.up = True
        self.removed = False
        self.leaving = False
        self.notice_at: datetime.timedelta | None = None
        self.last_start_at: datetime.timedelta | None = None
        self.counts = collections.Counter()
        self.orders = collections.deque(maxlen=MAX_KEPT_ORDERS)
        self.on_up_change: list[typing.Callable[[bool], None]] = []
        self._rng = rng or random.Random(0)
        self._load_weights = load_weights or self._simulate_load
        self._model = self.cfg.model
        self._version = self.cfg.version
        self._adapters = ()
        self._role = "serve"
        self._loading: str | None = None
        self._fencing = 0
        self._draining = False
        self._stopping = False
        self._cache = self._new_cache()
        self._waiting: list[EngineRun] = []
        self._running: list[EngineRun] = []
        self._imported: dict[str, _ImportedKv] = {}
        self._handle_count = 0
        self._link_free = datetime.timedelta()
        self._tasks = set()
        self._stepping = False
        self._reports = collections.deque(maxlen=2)

    # Attempts

    def submit(self, call: GenerateCall) -> EngineRun:
        """Starts an attempt; a refusal is its first and only event."""
        run = EngineRun(call)
        broken = self._refusal(call)
        if broken is not None:
            self.counts["refused"] += 1
            run.refused = broken
            run.end(broken)
            return run
        self.counts["started"] += 1
        self.last_start_at = self.clock.monotonic()
        self._draw_faults(run)
        self._waiting.append(run)
        self._waiting.sort(key=lambda waiting: waiting.call.priority)
        self._ensure_stepping()
        return run

    def _refusal(self, call):
        if not self.up:
            return Broken(call.epoch, FailureKind.UNREACHABLE, f"engine {self.name} is down")
        reason = ""
        if self.faults.refuse:
            reason = "refuses on order"
        elif self._draining or self._stopping:
            reason = "is draining"
        elif self._loading is not None:
            reason = f"loads version {self._loading}"
        elif self._model is not None and (call.model, call.version) != (self._model, self._version):
            reason = f"runs {self._model} {self._version}, not {call.model} {call.version}"
        elif len(self._waiting) >= self.cfg.max_waiting:
            reason = f"has {len(self._waiting)} waiting"
        if not reason:
            return None
        return Broken(
            call.epoch, FailureKind.REFUSED, f"engine {self.name} {reason}", REFUSAL_RETRY_AFTER
        )

    def _draw_faults(self, run):
        draw = self._rng.random
        position = len(run.tokens) + self._rng.randint(1, MAX_FAULT_TOKENS)
        if self.faults.silent_share and draw() < self.faults.silent_share:
            run.silent_after = position
        if self.faults.truncate_share and draw() < self.faults.truncate_share:
            run.truncate_after = position
        call = run.call
        if call.epoch > 1 and self.faults.late_share and draw() < self.faults.late_share:
            run.push(Token(call.epoch - 1, len(run.tokens), "late ", call.stream_id))
        others = self._running
        if others and self.faults.cross_share and draw() < self.faults.cross_share:
            other = others[self._rng.randrange(len(others))]
            run.push(Token(other.call.epoch, len(other.tokens), "crossed ", other.call.stream_id))

    def cancel(self, stream_id: str, epoch: int) -> bool:
        """Ends an attempt whose reader has closed it; returns whether it was in flight."""
        for runs in (self._waiting, self._running):
            for run in runs:
                if run.key == (stream_id, epoch):
                    run.ended = True
                    runs.remove(run)
                    self.counts["cancelled"] += 1
                    return True
        return False

    @property
    def in_flight(self) -> int:
        """The number of attempts running or waiting."""
        return len(self._running) + len(self._waiting)

    # The step loop

    def _ensure_stepping(self):
        if not self._stepping:
            self._stepping = True
            self._spawn(self._step_loop())

    def _spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _step_loop(self):
        while self.in_flight and self.up:
            self._admit()
            prefilled = self._prefill()
            decoding = [
                run for run in self._running if not run.prefill_left and run.has_buffer_space
            ]
            timing = self.timing
            duration = timing.decode_step_seconds + len(decoding) * timing.decode_stream_seconds
            duration += prefilled * timing.prefill_token_seconds
            await self.clock.sleep(seconds(duration * self.faults.slowness))
            self._finish_step(decoding)
        self._stepping = False

    def _admit(self):
        while self._waiting and len(self._running) < self.cfg.slots:
            run = self._waiting.pop(0)
            run.cached = self._cached_tokens(run)
            run.prefill_left = run.context_tokens - run.cached
            self._running.append(run)

    def _cached_tokens(self, run):
        cached = self._cache.match(run.blocks)
        handle = self._imported.pop(run.call.kv_handle, None)
        if handle is not None and context_text(run.call, run.call.resume).startswith(handle.text):
            cached = max(cached, handle.tokens)
        return min(cached, run.context_tokens - 1)

    def _prefill(self):
        budget = self.cfg.prefill_chunk_tokens
        for run in sorted(self._running, key=lambda found: found.call.priority):
            if not run.prefill_left:
                continue
            done = run.prefill(budget)
            self.counts["prefilled"] += done
            budget -= done
            if not run.prefill_left:
                self._cache.store(run.blocks, self.clock.monotonic())
            if not budget:
                break
        return self.cfg.prefill_chunk_tokens - budget

    def _finish_step(self, decoding):
        if not self.up:
            return
        poison = self.faults.poison
        if poison and any(
            poison in run.call.prompt and not run.prefill_left for run in self._running
        ):
            self.crash()
            return
        for run in decoding:
            if not run.ended:
                run.decode()
                self.counts["decoded"] += 1
                if run.ended:
                    self._cache_context(run)
        self._running = [run for run in self._running if not run.ended]
        self._record_load()

    def _cache_context(self, run):
        blocks = prefix_block_hashes(context_text(run.call, run.tokens))
        self._cache.store(blocks, self.clock.monotonic())

    # Crash and removal

    def crash(self) -> None:
        """Breaks every stream; the engine restarts after `restart_duration` with an empty cache."""
        self.counts["crashes"] += 1
        self._go_down()
        self._spawn(self._restart())

    async def _restart(self):
        await self.clock.sleep(self.cfg.restart_duration)
        if not self.removed:
            self.up = True
            self._notify_up_change()

    def reclaim(self, left: datetime.timedelta) -> None:
        """Announces that the host is being reclaimed, and removes it after `left`."""
        self.leaving = True
        self.notice_at = self.clock.monotonic()
        self._record_load()
        self._spawn(self._remove_after(left))

    async def _remove_after(self, left):
        await self.clock.sleep(left)
        self.shut_down()

    def shut_down(self) -> None:
        """Removes the host at once; the engine never restarts."""
        self.removed = True
        self._go_down()

    def _go_down(self):
        self.up = False
        runs = self._running + self._waiting
        self._running, self._waiting = [], []
        self._imported.clear()
        self._cache = self._new_cache()
        self._loading = None
        for run in runs:
            run.end(Broken(run.call.epoch, FailureKind.CRASHED, f"engine {self.name} went down"))
        self._notify_up_change()

    def _notify_up_change(self):
        for listener in self.on_up_change:
            listener(self.up)

    def _new_cache(self):
        cfg = self.cfg
        return PrefixCache(cfg.cache_blocks, cfg.event_lag, cfg.event_gap_share, self._rng)

    def silence_streams(self) -> int:
        """Stops all events of the open streams while new streams work; returns their number."""
        for run in self._running + self._waiting:
            run.silent_after = 0
        return self.in_flight

    async def close(self) -> None:
        """Cancels all of its tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # KV transfer

    async def export_kv(
        self, stream_id: str, target: KvTarget, timeout: datetime.timedelta
    ) -> Ok[str] | NotSent | Unavailable:
        """Copies a running stream's KV cache to another engine.

        The transfer starts when the links of both ends are free.

        Returns:
          Ok with the handle of the copy; NotSent if there is no cache or the transfer would take
          longer than `timeout`; Unavailable if either engine went down.
        """
        run = next((run for run in self._running if run.call.stream_id == stream_id), None)
        if run is None or run.prefill_left or not self.up:
            return NotSent(f"engine {self.name} has no KV cache of stream {stream_id!r}")
        text, tokens = context_text(run.call, run.tokens), run.context_tokens
        duration = self.timing.kv_setup_seconds + tokens * self.timing.kv_token_seconds
        now = self.clock.monotonic()
        end = max(now, self._link_free, target.link_free()) + seconds(duration)
        if end - now > timeout:
            return NotSent(f"the transfer takes {end - now}, more than the limit {timeout}")
        self.reserve_link(end)
        target.reserve_link(end)
        await self.clock.sleep(end - now)
        if not self.up:
            return Unavailable(f"engine {self.name} went down during the transfer")
        outcome = await target.accept_kv(text, tokens)
        if isinstance(outcome, Ok):
            self.counts["exported"] += tokens
        return outcome

    def link_free(self):
        return self._link_free

    def reserve_link(self, end):
        self._link_free = end

    async def accept_kv(self, text, tokens):
        if not self.up:
            return Unavailable(f"engine {self.name} is down")
        return Ok(self.import_kv(text, tokens))

    def import_kv(self, text: str, tokens: int) -> str:
        """Stores transferred KV cache for `kv_handle_term`, and returns its handle."""
        self._handle_count += 1
        handle = f"{self.name}-kv-{self._handle_count}"
        now = self.clock.monotonic()
        self._imported = {
            name: found for name, found in self._imported.items() if found.expires > now
        }
        self._imported[handle] = _ImportedKv(text, tokens, now + self.cfg.kv_handle_term)
        return handle

    # Reports

    def _record_load(self):
        now = self.clock.monotonic()
        if not self._reports or now - self._reports[-1][0] >= self.cfg.report_lag:
            self._reports.append((now, self._load()))

    def _load(self):
        return LoadReport(
            server=self.name,
            running=len(self._running),
            waiting=len(self._waiting),
            slots=self.cfg.slots,
            kv_used=self._cache.used_share,
            leaving=self.leaving,
            model=self._model or "",
            version="" if self._loading else self._version or "",
        )

    def load_report(self) -> Ok[LoadReport] | Unavailable:
        """Returns a load report that is between one and two lags old."""
        if not self.up:
            return Unavailable(f"engine {self.name} is down")
        self._record_load()
        at, report = self._reports[0]
        return Ok(attrs.evolve(report, age=self.clock.monotonic() - at))

    def cache_events(self, after: int):
        """Returns the published cache events numbered above `after`."""
        if not self.up:
            return Unavailable(f"engine {self.name} is down")
        return Ok(self._cache.events(after, self.clock.monotonic()))

    def state(self) -> Ok[EngineState] | Unavailable:
        """Returns the engine's model, version, adapters and role."""
        if not self.up:
            return Unavailable(f"engine {self.name} is down")
        return Ok(
            EngineState(
                server=self.name,
                model=self._model,
                version=self._version,
                adapters=self._adapters,
                role=self._role,
                loading=self._loading,
                fencing=self._fencing,
                running=self.in_flight,
                draining=self._draining,
            )
        )

    # Orders

    def order(self, order: Order) -> Accepted | OrderRefused | Unavailable:
        """Carries out an order; loading and stopping go on in the background."""
        if not self.up:
            return Unavailable(f"engine {self.name} is down")
        if self.cfg.checks_fencing and order.fencing < self._fencing:
            self.counts["fenced"] += 1
            return OrderRefused(
                f"fencing number {order.fencing} is older than {self._fencing}", self._fencing
            )
        self._fencing = order.fencing
        self.orders.append((self.clock.monotonic(), order))
        match order.kind:
            case OrderKind.RUN:
                self._start_loading(order)
            case OrderKind.ADAPTERS:
                self._spawn(self._load_adapters(order.adapters))
            case OrderKind.ROLE:
                self._role = order.role or self._role
            case OrderKind.DRAIN:
                self._draining = True
            case OrderKind.RESUME:
                self._draining = False
            case OrderKind.STOP:
                self._stopping = True
                self._spawn(self._stop_when_idle())
        return Accepted()

    def _start_loading(self, order):
        if self._loading == order.version:
            return
        if self._loading is None and (order.model, order.version) == (self._model, self._version):
            return
        self._loading = order.version
        self._spawn(self._load_version(order.model, order.version))

    async def _load_version(self, model, version):
        await self._wait_idle()
        await self._load_weights(model, version)
        if self._loading != version or not self.up:
            return
        self._model, self._version, self._loading = model, version, None
        self._adapters = ()
        self._cache.clear(self.clock.monotonic())

    async def _simulate_load(self, model, version):
        await self.clock.sleep(self.cfg.load_duration)

    async def _load_adapters(self, adapters):
        if set(adapters) - set(self._adapters):
            await self.clock.sleep(self.cfg.adapter_load_duration)
        self._adapters = tuple(adapters)

    async def _stop_when_idle(self):
        await self._wait_idle()
        self.shut_down()

    async def _wait_idle(self):
        while self.in_flight and self.up:
            await self.clock.sleep(seconds(self.timing.decode_step_seconds))
