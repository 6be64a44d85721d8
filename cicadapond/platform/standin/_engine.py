"""A stand-in of the platform's backend servers, with fault injection."""

import asyncio
import hashlib
import json
import socket
import struct

import h11

from cicadapond.platform.standin._engine_faults import EngineFault, ReportFault
from cicadapond.platform.standin._engine_model import EngineModel
from cicadapond.platform.standin._moves import HANDLE_PATH, MOVE_PATH
from cicadapond.platform.standin._parts import EVENTS_PATH, LIST_PATH
from cicadapond.platform.standin._streams import StreamShape, stream_event

READ_BYTES = 64 * 1024
REPORT_PATH = "/report"
TRICKLE_INTERVAL_S = 0.2
EARLY_RESET_DELAY_S = 0.02
_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
_ENDLESS_CHUNK = {
    "ENDLESS_INTERIM": _INTERIM * 64,
    "ENDLESS_HEAD": b"x-filler: " + b"a" * 1024 + b"\r\n",
    "ENDLESS_BODY": b"data: " + b"a" * 4096 + b"\n",
}
_LINGER_ZERO = struct.pack("ii", 1, 0)


# Faults that show in place of a stream as in place of another answer.
_CUT_HEADS = {EngineFault.CUT_HEAD: b"", EngineFault.CUT_INTERIM: _INTERIM * 2}
# Longer than gateways wait for a report.
_REPORT_DELAYS_S = {ReportFault.LATE: 0.4, ReportFault.SILENT: 3600.0}
_REPORT_STATUSES = {ReportFault.BUSY: 503, ReportFault.LIMITED: 429}
_PLAIN_FAULTS = (EngineFault.ERROR, EngineFault.GARBAGE, EngineFault.FOREIGN, *_CUT_HEADS)


