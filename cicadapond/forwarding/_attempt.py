"""A single attempt: sends a request to one backend server and reads the response."""

import abc
import asyncio
import dataclasses
import datetime
import math
import typing

import attrs

from cicadapond.forwarding._connection import BrokenResponseError, ServerConnection
from cicadapond.forwarding._events import Event, EventSplitter
from cicadapond.forwarding._header_codec import HeaderCodec
from cicadapond.forwarding._outcome import Broken, NotSent, Outcome, Refused, StreamWhole, Whole
from cicadapond.forwarding._pool import CLOSING_TIME, ConnectionPool
from cicadapond.kernel import Clock, late_timeout
from cicadapond.serving import CallerRequest, Dispatch, ResponseHead, ServerEntry

# Connecting within a deployment takes a few milliseconds; a server that takes longer than this is
# down or unreachable.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# Servers that were ended together are up again within this time, and reached by then.
MAX_RESTART_TIME = datetime.timedelta(milliseconds=800)
REACH_INTERVAL = datetime.timedelta(milliseconds=100)
# Bounds on what a server that does not end its answer makes this process hold: a whole answer that
# is no stream, and one event of a stream.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
# If the last answer of a server was too costly, an event of its next one is costly from this
# processor time on, and may take this much.
SUSPECT_FREE_COST_S = 0.0005
MAX_SUSPECT_COST_S = 0.002
# The pieces that an event may come in, and its bytes with their framing.
MAX_EVENT_PIECES = 32 * 1024
MAX_FRAMED_EVENT_BYTES = 2 * MAX_EVENT_BYTES
MAX_STALE_RESPONSES = 2
# A connection with so many refusals is not used any longer, as it keeps their ids.
MAX_REFUSALS = 64
MISDIRECTED = 421
# Statuses that tell a caller that the request was not executed.  They are not passed on unless the
# server marked the request as not executed: the status alone does not prove it.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class ResponseSink(abc.ABC):
    """Receives a streamed response as it arrives."""

    @abc.abstractmethod
    def head(self, head: ResponseHead) -> None:
        """Receives the head of any response of this server, as soon as it has been read."""

    @abc.abstractmethod
    async def begin(self, head: ResponseHead) -> None:
        """Receives the status and headers, before the first event."""

    @abc.abstractmethod
    async def event(self, event: Event) -> None:
        """Receives the next complete event."""


class AnswerCosts(abc.ABC):
    """Learns which servers send answers that cost much and bring nothing."""

    @abc.abstractmethod
    def begin(self, server: ServerEntry) -> bool:
        """Records that a request is being sent; returns whether the last answer was too costly."""

    @abc.abstractmethod
    def record_costly(self, server: ServerEntry, cost: datetime.timedelta) -> None:
        """Records an answer that is costly: an event in progress, or an answer that was given up.

        Args:
          server: The server.
          cost: The processor time since its last event, or since its beginning.
        """

    @abc.abstractmethod
    def record_whole(self, server: ServerEntry) -> None:
        """Records a complete answer."""


@attrs.frozen
class SilenceTimeouts:
    """How long a server may send nothing before the attempt times out; None means no limit.

    Attributes:
      first: Limit until the response head; in a stream, then also on each read until the first
        event.
      between: Limit between events if the server then does not accept a new connection.
      longest: Limit between events if it does, as it may only be slow.
    """

    first: datetime.timedelta | None = None
    between: datetime.timedelta | None = None
    longest: datetime.timedelta | None = None


