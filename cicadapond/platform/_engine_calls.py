"""Calls to engines beside the requests of callers, in the platform's protocol."""

import datetime
import json

from cicadapond.data import Endpoint
from cicadapond.forwarding import HttpClient, NoConnection, ReplyLost
from cicadapond.gateway import (
    AnotherServer,
    EngineCalls,
    KeptAtSource,
    Moved,
    MoveDeclined,
    MoveResult,
    MoveUnknown,
    NotReached,
    StatedStart,
)
from cicadapond.kernel import Clock, Metrics, ProcessorShare
from cicadapond.memory import MemoryBudget

MOVE_PATH = "/kv-move"
HANDLE_PATH = "/kv-handle/"
REPORT_PATH = "/report"
TARGET = b"x-cicadapond-target-instance"
# What is beyond this is no time: the year 10,000.
MAX_TIME_MS = 253_402_300_799_000
FREE_TIMEOUT = datetime.timedelta(milliseconds=500)
OK, NO_RUN, BUSY, MISDIRECTED, NO_ROOM = 200, 404, 409, 421, 503


class PlatformEngineCalls(EngineCalls):
    """The engines of the platform, accessed over HTTP.

    Args:
      clock: The clock.
      metrics: Receives the counts of connections.
      memory: Counts the bytes of answers; the default has no bound.
      processor: Gives turns to costly answers.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        memory: MemoryBudget | None = None,
        processor: ProcessorShare | None = None,
    ):
        self._clock = clock
        self._metrics = metrics
        self._memory = memory
        self._processor = processor
        self._clients: dict[Endpoint, HttpClient] = {}

    async def move(self, source, request_id, destination, timeout):
        body = {"id": request_id, "to": str(destination.endpoint), "last": True}
        headers = (
            (TARGET, source.name.encode()),
            (b"content-type", b"application/json"),
        )
        client = self._client(source.endpoint)
        raw = json.dumps(body).encode()
        reply = await client.call("POST", MOVE_PATH, headers, raw, timeout)
        match reply:
            case NoConnection():
                return MoveDeclined("no connection to the engine")
            case ReplyLost(reason=reason):
                return MoveUnknown(reason)
        return read_answer(reply.status, reply.body)

    async def free(self, source, handle):
        headers = ((TARGET, source.name.encode()),)
        client = self._client(source.endpoint)
        await client.call("DELETE", HANDLE_PATH + handle, headers, b"", FREE_TIMEOUT)

    async def ask_start(self, server, timeout):
        # An answer on an earlier connection could be that of an earlier start.
        client = HttpClient(
            server.endpoint,
            self._clock,
            self._metrics,
            reuses_connections=False,
            memory=self._memory,
            processor=self._processor,
        )
        headers = ((TARGET, server.name.encode()),)
        reply = await client.call("GET", REPORT_PATH, headers, b"", timeout)
        if isinstance(reply, NoConnection):
            return NotReached()
        if isinstance(reply, ReplyLost):
            return StatedStart(None, reply.reason)
        if reply.status == MISDIRECTED:
            return AnotherServer()
        if reply.status != OK:
            return StatedStart(None, f"the server answered {reply.status}")
        return read_start(reply.body)

    def drop_server(self, server):
        client = self._clients.pop(server.endpoint, None)
        if client is not None:
            client.close()

    def _client(self, endpoint):
        client = self._clients.get(endpoint)
        if client is None:
            client = HttpClient(
                endpoint, self._clock, self._metrics, memory=self._memory, processor=self._processor
            )
            self._clients[endpoint] = client
        return client


def read_answer(status: int, raw: bytes) -> MoveResult:
    """Returns what an engine's answer to a move means."""
    reason = f"the engine answered {status}"
    if status not in (OK, NO_ROOM):
        if status >= 500:
            return MoveUnknown(reason)
        return MoveDeclined(reason, has_no_run=status == NO_RUN, is_busy=status == BUSY)
    answer = _parse_object(raw)
    handle = _parse_handle(answer.get("handle"))
    if status == NO_ROOM:
        return KeptAtSource(handle, reason) if handle is not None else MoveDeclined(reason)
    events = answer.get("created")
    if handle is None or not isinstance(events, int) or isinstance(events, bool):
        return MoveUnknown("the engine's answer is unreadable")
    return Moved(handle, events)


def read_start(raw: bytes) -> StatedStart:
    """Returns what an engine's report says of its start."""
    born = _parse_object(raw).get("born")
    is_time = isinstance(born, int) and not isinstance(born, bool) and 0 <= born <= MAX_TIME_MS
    return StatedStart(born) if is_time else StatedStart(None, "the report has no start")


def _parse_object(raw):
    try:
        answer = json.loads(raw)
    except (ValueError, RecursionError):
        return {}
    return answer if isinstance(answer, dict) else {}


def _parse_handle(value):
    """Returns a handle that can be part of a path and a header, None if it is anything else."""
    if isinstance(value, int) and not isinstance(value, bool):
        value = str(value)
    if not isinstance(value, str) or not value or not value.isascii():
        return None
    is_plain = all(char.isalnum() or char in "-._~" for char in value)
    return value if is_plain else None
