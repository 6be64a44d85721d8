"""A test client of the platform, which can send raw bytes and read incomplete responses."""

import asyncio
import contextlib
import socket
import typing

import attrs
import h11

CALLERS_HOST = "callers.example"
REQUEST_ID_HEADER = "x-cicadapond-attempt-id"


@attrs.define
class Answer:
    """A response as received; `is_complete` is False if it was cut off."""

    status: int | None = None
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def event_ids(self) -> list[int]:
        """Returns the ids of the events of a stream, in order."""
        lines = self.body.decode().splitlines()
        return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]

    def versions(self) -> set[str]:
        """Returns the software versions that the complete events of a stream came from."""
        lines = [line for event in self.body.split(b"\n\n")[:-1] for line in event.split(b"\n")]
        prefix = b"event: "
        return {line.removeprefix(prefix).decode() for line in lines if line.startswith(prefix)}


@attrs.frozen
class Upload:
    """How a caller sends a request's body.

    Attributes:
      pieces: The body.
      is_chunked: Whether it is sent with the chunked transfer coding, a chunk for each piece, and
        not with its length.
      pauses: How long the caller waits before each piece, in seconds; 0 for those beyond the end.
    """

    pieces: tuple[bytes, ...]
    is_chunked: bool = False
    pauses: tuple[float, ...] = ()


@attrs.frozen
class Pace:
    """How a caller reads: at most so many bytes at once, with pauses between, in seconds."""

    read_bytes: int = 65536
    pause_s: float = 0.0


def curl_headers(key: str) -> str:
    """Returns curl's arguments for a streaming request.

    Args:
      key: The client account's key.
    """
    fields = {
        "Host": CALLERS_HOST,
        REQUEST_ID_HEADER: "demo-1",
        "Authorization": f"Token {key}",
        "x-cicadapond-token-count": "100,20",
    }
    return " ".join(f"-H '{name}: {value}'" for name, value in fields.items()) + " -d prompt"


class Caller:
    """One client connection.

    Args:
      port: The gateway's port.
      pace: How it reads.
    """

    def __init__(self, port: int, pace: Pace = Pace()):
        self._port = port
        self._pace = pace
        self._reader = self._writer = None
        self._http = h11.Connection(h11.CLIENT)

    @property
    def is_open(self) -> bool:
        """Whether a connection was established, and this side has not aborted it."""
        return self._writer is not None and not self._writer.transport.is_closing()

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes unchanged."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._port, limit=self._pace.read_bytes
            )
            if self._pace.pause_s:
                sock = self._writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._pace.read_bytes)
        self._writer.write(data)
        await self._writer.drain()

    async def send(
        self,
        request_id: str,
        path: str,
        method: str = "POST",
        body: bytes | Upload = b"",
        **headers: str | None,
    ) -> None:
        """Sends a request; underscores in header names become hyphens, None omits a header."""
        upload = body if isinstance(body, Upload) else Upload((body,))
        framing = {"content-length": str(sum(map(len, upload.pieces)))}
        if upload.is_chunked:
            framing = {"transfer-encoding": "chunked"}
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {
            "host": CALLERS_HOST,
            REQUEST_ID_HEADER: request_id,
            "authorization": "Token demo-key",
            "x-cicadapond-deadline-ms": "3000",
            **framing,
        } | header_fields
        header_list = [(name, value) for name, value in fields.items() if value is not None]
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        data = self._http.send(h11.Request(method=method, target=path, headers=header_list))
        for number, piece in enumerate(upload.pieces):
            if number < len(upload.pauses) and upload.pauses[number]:
                await self.send_raw(data)
                data = b""
                await asyncio.sleep(upload.pauses[number])
            data += self._http.send(h11.Data(data=piece)) or b""
        await self.send_raw(data + (self._http.send(h11.EndOfMessage()) or b""))

    async def stream(self, request_id: str, **headers: typing.Any) -> None:
        """Sends a streaming request."""
        tokens = {"x_cicadapond_token_count": "100,20", "x_cicadapond_prefix_hash": "aa:60,bb:40"}
        await self.send(request_id, "/stream/x", body=b"prompt", **(tokens | headers))

    async def read_response(self, answer: Answer | None = None) -> Answer:
        """Reads one response, up to its end or the point where it is cut off.

        Args:
          answer: Receives the response as it comes; a new one by default.
        """
        answer = Answer() if answer is None else answer
        with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    await asyncio.sleep(self._pace.pause_s)
                    self._http.receive_data(await self._reader.read(self._pace.read_bytes))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {k.decode(): v.decode() for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    answer.body += event.data
                elif not isinstance(event, h11.InformationalResponse):
                    answer.is_complete = isinstance(event, h11.EndOfMessage)
                    break
        return answer

    async def exchange(self, request_id: str, path: str, **arguments) -> Answer:
        """Sends a request and reads its answer."""
        await self.send(request_id, path, **arguments)
        return await self.read_response()

    def half_close(self) -> None:
        """Sends nothing more; answers can still be read."""
        if self._writer.can_write_eof():
            self._writer.write_eof()

    def abort(self) -> None:
        """Aborts the connection, if there is one."""
        if self._writer is not None:
            self._writer.transport.abort()
