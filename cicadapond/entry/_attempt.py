"""One generation attempt on one engine: reads its events, delivers its tokens, closes it."""

import asyncio
import dataclasses
import datetime
import typing

import attrs

from cicadapond.backend import Engine
from cicadapond.data import Broken, FailureKind, GenerateCall, Token
from cicadapond.kernel import Clock, Metrics
from cicadapond.stream import (
    AttemptBroken,
    MoveKind,
    PauseDetector,
    ResponseState,
    SilenceLimits,
    Whole,
)

ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """The attempt was ended to continue its stream in another attempt."""

    kind: MoveKind
    target: str | None = None
    kv_handle: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The request's deadline has passed."""


AttemptEnd = Whole | AttemptBroken | Moved | DeadlineExceeded


@attrs.frozen
class AttemptLimits:
    """Limits of one attempt.

    `slow_reader` is how long a delivery to the caller may take before the engine's stream is
    paused; `silent_attempts` counts the attempts that ended in silence since the
    last new token.
    """

    silence: SilenceLimits
    slow_reader: datetime.timedelta
    deadline: datetime.timedelta | None
    silent_attempts: int = 0


class Attempt:
    """One attempt; `close` releases everything that it holds and is idempotent.

    Args:
      engine: The engine's adapter.
      call: The generation request.
      answer: The state machine that checks its events.
      limits: Time limits.
      clock: Gives the time.
      metrics: Takes counts.
      pause_detector: Detects pauses of this process.
      on_close: Called once when the attempt is closed.
    """

    def __init__(
        self,
        engine: Engine,
        call: GenerateCall,
        answer: ResponseState,
        limits: AttemptLimits,
        clock: Clock,
        metrics: Metrics,
        pause_detector: PauseDetector,
        on_close: typing.Callable[["Attempt"], None],
    ):
        self.engine = engine
        self.call = call
        self.answer = answer
        self.exporting = False
        self.export_failures = 0
        self.first_token_at: datetime.timedelta | None = None
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._pause_detector = pause_detector
        self._on_close = on_close
        self._stream = None
        self._timer: asyncio.Timeout | None = None
        self._move: Moved | None = None
        self._closed = False

    @property
    def server(self) -> str:
        """The engine's name."""
        return self.engine.server.name

    def remaining(self) -> datetime.timedelta | None:
        """Returns the estimated time to the last token at the rate so far, None if unknown."""
        done = len(self.answer.tokens) - len(self.call.resume)
        if self.first_token_at is None or done < 2:
            return None
        interval = (self._clock.monotonic() - self.first_token_at) / (done - 1)
        return interval * (self.call.max_tokens - len(self.answer.tokens))

    def move(self, moved: Moved) -> None:
        """Asks the attempt to end so that its stream continues in another attempt."""
        if self._move is not None or self._closed:
            return
        self._move = moved
        if self._timer is not None:
            self._timer.reschedule(asyncio.get_running_loop().time())

    async def run(self, deliver: typing.Callable, pace: typing.Callable) -> AttemptEnd:
        """Reads the stream until the attempt ends, then closes it.

        Args:
          deliver: Delivers new tokens; returns when the caller can accept more.
          pace: Waits between reads, so that tokens can be delivered together.

        Returns:
          How the attempt ended.
        """
        try:
            self._stream = self.engine.generate(self.call)
            return await self._read(deliver, pace)
        finally:
            self.close()

    async def _read(self, deliver, pace):
        while True:
            if self._move is not None:
                return self._move
            events = await self._read_events()
            if events is None:
                end = self._handle_silence()
                if end is not None:
                    return end
                continue
            result = self.answer.process(events)
            for reason in result.dropped:
                self._metrics.count("tokens_dropped", reason=reason.value)
            if result.tokens:
                await self._deliver(deliver, result.tokens)
            if result.end is not None:
                return result.end
            if self._time_left() == ZERO:
                return DeadlineExceeded()
            await pace()

    async def _read_events(self):
        """Returns the next events, None after a time-out or a call of `move`."""
        limit = self._limits.silence.limit(
            self.call.priority, self.first_token_at is not None, self._limits.silent_attempts
        )
        left = self._time_left()
        limit = limit if left is None else min(limit, left)
        try:
            async with asyncio.timeout(limit.total_seconds()) as self._timer:
                return await self._stream.read()
        except TimeoutError:
            return None
        finally:
            self._timer = None

    def _handle_silence(self):
        """Returns how a time-out ends the attempt; None if a move or a process pause caused it."""
        if self._move is not None:
            return None
        if self._time_left() == ZERO:
            return DeadlineExceeded()
        if self._pause_detector.paused():
            self._pause_detector.clear()
            return None
        return AttemptBroken(
            Broken(self.call.epoch, FailureKind.SILENT, f"{self.server} is silent")
        )

    def _time_left(self):
        """Returns the time to the deadline, zero once it has passed, None without one."""
        if self._limits.deadline is None:
            return None
        return max(ZERO, self._limits.deadline - self._clock.monotonic())

    async def _deliver(self, deliver, tokens: tuple[Token, ...]):
        if self.first_token_at is None:
            self.first_token_at = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        delay = self._limits.slow_reader.total_seconds()
        pause_timer = loop.call_later(delay, self._stream.pause)
        try:
            await deliver(tokens)
        finally:
            pause_timer.cancel()
        if pause_timer.when() <= loop.time():
            self._stream.resume()

    def close(self) -> None:
        """Closes the stream and calls `on_close`; idempotent."""
        if self._closed:
            return
        self._closed = True
        if self._stream is not None:
            self._stream.close()
        self._on_close(self)