class EngineServer:
    """The HTTP server of a backend server."""

    def __init__(self, model: EngineModel):
        self.model = model
        self.connections = 0
        self.has_crashed = False
        self.born = 0
        self.on_crash = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._in_progress: list[str] = []

    async def start(self, port: int = 0) -> int:
        """Listens on loopback; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self, resets: bool = True) -> None:
        """Ends all connections: by resets, as a host that is lost, or as a killed process does."""
        self._server.close()
        self.model.broken_off.update(self._in_progress)
        self.model.memory.copies.clear()
        self.model.parts.restart()
        for writer in list(self._writers):
            if resets:
                _reset(writer)
            else:
                writer.transport.close()
        await asyncio.sleep(0)

    async def _crash(self, by_prompt):
        if not self.has_crashed:
            self.has_crashed = True
            if self.on_crash is not None:
                self.on_crash(self.model, by_prompt)
            await self.stop()

    async def _serve(self, reader, writer):
        if not self._server.is_serving():  # accepted just before the server was stopped
            _reset(writer)
            return
        self.connections += 1
        self._writers.add(writer)
        try:
            delayed = []
            while await _Exchange(
                self.model, reader, writer, delayed, self._crash, self._in_progress, self.born
            ).run():
                pass
        except (ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass  # the caller disconnected, which is a normal end here
        finally:
            self._writers.discard(writer)
            writer.close()


class _Exchange:
    def __init__(self, model, reader, writer, delayed, crash, in_progress, born):
        self._model = model
        self._born = born
        self._in_progress = in_progress
        self._crash = crash
        self._delayed_responses = delayed
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER)
        self._is_unframed = False

    async def run(self):
        """Serves one request; returns whether the connection can be reused."""
        head, body = await self._read()
        if head is None:
            return False
        fields = {name.decode(): value.decode() for name, value in head.headers}
        request_id = fields.get("x-cicadapond-attempt-id", "")
        if fields.get("x-cicadapond-target-instance", self._model.name) != self._model.name:
            return self._respond(421, request_id, b"", [("x-cicadapond-not-executed", "1")])
        if head.target.decode() == MOVE_PATH:
            return await self._move(body)
        if head.target.decode().startswith(HANDLE_PATH):
            self._model.memory.free(head.target.decode().removeprefix(HANDLE_PATH))
            return self._respond(200, request_id, b"", [])
        if head.target.decode().startswith((EVENTS_PATH, LIST_PATH)):
            return await self._tell_parts(head.target.decode(), fields)
        if head.target.decode() == REPORT_PATH:
            return await self._report()
        if "kv-from" in fields:
            if not self._model.memory.use_copy(fields["kv-from"], request_id):
                return self._respond(503, request_id, b"", [("x-cicadapond-not-executed", "1")])
            return await self._execute(head, body, fields, request_id, None)
        fault = self._model.faults.pop(0) if self._model.faults else None
        if self._model.retry_after_s is not None:
            self._model.refusals.append((asyncio.get_running_loop().time(), request_id))
            wait = ("retry-after", f"{self._model.retry_after_s:g}")
            return self._respond(503, request_id, b"", [("x-cicadapond-not-executed", "1"), wait])
        if fault is EngineFault.FULL:
            return self._respond(503, request_id, b"", [("x-cicadapond-not-executed", "1")])
        if await self._turns_away():
            return self._respond(503, request_id, b"", [("x-cicadapond-not-executed", "1")])
        self._model.running += 1
        try:
            return await self._execute(head, body, fields, request_id, fault)
        finally:
            self._model.running -= 1

    async def _move(self, body):
        answer = await self._model.memory.move(body, self._crash)
        if answer is None:
            _reset(self._writer)
            return False
        return self._respond(answer[0], "", json.dumps(answer[1]).encode(), [])

    async def _tell_parts(self, target, fields):
        answer = await self._model.parts.answer(target, fields)
        if answer is None:
            _reset(self._writer)
            return False
        return self._respond(answer[0], "", answer[1], [])

    async def _report(self):
        self._model.reports += 1
        fault = self._model.report_fault
        if fault in _REPORT_STATUSES:
            return self._respond(_REPORT_STATUSES[fault], "", b"", [])
        await asyncio.sleep(_REPORT_DELAYS_S.get(fault, 0.0))
        return self._respond(200, "", self._model.report(self._born), [])

    async def _turns_away(self):
        """Returns whether there is no room for a request; a brittle server may crash by that."""
        model, now = self._model, asyncio.get_running_loop().time()
        if model.waiting_room is None or model.running < model.slots + model.waiting_room:
            return False
        model.turned_away.append(now)
        recent = sum(at > now - 1.0 for at in model.turned_away)
        if model.brittle is not None and recent > model.brittle:
            await self._crash(by_prompt=False)
        return True

    async def _execute(self, head, body, fields, request_id, fault):
        self._in_progress.append(request_id)
        try:
            return await self._answer(head, body, fields, request_id, fault)
        finally:
            self._in_progress.remove(request_id)

    async def _answer(self, head, body, fields, request_id, fault):
        target = head.target.decode()
        self._model.execution_times.append(asyncio.get_running_loop().time())
        recorded = hashlib.sha256(body).digest() if self._model.hashes_bodies else body
        self._model.executed_requests.append(
            (request_id, head.method.decode(), target, fields, recorded)
        )
        if fault is not None:
            self._model.broken_off.add(request_id)
        if self._model.endless:
            count = len(self._model.executed_requests)
            answer = self._model.endless[count % len(self._model.endless)]
            self._model.endless_bytes += await answer.send(self._writer, request_id)
            return False
        defect = self._model.defect
        if defect is not None and defect.strikes(target, self._model.running):
            if not defect.delay_s:
                return self._respond(500, request_id, b"failed", [_signature(request_id)])
            await asyncio.sleep(defect.delay_s)
        if self._model.decline is not None:
            return self._decline(request_id, self._model.decline)
        if fault is not None and fault.name in _ENDLESS_CHUNK:
            return await self._send_endlessly(request_id, fields, fault)
        if fault is EngineFault.BARE_ERROR:
            self._writer.write(b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 6\r\n\r\nfailed")
            return False
        if "x-cicadapond-token-count" in fields and fault not in _PLAIN_FAULTS:
            return await self._stream(request_id, fields, fault, StreamShape.of(target))
        await asyncio.sleep(self._model.processing_time_s)
        return await self._plain(request_id, fault)

    async def _read(self):
        head, body = None, b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                if self._model.faults[:1] == [EngineFault.EARLY_RESET]:
                    await self._answer_early(head)
                    return None, b""
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                return (head, body) if isinstance(event, h11.EndOfMessage) else (None, b"")

    async def _answer_early(self, head):
        """Sends a part of an answer, ends this side and resets the connection a moment later."""
        self._model.faults.pop(0)
        fields = {name.decode(): value.decode() for name, value in head.headers}
        request_id = fields.get("x-cicadapond-attempt-id", "")
        self._model.broken_off.add(request_id)
        target = head.target.decode()
        self._model.execution_times.append(asyncio.get_running_loop().time())
        self._model.executed_requests.append(
            (request_id, head.method.decode(), target, fields, b"")
        )
        is_stream = "x-cicadapond-token-count" in fields
        part = stream_event(1, request_id, self._model.version) if is_stream else b"a part"
        content_type = "text/event-stream" if is_stream else "text/plain"
        headers = [
            ("x-cicadapond-attempt-id", request_id),
            _signature(request_id),
            ("content-type", content_type),
        ]
        self._write_unframed_head(headers)
        self._writer.write(part)
        self._writer.write_eof()
        await asyncio.sleep(EARLY_RESET_DELAY_S)
        _reset(self._writer)

    async def _plain(self, request_id, fault):
        body = f"answer to {request_id}".encode()
        match fault:
            case EngineFault.ERROR:
                return self._respond(500, request_id, b"failed", [_signature(request_id)])
            case EngineFault.RESET:
                _reset(self._writer)
                return False
            case EngineFault.SILENT:
                await asyncio.sleep(3600)
            case EngineFault.GARBAGE:
                self._writer.write(b"\x00\x01 not an answer\r\n\r\n")
                return False
            case EngineFault.CUT_HEAD | EngineFault.CUT_INTERIM:
                response = _raw_response(request_id, b"")
                self._writer.write(_CUT_HEADS[fault] + response[: response.index(b"\r\n\r\n") + 2])
                return False
            case EngineFault.FOREIGN:
                return self._respond(200, "another", b"not yours", [_signature("another")])
            case EngineFault.TRUNCATED | EngineFault.UNFRAMED | EngineFault.UNFRAMED_RESET:
                return await self._send_unfinished_response(request_id, body, fault)
            case EngineFault.EXTRA:
                self._respond(200, request_id, body, [_signature(request_id)])
                self._writer.write(_raw_response(request_id, b"once more"))
                return False
            case EngineFault.LATE_EXTRA:
                self._respond(200, request_id, body, [_signature(request_id)])
                self._delayed_responses.append(_raw_response(request_id, b"once more"))
                return True
        return self._respond(200, request_id, body, [_signature(request_id)])

    async def _send_unfinished_response(self, request_id, body, fault):
        length = "" if fault is not EngineFault.TRUNCATED else f"content-length: {len(body)}\r\n"
        head = (
            f"HTTP/1.1 200 OK\r\n{length}x-cicadapond-attempt-id: {request_id}\r\n"
            f"x-cicadapond-response-signature: s-{request_id}\r\n\r\n"
        )
        complete = fault is EngineFault.UNFRAMED
        self._writer.write(head.encode() + (body if complete else body[:-3]))
        await self._writer.drain()
        if fault is EngineFault.UNFRAMED_RESET:
            await asyncio.sleep(0.02)
            _reset(self._writer)
        return False

    def _decline(self, request_id, decline):
        headers = [("x-cicadapond-attempt-id", request_id), *decline.headers]
        if decline.is_signed:
            headers.append(_signature(request_id))
        if decline.is_framed:
            return self._respond(decline.status, request_id, b"declined", headers[1:])
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self._writer.write(f"HTTP/1.1 {decline.status} Declined\r\n{lines}\r\ndeclined".encode())
        return False

    async def _send_endlessly(self, request_id, fields, fault):
        head = f"HTTP/1.1 200 OK\r\nx-cicadapond-attempt-id: {request_id}\r\n"
        if fault is EngineFault.ENDLESS_BODY:
            kind = "text/event-stream" if "x-cicadapond-token-count" in fields else "text/plain"
            head += f"content-type: {kind}\r\nx-cicadapond-response-signature: s-1\r\n\r\n"
        if fault is not EngineFault.ENDLESS_INTERIM:
            self._writer.write(head.encode())
        while not self._writer.transport.is_closing():
            self._writer.write(_ENDLESS_CHUNK[fault.name])
            self._model.endless_bytes += len(_ENDLESS_CHUNK[fault.name])
            await self._writer.drain()
            await asyncio.sleep(0)
        return False

    async def _stream(self, request_id, fields, fault, shape):
        first = int(fields.get("last-event-id", "0")) + 1
        await self._model.parts.prefill(fields)
        headers = [
            ("x-cicadapond-attempt-id", request_id),
            _signature(f"{request_id}-{self._model.name}"),
            ("content-type", "text/event-stream"),
            *self._advisories(),
        ]
        unframed = (EngineFault.UNFRAMED, EngineFault.UNFRAMED_WITHIN_EVENT)
        self._is_unframed = shape.is_unframed or fault in unframed
        if self._is_unframed:
            self._write_unframed_head(headers)
        else:
            headers.append(("transfer-encoding", "chunked"))
            self._send(h11.Response(status_code=200, headers=headers))
        if self._model.crashing_parts & _part_names(fields):
            await self._writer.drain()
            await self._crash(by_prompt=True)
            return False
        if fault is EngineFault.NO_EVENTS:
            return self._end()
        run = self._model.memory.begin(request_id)
        try:
            return await self._write_events(run, first, fault, shape)
        except ConnectionError:
            run.is_left = True
            raise
        finally:
            self._model.memory.end(run)

    async def _write_events(self, run, first, fault, shape):
        request_id = run.id
        for number in range(first, (shape.events or self._model.events) + 1):
            if run.is_stopped:
                await self._writer.drain()
                return False
            run.events = number
            event = stream_event(number, request_id, self._model.version, shape.event_bytes)
            ends_within = fault in (EngineFault.WITHIN_EVENT, EngineFault.UNFRAMED_WITHIN_EVENT)
            if ends_within and number == first + 1:
                self._write_event(event[:-5])
                await self._writer.drain()
                return False
            if fault is EngineFault.TRICKLE and number == first + 1:
                return await self._trickle(request_id)
            self._write_event(event)
            if fault is EngineFault.RESET and number == first + 1:
                await self._writer.drain()
                await asyncio.sleep(0.02)
                _reset(self._writer)
                return False
            await self._pause(request_id, shape.interval_s)
        if run.is_stopped:
            return False
        return self._end()

    def _write_unframed_head(self, headers):
        # h11 would add chunks.
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self._writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())

    def _write_event(self, event):
        if self._is_unframed:
            self._writer.write(event)
        else:
            self._send(h11.Data(data=event))

    async def _trickle(self, request_id):
        while True:
            self._write_event(b":")
            await self._pause(request_id)
            await asyncio.sleep(TRICKLE_INTERVAL_S)

    async def _pause(self, request_id, interval_s=None):
        interval_s = self._model.event_interval_s if interval_s is None else interval_s
        await asyncio.sleep(interval_s)
        if self._writer.transport.is_closing():
            self._model.cancelled_streams.append(request_id)
            raise ConnectionResetError("the caller disconnected")
        await self._writer.drain()

    def _respond(self, status, request_id, body, headers):
        while self._delayed_responses:
            self._writer.write(self._delayed_responses.pop())
        framed = [
            ("x-cicadapond-attempt-id", request_id),
            ("x-cicadapond-server-load", "1,0,6"),
            ("content-length", str(len(body))),
            *self._advisories(),
            *headers,
        ]
        self._send(h11.Response(status_code=status, headers=framed))
        self._send(h11.Data(data=body))
        return self._end()

    def _advisories(self):
        headers = []
        if self._model.rate_limit is not None:
            headers.append(("server-limit", f"{self._model.rate_limit:g}"))
        if self._model.is_leaving:
            headers.append(("server-leaving", "1"))
        if self._model.brittle is not None:
            headers.append(("server-brittle", str(self._model.brittle)))
        return headers

    def _send(self, event):
        self._writer.write(self._http.send(event))

    def _end(self):
        """Ends an answer; returns whether the connection can be used again."""
        if self._is_unframed:
            return False
        self._send(h11.EndOfMessage())
        return True


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


def _part_names(fields):
    parts = fields.get("x-cicadapond-prefix-hash", "").split(",")
    return {part.partition(":")[0] for part in parts}


def _signature(text):
    return ("x-cicadapond-response-signature", f"s-{text}")


def _raw_response(request_id, body):
    return (
        f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n"
        f"x-cicadapond-attempt-id: {request_id}\r\n"
        f"x-cicadapond-response-signature: s-{request_id}\r\n\r\n"
    ).encode() + body