class Attempt:
    """Sends requests to backend servers.

    Args:
      header_codec: Writes and reads headers.
      pool: The pool of connections to servers.
      clock: The clock.
      reaches_others: Returns whether other servers of a server's service can be reached; if not,
        lost links look like the server's end.  None if that does not matter.
      costs: Learns of costly answers, None if nobody does.

    Attributes:
      has_restarted: Returns whether a server that can be reached is a later start than its entry
        says; None if nobody knows.
    """

    def __init__(
        self,
        header_codec: HeaderCodec,
        pool: ConnectionPool,
        clock: Clock,
        reaches_others: typing.Callable[[ServerEntry], typing.Awaitable[bool]] | None = None,
        costs: AnswerCosts | None = None,
    ):
        self._header_codec = header_codec
        self._pool = pool
        self._clock = clock
        self._reaches_others = reaches_others
        self._costs = costs
        self.has_restarted: typing.Callable[[ServerEntry], typing.Awaitable[bool]] | None = None
        # The connections by which requests are in progress, with their servers, by service.
        self._in_use: dict[str, dict[ServerConnection, str]] = {}

    async def run(
        self,
        req: CallerRequest,
        dispatch: Dispatch,
        sink: ResponseSink,
        silence: SilenceTimeouts,
        repeatable: bool,
        check_send,
    ) -> Outcome:
        """Sends a request once.

        An attempt that is given up or cancelled resets its connection: the server stops, and bytes
        that it has not received never reach it.

        Args:
          req: The request.
          dispatch: The server, and what is sent along with the request.
          sink: Receives the response if it is a stream.
          silence: The time-outs for a server that sends nothing.
          repeatable: Whether the request may be sent again, and so use a connection that the server
            may have closed.
          check_send: Called right before the first byte is sent; returns the reason why the request
            must not be sent, None if it may be.

        Returns:
          The outcome.
        """
        server = dispatch.server
        conn = self._pool.take_idle(server.name, recent_only=not repeatable)
        if conn is not None and req.id in conn.refused_ids:
            conn.close()
            conn = None
        if conn is None:
            timeout = min(CONNECT_TIMEOUT, dispatch.time_left)
            conn = await self._pool.connect(server.name, server.endpoint, timeout)
        if conn is None:
            return NotSent("no connection")
        reason = check_send()
        if reason is not None:
            self._pool.release(server.name, conn)
            return NotSent(reason)
        outcome = None
        in_use = self._in_use.setdefault(server.service, {})
        in_use[conn] = server.name
        try:
            outcome = await self._exchange(conn, req, dispatch, sink, silence)
            return outcome
        except BaseException:
            conn.reset()
            raise
        finally:
            del in_use[conn]
            if not in_use and self._in_use.get(server.service) is in_use:
                del self._in_use[server.service]
            self._record_cost(conn, server, outcome)

    def _record_cost(self, conn, server, outcome):
        if self._costs is None:
            return
        if isinstance(outcome, StreamWhole | Whole):
            self._costs.record_whole(server)
        else:
            self._record_if_costly(conn, server)

    def _record_if_costly(self, conn, server):
        """Records a costly answer once."""
        if self._costs is not None and conn.meter.is_costly and not conn.meter.is_reported:
            conn.meter.is_reported = True
            cost = datetime.timedelta(seconds=conn.meter.fruitless_s)
            self._costs.record_costly(server, cost)

    async def _exchange(self, conn, req, dispatch, sink, silence):
        headers = self._header_codec.server_headers(req, dispatch)
        conn.send(req.method, req.target, headers, req.body)
        is_suspect = self._costs is not None and self._costs.begin(dispatch.server)
        if is_suspect:
            conn.meter.free_cost_s = SUSPECT_FREE_COST_S
        progress = _Progress()
        try:
            async with conn.bounded(dispatch.server.start):
                async with late_timeout(_seconds(silence.first)):
                    head = await self._read_matching_head(conn, req)
                if head.status != MISDIRECTED:
                    sink.head(head)
                progress.head = head
                if _is_stream(head):
                    size = _EventSize(conn, MAX_SUSPECT_COST_S if is_suspect else math.inf)
                    outcome = await self._relay_stream(
                        conn, dispatch, sink, silence, progress, size
                    )
                else:
                    outcome = await _read_full_response(conn, head)
        except BrokenResponseError as exc:
            conn.reset()
            return progress.to_broken(str(exc), conn, exc.was_silent, exc.is_malformed)
        except TimeoutError:
            conn.reset()
            reason, is_costly = "the server is silent", conn.meter.is_costly
            if is_costly:
                reason = "the answer costs more than it brings"
            return progress.to_broken(reason, conn, was_silent=True, is_malformed=is_costly)
        if isinstance(outcome, Refused):
            conn.refused_ids.add(req.id)
        elif not conn.is_framed:
            was_delivered, is_running = await asyncio.gather(
                conn.was_delivered(self._clock), self._is_running(dispatch.server, conn)
            )
            if not was_delivered:
                reason = "the server ended before it had read the request"
                conn.reset()
                return progress.to_broken(reason, conn, was_silent=False)
            if not is_running:
                # A process that is killed closes its connections in an orderly way too.
                conn.reset()
                broken = progress.to_broken("the server ended", conn, was_silent=False)
                return dataclasses.replace(broken, may_be_whole=True)
        if progress.head.closes_connection or len(conn.refused_ids) >= MAX_REFUSALS:
            conn.close()
        else:
            self._pool.release(dispatch.server.name, conn)
        return outcome

    async def _read_matching_head(self, conn, req):
        """Returns the head of the response, skipping late responses to earlier requests.

        A refusal without an id may be that of an earlier request on this connection, if there was
        one.
        """
        is_first = conn.requests_sent == 1
        for _ in range(MAX_STALE_RESPONSES + 1):
            status, headers = await conn.read_head()
            head = self._header_codec.parse_response_head(status, headers)
            conn.keep_alive_timeout = head.keep_alive_timeout
            is_refusal_without_id = head.request_id is None and head.not_executed
            if head.request_id == req.id or (is_refusal_without_id and is_first):
                return head
            await conn.skip_response(MAX_RESPONSE_BYTES)
        raise BrokenResponseError("answers to other requests only", is_malformed=True)

    async def _relay_stream(self, conn, dispatch, sink, silence, progress, size):
        splitter, meter = EventSplitter(), conn.meter
        server = dispatch.server
        # Bytes that complete no event do not count as progress: a stalled server may go on sending
        # some now and then.
        waiting_since = self._clock.monotonic()
        while True:
            data = await self._read_chunk(conn, server, silence, progress, waiting_since)
            if data is None:
                break
            meter.begin_work()
            splitter.feed(data)
            event = splitter.next_event()
            conn.mark_waiting(event is not None)
            conn.keep(splitter.buffered_bytes)
            while event is not None:
                if progress.events == 0:
                    await sink.begin(progress.head)
                await sink.event(event)
                meter.end_result()
                progress.record_event(event)
                waiting_since = self._clock.monotonic()
                size.begin_event()
                await meter.step()
                meter.begin_work()
                event = splitter.next_event()
            meter.end_work()
            conn.keep(splitter.buffered_bytes)
            conn.mark_waiting(False)
            size.check(splitter.buffered_bytes)
            # Others would be sent there until the time-out shows that no event comes.
            self._record_if_costly(conn, server)
        # A run that was stopped after its last event, or whose server ended then, has nothing left
        # where it goes on.  Without framing, the same would be seen if the server died.
        may_be_over = dispatch.memory is not None or dispatch.may_be_over
        may_be_empty = may_be_over and conn.is_reusable
        if splitter.is_within_event or (progress.events == 0 and not may_be_empty):
            raise BrokenResponseError("the stream ended within an event")
        return StreamWhole(progress.events, conn.is_framed)

    async def _read_chunk(self, conn, server, silence, progress, waiting_since):
        """Returns the next bytes of a stream, None at its end.

        Args:
          conn: The connection.
          server: The server.
          silence: The time-outs.
          progress: What was received before.
          waiting_since: When the last event was complete, or the wait for the first one began.

        Raises:
          TimeoutError: If the server completes no event within the time-out.
        """
        if progress.events == 0 or silence.between is None:
            async with late_timeout(self._left(silence.first, waiting_since)):
                return await conn.read_body()
        pending_read = asyncio.ensure_future(conn.read_body())
        try:
            between = self._left(silence.between, waiting_since)
            await asyncio.wait((pending_read,), timeout=between)
            if not pending_read.done() and await self._is_reachable(server):
                longest = self._left(silence.longest, waiting_since)
                await asyncio.wait((pending_read,), timeout=longest)
            if not pending_read.done():
                raise TimeoutError
            return pending_read.result()
        finally:
            pending_read.cancel()

    def _left(self, limit, since):
        """Returns how many seconds of a time limit are left, None if there is no limit."""
        if limit is None:
            return None
        return max(0.0, (since + limit - self._clock.monotonic()).total_seconds())

    async def _is_running(self, server, conn):
        """Returns whether a server goes on after it has ended an answer with its connection.

        A process that has lost its links to all servers can tell only by its other connections.
        Those to this server end with it if it is killed.  If there are none, those to the other
        servers of the service tell: if all of them have ended as well, the servers were killed
        together.  Otherwise the end is taken as sent, unless servers can be reached soon after and
        show that this one has ended.
        """
        in_use = {
            each: name
            for each, name in self._in_use.get(server.service, {}).items()
            if each is not conn
        }
        others = [each for each, name in in_use.items() if name == server.name]
        if await self._pool.is_running(server.name, server.endpoint, CONNECT_TIMEOUT):
            return True
        await self._clock.sleep(CLOSING_TIME)
        if any(each.is_open for each in others):
            return True
        if others or self._pool.has_just_ended(server.name):
            return False
        if in_use and not any(each.is_open for each in in_use):
            return False
        if self._reaches_others is None:
            return False
        until = self._clock.monotonic() + MAX_RESTART_TIME
        while not await self._reaches_others(server):
            if self._clock.monotonic() >= until:
                return True
            await self._clock.sleep(REACH_INTERVAL)
            if await self._is_reachable(server):
                return self.has_restarted is None or not await self.has_restarted(server)
        return False

    async def _is_reachable(self, server):
        """Returns whether a server accepts a new connection."""
        conn = await self._pool.connect(server.name, server.endpoint, CONNECT_TIMEOUT)
        if conn is None:
            return False
        conn.close()
        return True


