"""Moves the streams of leaving engines to other engines, so that they outlive their engine.

The load that it handles: all reclaimable engines of a data centre are withdrawn at once with a few
seconds' notice, and each has a full batch of streams.  `cicadapond.evacuation` decides; this module
makes the calls and keeps the results for the requests, which go on by themselves.
"""

import asyncio
import datetime
import random

from cicadapond.evacuation import (
    EngineRoom,
    LeavingNotices,
    Move,
    MovePlanner,
    RunningStream,
    TransferTimes,
)
from cicadapond.gateway._engine_calls import (
    EngineCalls,
    KeptAtSource,
    Moved,
    MoveDeclined,
    MoveResult,
    MoveUnknown,
)
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._request import milliseconds
from cicadapond.gateway._stream_moves import RelayedStream, StreamMoves
from cicadapond.kernel import TaskGroup

# How often the streams at leaving engines are looked at; a full batch is moved one after another.
STEP = datetime.timedelta(milliseconds=15)
# Moves that are begun for one request.
MAX_TRIES = 3
# A call is given up after this multiple of its expected time, but not before the minimum.
CALL_TIMEOUT_FACTOR = 3.0
MIN_CALL_TIMEOUT = datetime.timedelta(milliseconds=400)
# A call whose answer was lost is repeated, as its answer has the handle; while the first call is
# in progress the engine declines the repeated one.
MAX_REPEATS = 4
REPEAT_PAUSE = datetime.timedelta(milliseconds=50)
# Events that a stopped engine has sent arrive within this time; later ones are made again from
# the copy.
CLOSE_GRACE = datetime.timedelta(milliseconds=100)
# An engine that had no room is no destination for this long.
NO_ROOM_PAUSE = datetime.timedelta(milliseconds=400)


