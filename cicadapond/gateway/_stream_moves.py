"""What the steps of a request know of the moves of its stream, as an abstract class."""

import abc
import asyncio
import datetime
import typing

import attrs

from cicadapond.gateway._engine_calls import MoveResult
from cicadapond.kernel import Clock
from cicadapond.serving import EngineLimits, Generation, MemoryMoves, ServerEntry


@attrs.define(eq=False)
class RelayedStream:
    """A stream that is being relayed from an engine, and its move if there is one.

    Attributes:
      id: The request's id.
      server: The engine.
      limits: The capacity of its service's engines when the attempt began; they move memory.
      generation: The size of the request.
      deadline: The monotonic time at which the request must be answered.
      is_resumable: Whether another engine may take the stream up without its memory.
      log: Writes a log event of the request.
      tries: How many moves of this request were begun, at any engine.
      timeout: Bounds the attempt that relays it.
      last_event_id: The id of the last event that was passed on, None before the first.
      events: How many events came from this engine.
      first_event_at: When the first of them came.
      last_event_at: When the last of them came.
      is_over: Whether the attempt has ended.
      is_cut: Whether the attempt is ended because the run has been stopped.
      is_abandoned: Whether the request has ended, so that nobody uses a copy.
      is_taken: Whether the result of the move has been taken by the request.
      moving: The move, None if none was begun.
      destination: Where it is moved to, None if no move was begun.
    """

    id: str
    server: ServerEntry
    limits: EngineLimits
    generation: Generation
    deadline: datetime.timedelta
    is_resumable: bool
    log: typing.Callable[..., None]
    tries: int = 0
    timeout: asyncio.Timeout | None = None
    last_event_id: str | None = None
    events: int = 0
    first_event_at: datetime.timedelta = datetime.timedelta()
    last_event_at: datetime.timedelta = datetime.timedelta()
    is_over: bool = False
    is_cut: bool = False
    is_abandoned: bool = False
    is_taken: bool = False
    moving: "asyncio.Task[MoveResult] | None" = None
    destination: ServerEntry | None = None

    @property
    def moves(self) -> MemoryMoves:
        """How the engines of its service move memory."""
        return self.limits.moves

    def record_event(self, event_id: str | None, clock: Clock) -> None:
        """Records that an event was passed on."""
        now = clock.monotonic()
        if not self.events:
            self.first_event_at = now
        self.events += 1
        self.last_event_at = now
        if event_id is not None:
            self.last_event_id = event_id

    def events_made(self) -> int:
        """Returns how many events the run has made, at this engine and at earlier ones."""
        if self.last_event_id is not None and self.last_event_id.isdigit():
            return int(self.last_event_id)
        return self.events

    def interval(self) -> datetime.timedelta | None:
        """Returns the mean time between events, None before the second event."""
        if self.events < 2:
            return None
        return (self.last_event_at - self.first_event_at) / (self.events - 1)

    def cut(self, delay: datetime.timedelta) -> None:
        """Ends the attempt after a delay, unless it ends before; the run has been stopped."""
        if self.is_over or self.timeout is None:
            return
        self.is_cut = True
        at = asyncio.get_running_loop().time() + delay.total_seconds()
        self.timeout.reschedule(min(at, self.timeout.when() or at))


class StreamMoves(abc.ABC):
    """Moves the streams that are relayed from leaving engines."""

    @abc.abstractmethod
    def enter(self, stream: RelayedStream) -> None:
        """Records a stream whose attempt begins."""

    @abc.abstractmethod
    def end_attempt(self, stream: RelayedStream) -> None:
        """Records that the attempt has ended."""

    @abc.abstractmethod
    def release(self, stream: RelayedStream) -> None:
        """Frees what was copied for a stream and not taken, now or once its move has ended."""

    @abc.abstractmethod
    async def take(self, stream: RelayedStream) -> MoveResult:
        """Returns the result of a stream's move, waiting for it; the caller owns the copy then."""

    @abc.abstractmethod
    def free(self, stream: RelayedStream, handle: str) -> None:
        """Frees a copy that was taken and not used."""

    @abc.abstractmethod
    def server_changed(self, entry: ServerEntry) -> None:
        """Records a new entry of a server, with or without a notice of leaving."""

    @abc.abstractmethod
    def server_gone(self, entry: ServerEntry) -> None:
        """Records that a server is gone."""

    @abc.abstractmethod
    def state(self) -> dict:
        """Returns the state for a dump."""
