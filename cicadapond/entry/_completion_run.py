"""Runs one completion through its attempts.

A completion has one attempt at a time.  After an attempt breaks, the next one continues from the
prompt and the tokens delivered so far, on an engine with the same model version; the wait for such
an engine ends at the request's deadline.
"""

import datetime
import typing

import attrs

from cicadapond.data import (
    FailureKind,
    Finished,
    GenerateCall,
    content_hash,
    prefix_block_hashes,
    split_tokens,
)
from cicadapond.entry._attempt import Attempt, AttemptLimits, DeadlineExceeded, Moved
from cicadapond.kernel import Failed, NotRun, Ok, doubled
from cicadapond.routing import (
    RouteRequest,
    ServerView,
    choose_version,
    may_run_version,
)
from cicadapond.stream import (
    AttemptBroken,
    MoveKind,
    ResponseState,
    Whole,
)

STATUS_QUARANTINED = 422
STATUS_DEADLINE = 504
STATUS_VERSION_RETIRED = 410
MAX_DOUBLINGS = 6
NOT_RUN_KINDS = (FailureKind.UNREACHABLE, FailureKind.REFUSED)


class CompletionRun:
    """The state of one completion across its attempts.

    Args:
      runner: The process's runner, which holds the state that all runs share.
      req: The request.
      sink: Takes the tokens in order, each once.
      resume: Tokens that were delivered before.
      version: The model version that generated them, None if there are none.
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
        self._answer = ResponseState(stream_id, req.max_tokens, resume)
        self._content_hash = content_hash(req.model, req.adapter or "", req.prompt)
        self._prompt_tokens = len(split_tokens(req.prompt))
        self._may_have_run = bool(resume)
        self._waiting_for_trial = False
        self._pending_move: Moved | None = None
        self._avoided_until: dict[str, datetime.timedelta] = {}
        self._attempts_without_progress = 0
        self._silent_attempts = 0
        self._waiting_since = self._clock.monotonic()
        self._quarantine_ticket = None
        self._trial_tokens_left = 0
        self._blocks = ()
        self._hashed_token_count: int | None = None
        self._delivery_started = False

    async def execute(self):
        """Runs attempts until there is an outcome, and returns it."""
        while True:
            finished = self._finish_if_complete()
            if finished is not None:
                return Ok(finished)
            view = await self._find_server()
            if not isinstance(view, ServerView):
                return view
            outcome = await self._run_attempt(view)
            if outcome is not None:
                return outcome

    def end_quarantine_wait(self):
        """Leaves the quarantine's queue for a trial server, if this run waits in it."""
        if self._waiting_for_trial:
            self._waiting_for_trial = False
            self._quarantine.end_wait(self._content_hash)

    def _finish_if_complete(self):
        """Returns the result if only the final event is missing, None if tokens are missing."""
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
            outcome = self._check_quarantine() or self._check_time_limits()
            if outcome is not None:
                return outcome
            await self._refresh_after_pause()
            view = self._pick()
            if view is not None:
                return view
            await self._clock.sleep(self._cfg.poll)

    def _check_quarantine(self):
        end = self._quarantine.quarantined_until(self._content_hash)
        if end is None:
            return None
        self._metrics.count("poison_refused")
        reason = f"this request has crashed backend servers; it is refused until {end:%H:%M:%S} UTC"
        return self._failure_outcome(reason, STATUS_QUARANTINED, end - self._clock.now())

    def _check_time_limits(self):
        now, deadline = self._clock.monotonic(), self._req.deadline
        if deadline is not None and now >= deadline:
            return self._failure_outcome("the deadline has passed", STATUS_DEADLINE)
        waited = now - self._waiting_since
        if self._req.durable and waited >= self._cfg.server_wait and self._is_version_retired():
            return Failed(
                f"no engine runs version {self._version!r} any more", STATUS_VERSION_RETIRED
            )
        if deadline is None and not self._req.durable and waited >= self._cfg.server_wait:
            return self._failure_outcome(f"no engine of pool {self._pool!r} takes work", 503)
        return None

    def _is_version_retired(self):
        """Returns whether the answer began with a version that the document no longer names."""
        model = self._parts.intent().models.get(self._req.model)
        return bool(self._answer.tokens) and model is not None and model.version != self._version

    def _failure_outcome(self, reason, status, retry_after=None):
        if self._may_have_run:
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
        self._runner.pause.clear()

    def _pick(self) -> ServerView | None:
        now = self._clock.monotonic()
        views = self._parts.fleet.views(self._pool)
        version = self._pin_version(views)
        views = [view for view in views if may_run_version(view, self._req.model, version)]
        if self._quarantine.is_suspect(self._content_hash):
            return self._pick_for_suspect(views, now)
        self.end_quarantine_wait()
        planned = self._planned_target(views, now)
        if planned is not None:
            return planned
        req = self._route_request(now)
        suspected = self._quarantine.servers_with_suspects()
        if suspected:
            isolated = attrs.evolve(req, avoid=req.avoid | suspected)
            view = self._parts.router.choose(isolated, views, now)
            if view is not None:
                return view
        return self._parts.router.choose(req, views, now)

    def _planned_target(self, views, now):
        target = self._pending_move.target if self._pending_move is not None else None
        for view in views:
            if view.server.name == target and not view.leaving and view.failing_until <= now:
                return view
        self._pending_move = None if target is not None else self._pending_move
        return None

    def _pick_for_suspect(self, views, now):
        if not self._waiting_for_trial:
            self._waiting_for_trial = True
            self._quarantine.begin_wait(self._content_hash)
        avoided = self._current_avoided(now)
        found = {view.server.name: view for view in views if not view.leaving}
        names = sorted(found.keys() - avoided) or sorted(found)
        if names:
            self._waiting_since = now
        view = found.get(self._quarantine.assign_server(self._content_hash, names))
        if view is None or view.failing_until > now:
            return None
        self.end_quarantine_wait()
        return view

    def _route_request(self, now):
        return RouteRequest(
            blocks=self._context_blocks(),
            tokens=self._prompt_tokens + len(self._answer.tokens),
            priority=self._req.priority,
            avoid=self._current_avoided(now),
        )

    def _context_blocks(self):
        """Returns the block hashes of prompt and tokens, recomputed only after new tokens."""
        tokens = self._answer.tokens
        if self._hashed_token_count != len(tokens):
            prompt = self._req.prompt
            context = f"{prompt} {''.join(tokens)}" if tokens else prompt
            self._blocks = prefix_block_hashes(context)
            self._hashed_token_count = len(tokens)
        return self._blocks

    def _current_avoided(self, now):
        self._avoided_until = {name: end for name, end in self._avoided_until.items() if end > now}
        return frozenset(self._avoided_until)

    # One attempt

    async def _run_attempt(self, view):
        name = view.server.name
        now = self._clock.monotonic()
        route = self._route_request(now)
        before = len(self._answer.tokens)
        attempt = self._open_attempt(view, self._take_move(name))
        self._parts.router.routed(route, name, now)
        end = await attempt.run(self._deliver, self._sink.pace)
        self._metrics.count("attempts", end=_end_label(end))
        if len(self._answer.tokens) > before:
            self._attempts_without_progress = self._silent_attempts = 0
            self._waiting_since = self._clock.monotonic()
        match end:
            case Whole(finished):
                return self._record_success(finished, route, view, now)
            case Moved():
                self._pending_move = end
                self._may_have_run = True
                return None
            case DeadlineExceeded():
                self._may_have_run = True
                return self._failure_outcome("the deadline has passed", STATUS_DEADLINE)
            case AttemptBroken(broken):
                self._record_break(broken, view)
                return await self._retry(broken)

    async def _deliver(self, tokens):
        if self._trial_tokens_left > 0:
            self._trial_tokens_left -= len(tokens)
            if self._trial_tokens_left <= 0:
                self._quarantine.progressed(self._quarantine_ticket)
        if not self._delivery_started:
            self._delivery_started = True
            self._sink.set_version(self._version)
        await self._sink.tokens(tokens)

    def _take_move(self, name) -> Moved | None:
        move, self._pending_move = self._pending_move, None
        if move is not None and move.kind is MoveKind.EXPORT and move.target != name:
            return None
        return move

    def _open_attempt(self, view, move):
        from_start = move is not None and move.kind is MoveKind.RESTART
        epoch = self._answer.begin(from_start)
        resume = () if from_start else tuple(self._answer.tokens)
        handle = move.kv_handle if move is not None else None
        if epoch > 1 and handle is None:
            self._metrics.count("tokens_replayed", self._prompt_tokens + len(resume))
        name = view.server.name
        attempt = Attempt(
            self._parts.fleet.adapter(name),
            self._generate_call(epoch, resume, handle),
            self._answer,
            AttemptLimits(
                self._cfg.silence, self._cfg.slow_reader, self._req.deadline, self._silent_attempts
            ),
            self._clock,
            self._metrics,
            self._runner.pause,
            self._attempt_closed,
        )
        self._parts.fleet.request_started(name)
        on_trial = self._quarantine.is_suspect(self._content_hash)
        self._trial_tokens_left = self._cfg.trial_tokens if on_trial else 0
        self._quarantine_ticket = self._quarantine.started(self._content_hash, name)
        self._runner.attempts.setdefault(name, {})[attempt.call.stream_id] = attempt
        return attempt

    def _generate_call(self, epoch, resume, kv_handle):
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

    def _pin_version(self, views):
        """Returns the model version, which is fixed for all attempts once there is a token."""
        if not self._answer.tokens or not self._version:
            model = self._parts.intent().models.get(self._req.model)
            wanted = model.version if model is not None else self._version
            self._version = choose_version(self._req.model, wanted, views)
        return self._version

    def _attempt_closed(self, attempt):
        name = attempt.server
        self._runner.attempts[name].pop(attempt.call.stream_id, None)
        if not self._runner.attempts[name]:
            del self._runner.attempts[name]
        self._quarantine.ended(self._quarantine_ticket)
        self._parts.fleet.request_finished(name)

    def _record_success(self, finished, route, view, started):
        duration = self._clock.monotonic() - started
        self._parts.router.finished(route, view.server.name, finished.cached_tokens, duration)
        self._quarantine.completed(self._quarantine_ticket)
        if self._parts.retry_budget is not None:
            self._parts.retry_budget.success(self._pool)
        return Ok(finished)

    # After a break

    def _record_break(self, broken, view):
        name = view.server.name
        now = self._clock.monotonic()
        if broken.kind not in NOT_RUN_KINDS:
            self._may_have_run = True
            self._waiting_since = now
        match broken.kind:
            case FailureKind.CRASHED:
                view.failing_until = max(view.failing_until, now + self._cfg.failing)
                self._parts.router.forget(name)
                if not self._parts.fleet.is_leaving(name):
                    self._quarantine.crashed(self._quarantine_ticket)
            case FailureKind.UNREACHABLE:
                view.failing_until = max(view.failing_until, now + self._cfg.failing)
            case FailureKind.SILENT:
                self._silent_attempts += 1
        backoff = self._cfg.avoid * 2 ** min(self._attempts_without_progress, MAX_DOUBLINGS)
        self._avoided_until[name] = now + (broken.retry_after or backoff)

    async def _retry(self, broken):
        """Waits until the next attempt may begin; returns the outcome if none is to follow."""
        may_have_run = broken.kind not in NOT_RUN_KINDS
        if may_have_run and self._attempts_without_progress >= self._cfg.attempts_without_progress:
            return self._failure_outcome(f"{broken.kind.value}: {broken.detail}", 502)
        self._attempts_without_progress += 1
        retries = min(self._attempts_without_progress, MAX_DOUBLINGS)
        max_backoff = doubled(self._cfg.first_backoff, retries, self._cfg.longest_backoff)
        if retries > 1:
            await self._clock.sleep(max_backoff * self._parts.rng.random())
        while not self._budget_allows():
            outcome = self._check_time_limits()
            if outcome is not None:
                return outcome
            await self._clock.sleep(max(self._cfg.poll, max_backoff * self._parts.rng.random()))
        return None

    def _budget_allows(self):
        budget = self._parts.retry_budget
        # The first retry of a request, and the first one after a new token, need no budget:
        # continuing a stream that has just made progress adds no load.
        if budget is None or self._attempts_without_progress <= 1:
            return True
        return budget.allow(self._pool)


def _end_label(end: typing.Any) -> str:
    match end:
        case AttemptBroken(broken):
            return broken.kind.value
        case Moved(kind):
            return f"moved-{kind.value}"
        case DeadlineExceeded():
            return "out-of-time"
    return "whole"