class Evacuation(StreamMoves):
    """The moves of one process.

    Args:
      parts: The components of this process.
      calls: The calls to engines.
      tasks: Runs the moves.
      rng: Source of random choices.
    """

    def __init__(self, parts: Parts, calls: EngineCalls, tasks: TaskGroup, rng: random.Random):
        self._parts = parts
        self._clock = parts.clock
        self._calls = calls
        self._tasks = tasks
        self._rng = rng
        self._notices = LeavingNotices(parts.clock, parts.cfg.bounds.drain)
        self._streams: dict[str, set[RelayedStream]] = {}
        self._in_progress: list[Move] = []
        self._times: dict[str, TransferTimes] = {}
        # Until when an engine is no destination, as it had no room.
        self._full_until: dict[str, datetime.timedelta] = {}
        self._loop: asyncio.Task | None = None

    # Streams

    def enter(self, stream):
        self._streams.setdefault(stream.server.name, set()).add(stream)
        if self._notices.time_left(stream.server) is not None:
            self._wake()

    def end_attempt(self, stream):
        stream.is_over = True
        streams = self._streams.get(stream.server.name, set())
        streams.discard(stream)
        if not streams:
            self._streams.pop(stream.server.name, None)

    def release(self, stream):
        stream.is_abandoned = True
        moving = stream.moving
        if moving is not None and moving.done() and not moving.cancelled() and not stream.is_taken:
            self._free_unused(stream, moving.result())

    async def take(self, stream):
        result = await asyncio.shield(stream.moving)
        stream.is_taken = True
        return result

    def free(self, stream, handle):
        self._tasks.spawn(self._calls.free(stream.server, handle), "free memory copy")

    # Servers

    def server_changed(self, entry):
        self._notices.record(entry)
        if entry.is_leaving and self._streams.get(entry.name):
            self._wake()

    def server_gone(self, entry):
        self._notices.remove(entry)
        self._full_until.pop(entry.name, None)
        self._calls.drop_server(entry)

    def state(self):
        return {
            "leaving_streams": {
                name: len(streams)
                for name, streams in self._streams.items()
                if self._is_leaving(streams)
            },
            "moves": [[move.stream.id, move.destination.name] for move in self._in_progress],
        }

    def _is_leaving(self, streams):
        return any(self._notices.time_left(stream.server) is not None for stream in streams)

    # Moves

    def _wake(self):
        if self._loop is None or self._loop.done():
            self._loop = self._tasks.keep_running(self._run, "stream moves")

    async def _run(self):
        while leaving := self._leaving_streams():
            by_service: dict[str, list] = {}
            for stream in leaving:
                if stream.moving is None and stream.tries < MAX_TRIES:
                    by_service.setdefault(stream.server.service, []).append(stream)
            for service, streams in by_service.items():
                self._begin_moves(service, streams)
            await self._clock.sleep(STEP)

    def _leaving_streams(self):
        found = []
        for streams in self._streams.values():
            for stream in streams:
                left = self._notices.time_left(stream.server)
                if left is not None and left > datetime.timedelta():
                    found.append(stream)
        return found

    def _begin_moves(self, service, streams):
        views = {stream.id: (self._view(stream), stream) for stream in streams}
        views = {key: each for key, each in views.items() if each[0] is not None}
        if not views:
            return
        # The current configuration may lack the service of a stream that still runs.
        limits = next(reversed(views.values()))[1].limits
        planner = MovePlanner(self._times.setdefault(service, TransferTimes()), self._rng)
        rooms = self._rooms(service, limits, [view for view, _ in views.values()])
        for move in planner.choose([view for view, _ in views.values()], rooms, self._in_progress):
            stream = views[move.stream.id][1]
            stream.tries += 1
            stream.destination = move.destination
            self._in_progress.append(move)
            stream.moving = self._tasks.spawn(self._move(stream, move), "stream move")

    def _view(self, stream) -> RunningStream | None:
        """Returns what the plan needs of a stream, None while its pace is not known.

        Nor is one moved whose events have no ids, as an engine could not tell where to go on.
        """
        interval = stream.interval()
        left = self._notices.time_left(stream.server)
        if interval is None or left is None or stream.last_event_id is None:
            return None
        made, stride = stream.events_made(), stream.moves.event_tokens
        events_left = max(1, -(-stream.generation.output_tokens // stride) - made)
        return RunningStream(
            id=stream.id,
            server=stream.server,
            moves=stream.moves,
            tokens=stream.generation.prompt_tokens + made * stride,
            size=stream.generation.tokens,
            remaining=min(events_left * interval, stream.deadline - self._clock.monotonic()),
            notice_left=left,
            is_resumable=stream.is_resumable,
        )

    def _rooms(self, service, limits, views) -> list[EngineRoom]:
        parts = self._parts
        now = self._clock.monotonic()
        usable = [
            entry
            for entry in parts.health.usable(parts.registry.usable(service))
            if parts.advisories.may_send(entry)
            and self._full_until.get(entry.name, datetime.timedelta()) <= now
        ]
        mean_size = sum(view.size for view in views) / len(views)
        rooms = []
        for entry in usable:
            running = parts.placer.estimated_in_flight(entry)
            slots = min(entry.slots, limits.slots)
            rooms.append(EngineRoom(entry, slots - running, limits.tokens - running * mean_size))
        return rooms

    async def _move(self, stream, move) -> MoveResult:
        begun = self._clock.monotonic()
        try:
            result = await self._call(stream, move)
        finally:
            self._in_progress.remove(move)
        took = self._clock.monotonic() - begun
        self._record(stream, move, result, took)
        if isinstance(result, Moved) and not _is_of_this_run(stream, result):
            self.free(stream, result.handle)
            result = MoveUnknown("the copy is of another run")
        if isinstance(result, Moved | KeptAtSource):
            stream.cut(CLOSE_GRACE)
        elif not stream.is_over and isinstance(result, MoveDeclined):
            # The run goes on at its engine, and may be moved again.
            stream.moving = None
        if stream.is_abandoned and not stream.is_taken:
            self._free_unused(stream, result)
        return result

    async def _call(self, stream, move):
        limit = max(MIN_CALL_TIMEOUT, CALL_TIMEOUT_FACTOR * move.expected)
        ends = self._clock.monotonic() + min(limit, move.stream.notice_left)
        result: MoveResult = MoveUnknown("no time is left")
        for repeat in range(MAX_REPEATS + 1):
            left = min(ends, stream.deadline) - self._clock.monotonic()
            if left <= datetime.timedelta() or (repeat and stream.is_abandoned):
                break
            answer = await self._calls.move(stream.server, stream.id, move.destination, left)
            if repeat and isinstance(answer, MoveDeclined):
                # The first call may have stopped the run, whatever the engine knows of it now.
                if not answer.is_busy:
                    return MoveUnknown(f"{result.reason}; then: {answer.reason}")
            elif not isinstance(answer, MoveUnknown):
                return answer
            else:
                result = answer
            await self._clock.sleep(REPEAT_PAUSE)
        return result

    def _record(self, stream, move, result, took):
        metrics = self._parts.metrics
        fields = {
            "server": stream.server.name,
            "destination": move.destination.name,
            "tokens": move.stream.tokens,
            "remaining_ms": milliseconds(move.stream.remaining),
            "notice_left_ms": milliseconds(move.stream.notice_left),
            "expected_ms": milliseconds(move.expected),
            "took_ms": milliseconds(took),
        }
        if isinstance(result, Moved):
            self._times[stream.server.service].observe(move.nominal, took)
            metrics.count("streams_moved", service=stream.server.service)
            metrics.record("stream_move", took)
            stream.log("stream_moved", events=result.events, **fields)
            return
        if isinstance(result, KeptAtSource):
            self._full_until[move.destination.name] = self._clock.monotonic() + NO_ROOM_PAUSE
        metrics.count("stream_moves_failed", outcome=type(result).__name__)
        stream.log(
            "stream_move_failed", outcome=type(result).__name__, reason=result.reason, **fields
        )

    def _free_unused(self, stream, result):
        if isinstance(result, Moved | KeptAtSource):
            stream.is_taken = True
            self.free(stream, result.handle)


def _is_of_this_run(stream, result):
    """Returns whether a copy may be of the stream's run: that has made what was passed on.

    Callers choose the ids of requests, so that two runs at an engine may have the same one.
    """
    return result.events >= stream.events_made()
