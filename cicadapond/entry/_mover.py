"""Moves the streams of leaving engines to others, as the document's moving policy decides."""

import asyncio
import collections
import datetime
import typing

from cicadapond.backend import NotSent
from cicadapond.data import split_tokens
from cicadapond.document import PolicyIntent
from cicadapond.entry._attempt import Attempt, Moved
from cicadapond.kernel import Ok, Unavailable, seconds
from cicadapond.routing import ServerView, may_run_version
from cicadapond.stream import Movable, MoveKind, MoveTarget, MovingSettings, moving_policies

DECISION_INTERVAL = seconds(0.05)
GIVE_UP_AFTER = seconds(2)  # after the end of a server's notice
DEFAULT_SLOTS = 32


class StreamMover:
    """Moves streams away from engines whose hosts are leaving.

    Args:
      parts: The entry's shared components.
      cfg: Estimates and limits for moving streams.
      attempts: The open attempts by server and stream.
    """

    def __init__(
        self,
        parts,
        cfg: MovingSettings,
        attempts: typing.Mapping[str, typing.Mapping[str, Attempt]],
    ):
        self._parts = parts
        self._cfg = cfg
        self._attempts = attempts
        self._departures: dict[str, datetime.timedelta] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._exports = set()
        self._incoming = collections.Counter()
        self._policy_name = None
        self._policy = None

    def server_leaving(self, server: str, left: datetime.timedelta | None) -> None:
        """Begins to empty a server; a second notice may only shorten its remaining time."""
        end = self._parts.clock.monotonic() + (left or self._cfg.assumed_notice)
        self._departures[server] = min(end, self._departures.get(server, end))
        if server not in self._tasks:
            task = asyncio.ensure_future(self._empty_server(server))
            self._tasks[server] = task
            task.add_done_callback(lambda _: self._tasks.pop(server, None))

    def stop(self) -> None:
        """Cancels all moves."""
        for task in [*self._tasks.values(), *self._exports]:
            task.cancel()

    def state(self) -> dict:
        """Returns the engines being emptied, with their time and streams left, for a dump."""
        now = self._parts.clock.monotonic()
        return {
            name: {
                "left_seconds": (end - now).total_seconds(),
                "streams": len(self._attempts.get(name, ())),
            }
            for name, end in self._departures.items()
        }

    async def _empty_server(self, server):
        clock = self._parts.clock
        try:
            while self._parts.fleet.is_leaving(server):
                left = self._departures[server] - clock.monotonic()
                if left < -GIVE_UP_AFTER:
                    break
                self._begin_moves(server, left)
                await clock.sleep(DECISION_INTERVAL)
        finally:
            self._departures.pop(server, None)

    def _begin_moves(self, server, left):
        attempts = self._attempts.get(server)
        if not attempts:
            return
        views = self._targets(server, attempts)
        targets = [self._target(view) for view in views.values()]
        streams = [_movable(attempt) for attempt in attempts.values()]
        for move in self._current_policy().next(streams, targets, left):
            attempt = attempts.get(move.stream_id)
            if attempt is None:
                continue
            self._parts.metrics.count("streams_moved", kind=move.kind.value)
            if move.kind is MoveKind.EXPORT:
                self._begin_export(attempt, views[move.target], left - self._cfg.margin)
            else:
                attempt.move(Moved(move.kind, move.target))

    def _current_policy(self):
        name = self._parts.intent().policies.moving
        if name != self._policy_name:
            known = name if name in moving_policies.names() else PolicyIntent().moving
            self._policy = moving_policies.create(known, self._cfg)
            self._policy_name = name
        return self._policy

    def _targets(self, server, attempts) -> dict[str, ServerView]:
        first = next(iter(attempts.values()))
        model, version = first.call.model, first.call.version
        now = self._parts.clock.monotonic()
        return {
            view.server.name: view
            for view in self._parts.fleet.views(first.engine.server.pool)
            if view.server.name != server
            and not view.leaving
            and view.failing_until <= now
            and may_run_version(view, model, version)
        }

    def _target(self, view):
        name = view.server.name
        slots = view.report.slots if view.report is not None else DEFAULT_SLOTS
        occupied = view.own_in_flight + view.peer_in_flight + self._incoming[name]
        replaying = sum(
            attempt.first_token_at is None and attempt.call.epoch > 1
            for attempt in self._attempts.get(name, {}).values()
        )
        return MoveTarget(name, slots - occupied, replaying)

    def _begin_export(self, attempt, view, limit):
        attempt.exporting = True
        self._incoming[view.server.name] += 1
        task = asyncio.ensure_future(self._export(attempt, view, limit))
        self._exports.add(task)
        task.add_done_callback(self._exports.discard)

    async def _export(self, attempt, view, limit):
        clock = self._parts.clock
        started = clock.monotonic()
        concurrent_exports = sum(
            other.exporting for other in self._attempts[attempt.server].values()
        )
        tokens = _context_tokens(attempt)
        try:
            async with asyncio.timeout((limit + self._cfg.margin).total_seconds()):
                outcome = await attempt.engine.export_kv(attempt.call.stream_id, view.server, limit)
        except TimeoutError:
            outcome = Unavailable("the export did not end in time")
        finally:
            attempt.exporting = False
            self._incoming[view.server.name] -= 1
        match outcome:
            case Ok(handle):
                duration = (clock.monotonic() - started) / max(1, concurrent_exports)
                self._current_policy().exported(tokens, duration)
                attempt.move(Moved(MoveKind.EXPORT, view.server.name, handle))
            case NotSent() | Unavailable():
                attempt.export_failures += 1
                self._parts.metrics.count("exports_failed")


def _context_tokens(attempt):
    return len(split_tokens(attempt.call.prompt)) + len(attempt.answer.tokens)


def _movable(attempt):
    return Movable(
        stream_id=attempt.call.stream_id,
        context_tokens=_context_tokens(attempt),
        remaining=attempt.remaining(),
        priority=attempt.call.priority,
        started=attempt.first_token_at is not None,
        exporting=attempt.exporting,
        failures=attempt.export_failures,
    )
