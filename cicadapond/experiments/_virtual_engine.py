"""A model of an engine under load on virtual time, for measuring estimates and queues; no I/O.

It prefills one prompt after the other, in chunks between the decode steps of its batch.  A batch
has a limited number of slots; the more urgent of the waiting requests are admitted first, and
preempt the least urgent running one, the latest first, if slots or memory run out.  A preempted
request waits again and is then prefilled anew.  A request may ask the engine to fetch what another
one has cached of its prompt; the links of both do one transfer after another.  Times are
milliseconds of virtual time.
"""

import heapq
import itertools
import typing

import attrs

from cicadapond.placing import PrefixCacheModel
from cicadapond.serving import Generation, LoadHeader

# Tokens of a prompt that one step prefills, and how much each generating request lengthens it.
CHUNK_TOKENS = 512
STEP_MS_PER_RUN = 0.03


@attrs.frozen
class EngineFigures:
    """The speed and size of an engine.

    `prefill_rate` is in tokens per millisecond, `stride` the tokens per event, `kv_tokens` the
    memory.  A `slowness` of 2 makes every step take twice as long.  `fetch_rate` is in tokens per
    millisecond.  `preempts` tells whether urgent requests preempt others.
    """

    slots: int = 16
    prefill_rate: float = 112.0
    step_ms: float = 3.23
    stride: int = 9
    kv_tokens: int = 739_197
    slowness: float = 1.0
    fetch_rate: float = 900.0
    preempts: bool = False


@attrs.define(eq=False)
class Run:
    """One request at an engine; `on_event(now, number)` is called for each of its events.

    `fetch_from` is the engine from which it gets cached parts of its prompt, None for none.
    """

    generation: Generation
    priority: int
    events: int
    on_event: typing.Callable[[float, int], None]
    on_end: typing.Callable[[float], None]
    prefill_left: int = 0
    tokens: int = 0
    is_cancelled: bool = False
    fetch_from: "VirtualEngine | None" = None
    number: int = 0
    preemptions: int = 0


class VirtualEngine:
    """One engine.

    Args:
      name: Its name.
      cfg: Its figures.
      schedule: Runs a function at an instant: schedule(at, function).
      pace: Returns how long work takes at an instant, as a multiple of the usual time.
    """

    def __init__(self, name, cfg: EngineFigures, schedule, pace=lambda now: 1.0):
        self.name = name
        self.cfg = cfg
        self.is_gone = False
        self._schedule = schedule
        self._pace = pace
        self._waiting: list = []
        self._active: list[Run] = []
        self._numbers = itertools.count()
        self._cache = PrefixCacheModel(cfg.kv_tokens)
        self._is_stepping = False
        self._link_free = 0.0
        self._fetching = 0
        # When it began to prefill a part that requests share: (instant, part, tokens).
        self.shared_prefills: list[tuple[float, str, int]] = []
        self.fetched_tokens = 0

    def load(self, now: float) -> LoadHeader:
        """Returns the load that its responses state now."""
        waiting = len(self._waiting) + self._fetching
        return LoadHeader(len(self._active), waiting, self.cfg.slots, self._pace(now))

    def kept(self) -> dict[str, int]:
        """Returns the tokens of the prompt parts that it has cached, the latest one last."""
        return self._cache.parts()

    def submit(self, run: Run, now: float) -> None:
        """Queues a request, after the fetch that it asks for."""
        run.number = next(self._numbers)
        source = run.fetch_from
        if source is None or source.is_gone:
            self._enqueue(run, now)
            return
        shared = run.generation.parts[:-1]
        found = source._cache.cached_tokens(shared)
        missing = max(0, found - self._cache.cached_tokens(shared))
        ends = max(now, self._link_free, source._link_free) + missing / self.cfg.fetch_rate
        self._link_free = source._link_free = ends
        self._fetching += 1

        def end_fetch(then):
            self._fetching -= 1
            if not source.is_gone and missing:
                self.fetched_tokens += missing
                self._cache.add_prompt(shared)
            self._enqueue(run, then)

        self._schedule(ends, end_fetch)

    def _enqueue(self, run, now):
        heapq.heappush(self._waiting, (run.priority, run.number, run))
        if not self._is_stepping and not self.is_gone:
            self._is_stepping = True
            self._schedule(now, self._step)

    def stop(self) -> list[Run]:
        """Ends the engine; returns what it ran or had waiting."""
        self.is_gone = True
        lost = [*self._active, *(run for _, _, run in self._waiting)]
        self._active, self._waiting = [], []
        return lost

    def _admit(self, now):
        while self._waiting:
            run = self._waiting[0][2]
            if run.is_cancelled:
                heapq.heappop(self._waiting)
            elif self._has_room(run):
                heapq.heappop(self._waiting)
                self._begin(run, now)
            elif not self._preempt_for(run):
                return

    def _has_room(self, run):
        if not self._active:
            return True
        used = sum(active.generation.tokens for active in self._active)
        fits = used + run.generation.tokens <= self.cfg.kv_tokens
        return fits and len(self._active) < self.cfg.slots

    def _begin(self, run, now):
        prompt_tokens = run.generation.prompt_tokens
        if run.preemptions:  # its blocks were given away, and what it generated is prefilled too
            run.prefill_left = prompt_tokens + run.tokens
        else:
            cached = self._cache.cached_tokens(run.generation.parts)
            run.prefill_left = max(1, prompt_tokens - cached)
            self._record_shared(run, cached, now)
        self._active.append(run)

    def _preempt_for(self, run):
        """Preempts the least urgent running request if it is less urgent than `run`."""
        last = max(self._active, key=lambda active: (active.priority, active.number))
        if not self.cfg.preempts or last.priority <= run.priority:
            return False
        self._active.remove(last)
        last.preemptions += 1
        heapq.heappush(self._waiting, (last.priority, last.number, last))
        return True

    def _record_shared(self, run, cached, now):
        for part in run.generation.parts[:-1]:
            missing = max(0, part.tokens - cached)
            cached = max(0, cached - part.tokens)
            if missing:
                self.shared_prefills.append((now, part.name, missing))

    def _step(self, now):
        self._active = [run for run in self._active if not run.is_cancelled]
        self._admit(now)
        if not self._active or self.is_gone:
            self._is_stepping = False
            return
        generating = [run for run in self._active if not run.prefill_left]
        prefilling = next((run for run in self._active if run.prefill_left), None)
        chunk = min(prefilling.prefill_left, CHUNK_TOKENS) if prefilling is not None else 0
        took = max(self.cfg.step_ms, chunk / self.cfg.prefill_rate)
        took += STEP_MS_PER_RUN * len(generating)
        took *= self.cfg.slowness * self._pace(now)

        def end_step(then):
            if self.is_gone:
                return
            if prefilling is not None:
                prefilling.prefill_left -= chunk
                if not prefilling.prefill_left:
                    self._cache.add_prompt(prefilling.generation.parts)
            for run in generating:
                self._generate(run, then)
            self._step(then)

        self._schedule(now + took, end_step)

    def _generate(self, run, now):
        run.tokens += 1
        if run.is_cancelled or run.tokens % self.cfg.stride:
            return
        number = run.tokens // self.cfg.stride
        run.on_event(now, number)
        if number == run.events:
            self._active.remove(run)
            run.on_end(now)
