"""One completion on its way through its attempts to its whole answer.

A completion has one attempt at a time.  An attempt that breaks is resumed from the prompt and the
tokens delivered so far, by an engine of the same model version; the wait for one ends with the
request's deadline.
"""

import datetime
import typing

import attrs

from cicadapond.data import (
    BreakKind,
    Finished,
    GenerateCall,
    body_hash,
    prefix_blocks,
    split_tokens,
)
from cicadapond.entry._attempt import Attempt, AttemptLimits, Moved, OutOfTime
from cicadapond.kernel import Failed, NotRun, Ok
from cicadapond.routing import (
    RouteRequest,
    ServerView,
    serves,
    serving_version,
)
from cicadapond.stream import (
    AnswerState,
    Broke,
    MoveKind,
    Whole,
)

STATUS_POISON = 422
STATUS_DEADLINE = 504
STATUS_NO_VERSION = 410
MAX_DOUBLINGS = 6
NOT_REACHED = (BreakKind.UNREACHABLE, BreakKind.REFUSED)


class CompletionRun:
    """One completion on its way through its attempts.

    Args:
      runner: The process's runner, with the parts that all runs share.
      req: The request.
      sink: Takes the tokens in order, each once.
      resume: Tokens that were delivered before.
      version: The model version that gave them, None without any.
      pool: The serving pool.
    """

    def __init__(self, runner, req, sink, resume, version, pool):
        self._runner = runner
        self._parts = runner.parts
        self._cfg = runner.cfg
        self._clock = runner.parts.clock
        self._metrics = runner.parts.metrics
        self._quarantine = runner.parts.quarantine
        self._req = req
        self._sink = sink
        self._version = version or ""
        self._pool = pool
        stream_id = f"{req.request_id}-{self._parts.rng.getrandbits(32):08x}"
        self._answer = AnswerState(stream_id, req.max_tokens, resume)
        self._body = body_hash(req.model, req.adapter or "", req.prompt)
        self._prompt_tokens = len(split_tokens(req.prompt))
        self._reached = bool(resume)
        self._waits = False
        self._next: Moved | None = None
        self._avoided: dict[str, datetime.timedelta] = {}
        self._without_progress = 0
        self._silent = 0
        self._idle_since = self._clock.monotonic()
        self._ticket = None
        self._trial_left = 0
        self._blocks = ()
        self._hashed_tokens: int | None = None
        self._began = False

    async def go(self):
        """Runs attempts until there is an outcome."""
        while True:
            finished = self._already_whole()
            if finished is not None:
                return Ok(finished)
            found = await self._find_server()
            if not isinstance(found, ServerView):
                return found
            outcome = await self._attempt(found)
            if outcome is not None:
                return outcome

    def end(self):
        """Releases what the run holds in the decision modules."""
        if self._waits:
            self._waits = False
            self._quarantine.end_wait(self._body)

    def _already_whole(self):
        """Returns the end of an answer whose tokens are all there though its end was lost."""
        tokens, stop = self._answer.tokens, self._req.stop
        if self._answer.complete:
            return Finished(self._answer.epoch, len(tokens), "length")
        tail = "".join(tokens[-max(map(len, stop), default=1) :])
        if any(text in tail for text in stop):
            return Finished(self._answer.epoch, len(tokens), "stop")
        return None

    # Finding a server

    async def _find_server(self) -> ServerView | NotRun | Failed:
        while True:
            outcome = self._convicted() or self._out_of_time()
            if outcome is not None:
                return outcome
            await self._refresh_after_pause()
            view = self._pick()
            if view is not None:
                return view
            await self._clock.sleep(self._cfg.poll)

    def _convicted(self):
        end = self._quarantine.conviction_end(self._body)
        if end is None:
            return None
        self._metrics.count("poison_refused")
        reason = f"this request has crashed backend servers; it is refused until {end:%H:%M:%S} UTC"
        return self._no_answer(reason, STATUS_POISON, end - self._clock.now())

    def _out_of_time(self):
        now, deadline = self._clock.monotonic(), self._req.deadline
        if deadline is not None and now >= deadline:
            return self._no_answer("the deadline has passed", STATUS_DEADLINE)
        waited = now - self._idle_since
        if self._req.durable and waited >= self._cfg.server_wait and self._is_version_retired():
            return Failed(f"no engine runs version {self._version!r} any more", STATUS_NO_VERSION)
        if deadline is None and not self._req.durable and waited >= self._cfg.server_wait:
            return self._no_answer(f"no engine of pool {self._pool!r} takes work", 503)
        return None

    def _is_version_retired(self):
        """Whether the answer began with a version that the document no longer wants."""
        model = self._parts.intent().models.get(self._req.model)
        return bool(self._answer.tokens) and model is not None and model.version != self._version

    def _no_answer(self, reason, status, retry_after=None):
        if self._reached:
            return Failed(reason, status)
        return NotRun(reason, retry_after or self._cfg.retry_after, status)

    async def _refresh_after_pause(self):
        if not self._runner.pause.paused():
            return
        self._metrics.count("pauses_seen")
        refresh = getattr(self._parts.fleet, "refresh", None)
        if refresh is not None:
            await refresh()
        else:
            await self._clock.sleep(self._cfg.pause_grace)
        self._runner.pause.refreshed()

    def _pick(self) -> ServerView | None:
        now = self._clock.monotonic()
        views = self._parts.fleet.views(self._pool)
        version = self._fix_version(views)
        views = [view for view in views if serves(view, self._req.model, version)]
        if self._quarantine.is_suspect(self._body):
            return self._pick_for_suspect(views, now)
        self.end()
        planned = self._planned(views, now)
        if planned is not None:
            return planned
        req = self._route_request(now)
        suspected = self._quarantine.servers_with_suspects()
        if suspected:
            apart = attrs.evolve(req, avoid=req.avoid | suspected)
            view = self._parts.router.choose(apart, views, now)
            if view is not None:
                return view
        return self._parts.router.choose(req, views, now)

    def _planned(self, views, now):
        target = self._next.target if self._next is not None else None
        for view in views:
            if view.server.name == target and not view.leaving and view.failing_until <= now:
                return view
        self._next = None if target is not None else self._next
        return None

    def _pick_for_suspect(self, views, now):
        if not self._waits:
            self._waits = True
            self._quarantine.wait(self._body)
        avoided = self._current_avoided(now)
        found = {view.server.name: view for view in views if not view.leaving}
        names = sorted(found.keys() - avoided) or sorted(found)
        if names:
            self._idle_since = now
        view = found.get(self._quarantine.place(self._body, names))
        if view is None or view.failing_until > now:
            return None
        self.end()
        return view

    def _route_request(self, now):
        return RouteRequest(
            blocks=self._context_blocks(),
            tokens=self._prompt_tokens + len(self._answer.tokens),
            priority=self._req.priority,
            avoid=self._current_avoided(now),
        )

    def _context_blocks(self):
        """Returns the hash chain of prompt and tokens so far, hashed again only if they grew."""
        tokens = self._answer.tokens
        if self._hashed_tokens != len(tokens):
            prompt = self._req.prompt
            context = f"{prompt} {''.join(tokens)}" if tokens else prompt
            self._blocks = prefix_blocks(context)
            self._hashed_tokens = len(tokens)
        return self._blocks

    def _current_avoided(self, now):
        self._avoided = {name: end for name, end in self._avoided.items() if end > now}
        return frozenset(self._avoided)

    # One attempt

    async def _attempt(self, view):
        name = view.server.name
        now = self._clock.monotonic()
        route = self._route_request(now)
        before = len(self._answer.tokens)
        attempt = self._open(view, self._take_move(name))
        self._parts.router.routed(route, name, now)
        end = await attempt.run(self._deliver, self._sink.pace)
        self._metrics.count("attempts", end=_end_name(end))
        if len(self._answer.tokens) > before:
            self._without_progress = self._silent = 0
            self._idle_since = self._clock.monotonic()
        match end:
            case Whole(finished):
                return self._whole(finished, route, view, now)
            case Moved():
                self._next = end
                self._reached = True
                return None
            case OutOfTime():
                self._reached = True
                return self._no_answer("the deadline has passed", STATUS_DEADLINE)
            case Broke(broken):
                self._note_break(broken, view)
                return await self._retry(broken)

    async def _deliver(self, tokens):
        if self._trial_left > 0:
            self._trial_left -= len(tokens)
            if self._trial_left <= 0:
                self._quarantine.progressed(self._ticket)
        if not self._began:
            self._began = True
            self._sink.began(self._version)
        await self._sink.tokens(tokens)

    def _take_move(self, name) -> Moved | None:
        move, self._next = self._next, None
        if move is not None and move.kind is MoveKind.EXPORT and move.target != name:
            return None
        return move

    def _open(self, view, move):
        from_nothing = move is not None and move.kind is MoveKind.RESTART
        epoch = self._answer.begin(from_nothing)
        resume = () if from_nothing else tuple(self._answer.tokens)
        handle = move.kv_handle if move is not None else None
        if epoch > 1 and handle is None:
            self._metrics.count("tokens_replayed", self._prompt_tokens + len(resume))
        name = view.server.name
        attempt = Attempt(
            self._parts.fleet.adapter(name),
            self._call(epoch, resume, handle),
            self._answer,
            AttemptLimits(
                self._cfg.silence, self._cfg.slow_reader, self._req.deadline, self._silent
            ),
            self._clock,
            self._metrics,
            self._runner.pause,
            self._closed,
        )
        self._parts.fleet.started(name)
        on_trial = self._quarantine.is_suspect(self._body)
        self._trial_left = self._cfg.trial_tokens if on_trial else 0
        self._ticket = self._quarantine.started(self._body, name)
        self._runner.attempts.setdefault(name, {})[attempt.call.stream_id] = attempt
        return attempt

    def _call(self, epoch, resume, kv_handle):
        req = self._req
        return GenerateCall(
            stream_id=self._answer.stream_id,
            epoch=epoch,
            model=req.model,
            version=self._version,
            prompt=req.prompt,
            max_tokens=req.max_tokens,
            priority=req.priority,
            adapter=req.adapter,
            stop=req.stop,
            seed=req.seed,
            resume=resume,
            kv_handle=kv_handle,
        )

    def _fix_version(self, views):
        """Returns the version of all attempts: fixed by the first token, never mixed."""
        if not self._answer.tokens or not self._version:
            model = self._parts.intent().models.get(self._req.model)
            wanted = model.version if model is not None else self._version
            self._version = serving_version(self._req.model, wanted, views)
        return self._version

    def _closed(self, attempt):
        name = attempt.server
        self._runner.attempts[name].pop(attempt.call.stream_id, None)
        if not self._runner.attempts[name]:
            del self._runner.attempts[name]
        self._quarantine.ended(self._ticket)
        self._parts.fleet.finished(name)

    def _whole(self, finished, route, view, started):
        duration = self._clock.monotonic() - started
        self._parts.router.finished(route, view.server.name, finished.cached_tokens, duration)
        self._quarantine.whole(self._ticket)
        if self._parts.retry_budget is not None:
            self._parts.retry_budget.success(self._pool)
        return Ok(finished)

    # After a break

    def _note_break(self, broken, view):
        name = view.server.name
        now = self._clock.monotonic()
        if broken.kind not in NOT_REACHED:
            self._reached = True
            self._idle_since = now
        match broken.kind:
            case BreakKind.CRASHED:
                view.failing_until = max(view.failing_until, now + self._cfg.failing)
                self._parts.router.forget(name)
                if not self._parts.fleet.is_leaving(name):
                    self._quarantine.crashed(self._ticket)
            case BreakKind.UNREACHABLE:
                view.failing_until = max(view.failing_until, now + self._cfg.failing)
            case BreakKind.SILENT:
                self._silent += 1
        doubled = self._cfg.avoid * 2 ** min(self._without_progress, MAX_DOUBLINGS)
        self._avoided[name] = now + (broken.retry_after or doubled)

    async def _retry(self, broken):
        """Waits until the next attempt may begin; returns an outcome if there is to be none."""
        reached = broken.kind not in NOT_REACHED
        if reached and self._without_progress >= self._cfg.attempts_without_progress:
            return self._no_answer(f"{broken.kind.value}: {broken.detail}", 502)
        self._without_progress += 1
        retries = min(self._without_progress, MAX_DOUBLINGS)
        longest = min(self._cfg.longest_backoff, self._cfg.first_backoff * 2**retries)
        if retries > 1:
            await self._clock.sleep(longest * self._parts.rng.random())
        while not self._budget_allows():
            outcome = self._out_of_time()
            if outcome is not None:
                return outcome
            await self._clock.sleep(max(self._cfg.poll, longest * self._parts.rng.random()))
        return None

    def _budget_allows(self):
        budget = self._parts.retry_budget
        # A stream that has just given tokens is no additional load: it goes on elsewhere.
        if budget is None or self._without_progress <= 1:
            return True
        return budget.allow(self._pool)


def _end_name(end: typing.Any) -> str:
    match end:
        case Broke(broken):
            return broken.kind.value
        case Moved(kind):
            return f"moved-{kind.value}"
        case OutOfTime():
            return "out-of-time"
    return "whole"