@attrs.define
class _Progress:
    """What has been received of the response so far."""

    head: ResponseHead | None = None
    events: int = 0
    last_event_id: str | None = None

    def record_event(self, event):
        self.events += 1
        if event.id is not None:
            self.last_event_id = event.id

    def to_broken(self, reason, conn, was_silent, is_malformed=False):
        return Broken(
            reason,
            self.head,
            self.last_event_id,
            self.events,
            was_closed=not was_silent,
            was_silent=was_silent,
            is_malformed=is_malformed,
            received_bytes=conn.received_bytes,
        )


class _EventSize:
    """Bounds what one event takes, whatever the server writes between its bytes.

    Args:
      conn: The connection.
      max_cost_s: The processor time that it may take, in seconds.
    """

    def __init__(self, conn, max_cost_s):
        self._conn = conn
        self._max_cost_s = max_cost_s
        self.begin_event()

    def begin_event(self):
        self._first_byte = self._conn.received_bytes
        self._first_piece = self._conn.received_pieces

    def check(self, buffered_bytes):
        """Raises BrokenResponseError if the event is too large."""
        if buffered_bytes > MAX_EVENT_BYTES:
            excess = f"{MAX_EVENT_BYTES} bytes"
        elif self._conn.meter.fruitless_s > self._max_cost_s:
            excess = f"{1000 * self._max_cost_s:.0f} ms of work"
        elif self._conn.received_pieces - self._first_piece > MAX_EVENT_PIECES:
            excess = f"{MAX_EVENT_PIECES} pieces"
        elif self._conn.received_bytes - self._first_byte > MAX_FRAMED_EVENT_BYTES:
            excess = f"{MAX_FRAMED_EVENT_BYTES} bytes with framing"
        else:
            return
        raise BrokenResponseError(f"an event of more than {excess}", is_malformed=True)


async def _read_full_response(conn, head):
    body = await conn.read_full_body(MAX_RESPONSE_BYTES)
    if head.not_executed:
        return Refused(f"status {head.status}", head.status == MISDIRECTED, head)
    if (head.status < 300 and not head.is_signed) or head.is_encoded:
        reason = f"an answer {head.status} that the server does not vouch for"
        raise BrokenResponseError(reason, is_malformed=True)
    if head.status in NOT_EXECUTED_STATUSES:
        reason = f"an answer {head.status} without word that nothing ran"
        raise BrokenResponseError(reason, is_malformed=True)
    return Whole(head, body)


def _is_stream(head):
    if head.status != 200 or not head.is_signed:
        return False
    content_type = dict(head.headers).get(b"content-type", b"")
    return content_type.lower().startswith(b"text/event-stream")


def _seconds(duration):
    return duration.total_seconds() if duration is not None else None
