"""One attempt: a request goes to one backend server, and its answer comes back whole or not."""

import abc
import asyncio
import datetime

import attrs

from cicadapond.forwarding._connection import BrokenAnswerError
from cicadapond.forwarding._events import Event, EventSplitter
from cicadapond.forwarding._outcome import Broken, NotSent, Outcome, Refused, StreamWhole, Whole
from cicadapond.forwarding._pool import ConnectionPool
from cicadapond.gateway import Dialect
from cicadapond.gateway.data import AnswerHead, CallerRequest, Dispatch
from cicadapond.kernel import Clock

# A new connection inside a deployment takes a few milliseconds; a server that needs so long is
# down or cut off.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_STRAY_ANSWERS = 2
MISDIRECTED = 421
# Statuses that tell a caller that nothing ran; a server's word alone does not make them true.
PROMISES = frozenset((408, 421, 429, 503))


class AnswerSink(abc.ABC):
    """Takes a stream as it comes."""

    @abc.abstractmethod
    async def begin(self, head: AnswerHead) -> None:
        """Takes the head of the answer."""

    @abc.abstractmethod
    async def event(self, event: Event) -> None:
        """Takes the next whole event."""


@attrs.frozen
class Silence:
    """How long a server may say nothing before the attempt is given up; None for no limit.

    Attributes:
      first: Until an answer begins.
      between: Between events, if the server cannot be reached then.
      longest: Between events, if it can: it may only be behind.
    """

    first: datetime.timedelta | None = None
    between: datetime.timedelta | None = None
    longest: datetime.timedelta | None = None


class Attempt:
    """Sends requests to backend servers.

    Args:
      dialect: Writes and reads headers.
      pool: Keeps connections.
      clock: Gives the time.
    """

    def __init__(self, dialect: Dialect, pool: ConnectionPool, clock: Clock):
        self._dialect = dialect
        self._pool = pool
        self._clock = clock

    async def run(
        self,
        req: CallerRequest,
        dispatch: Dispatch,
        sink: AnswerSink,
        silence: Silence,
        repeatable: bool,
        may_send,
    ) -> Outcome:
        """Sends a request once.

        If this is cancelled, the connection is closed, which makes the server stop.

        Args:
          req: The request.
          dispatch: Where it goes, and what goes with it.
          sink: Takes the answer if it is a stream.
          silence: When to give up on a silent server.
          repeatable: Whether a connection that may be stale is good enough.
          may_send: Asked right before the first byte leaves; returns why not, or None.
        """
        server = dispatch.server
        conn = self._pool.take(server.name, recent_only=not repeatable)
        if conn is None:
            timeout = min(CONNECT_TIMEOUT, dispatch.left)
            conn = await self._pool.connect(server.name, server.endpoint, timeout)
        if conn is None:
            return NotSent("no connection")
        reason = may_send()
        if reason is not None:
            self._pool.give_back(server.name, conn)
            return NotSent(reason)
        try:
            return await self._exchange(conn, req, dispatch, sink, silence)
        except BaseException:
            conn.close()
            raise

    async def _exchange(self, conn, req, dispatch, sink, silence):
        headers = self._dialect.server_headers(req, dispatch)
        conn.send(req.method, req.target, headers, req.body)
        progress = _Progress()
        try:
            async with asyncio.timeout(_seconds(silence.first)):
                head = await self._own_head(conn, req)
            progress.head = head
            if _is_stream(head):
                outcome = await self._stream(conn, dispatch.server, sink, silence, progress)
            else:
                outcome = await _whole(conn, head)
        except BrokenAnswerError as exc:
            conn.close()
            return progress.broken(str(exc), exc.was_silent)
        except TimeoutError:
            conn.close()
            return progress.broken("the server is silent", was_silent=True)
        if progress.head.closes:
            conn.close()
        else:
            self._pool.give_back(dispatch.server.name, conn)
        return outcome

    async def _own_head(self, conn, req):
        """Returns the head of the answer to this request, past late answers to earlier ones."""
        for _ in range(MAX_STRAY_ANSWERS + 1):
            status, headers = await conn.read_head()
            head = self._dialect.read_answer(status, headers)
            conn.keep_idle = head.keep_idle
            if head.request_id == req.id or (head.request_id is None and head.refused):
                return head
            await conn.skip_answer()
        raise BrokenAnswerError("answers to other requests only")

    async def _stream(self, conn, server, sink, silence, progress):
        splitter = EventSplitter()
        while (data := await self._next_part(conn, server, silence, progress)) is not None:
            for event in splitter.feed(data):
                if progress.events == 0:
                    await sink.begin(progress.head)
                await sink.event(event)
                progress.passed(event)
        if splitter.is_within_event or progress.events == 0:
            raise BrokenAnswerError("the stream ended within an event")
        return StreamWhole(progress.events)

    async def _next_part(self, conn, server, silence, progress):
        """Returns the next bytes of a stream, None at its end.

        Raises:
          TimeoutError: If the server is silent for too long.
        """
        if progress.events == 0 or silence.between is None:
            async with asyncio.timeout(_seconds(silence.first)):
                return await conn.read_body()
        reading = asyncio.ensure_future(conn.read_body())
        try:
            await asyncio.wait((reading,), timeout=_seconds(silence.between))
            if not reading.done() and await self._is_reachable(server):
                rest = silence.longest - silence.between
                await asyncio.wait((reading,), timeout=max(0.0, rest.total_seconds()))
            if not reading.done():
                raise TimeoutError
            return reading.result()
        finally:
            reading.cancel()

    async def _is_reachable(self, server):
        """Returns whether a server accepts a new connection."""
        conn = await self._pool.connect(server.name, server.endpoint, CONNECT_TIMEOUT)
        if conn is None:
            return False
        conn.close()
        return True


@attrs.define
class _Progress:
    """How far the answer has come."""

    head: AnswerHead | None = None
    events: int = 0
    last_event_id: str | None = None

    def passed(self, event):
        self.events += 1
        if event.id is not None:
            self.last_event_id = event.id

    def broken(self, reason, was_silent):
        was_closed = not was_silent
        return Broken(reason, self.head, self.last_event_id, self.events, was_closed, was_silent)


async def _whole(conn, head):
    body = await conn.read_whole_body(MAX_ANSWER_BYTES)
    if head.refused:
        return Refused(f"status {head.status}", is_misdirected=head.status == MISDIRECTED)
    if (head.status < 300 and not head.is_signed) or head.is_encoded:
        raise BrokenAnswerError(f"an answer {head.status} that the server does not vouch for")
    if head.status in PROMISES:
        raise BrokenAnswerError(f"an answer {head.status} without word that nothing ran")
    return Whole(head, body)


def _is_stream(head):
    if head.status != 200 or not head.is_signed:
        return False
    kind = dict(head.headers).get(b"content-type", b"")
    return kind.lower().startswith(b"text/event-stream")


def _seconds(duration):
    return duration.total_seconds() if duration is not None else None
