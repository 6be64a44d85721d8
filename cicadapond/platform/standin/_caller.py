"""A test client of the platform, which can send raw bytes and read incomplete responses."""

import asyncio
import contextlib

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
    """

    def __init__(self, port: int):
        self._port = port
        self._reader = self._writer = None
        self._http = h11.Connection(h11.CLIENT)

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes unchanged."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writer.write(data)
        await self._writer.drain()

    async def send(self, request_id: str, path: str, method="POST", body=b"", **headers) -> None:
        """Sends a request; underscores in header names become hyphens, None omits a header."""
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {
            "host": CALLERS_HOST,
            REQUEST_ID_HEADER: request_id,
            "authorization": "Token demo-key",
            "x-cicadapond-deadline-ms": "3000",
            "content-length": str(len(body)),
        } | header_fields
        header_list = [(name, value) for name, value in fields.items() if value is not None]
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        request = h11.Request(method=method, target=path, headers=header_list)
        data = self._http.send(request) + self._http.send(h11.Data(data=body))
        await self.send_raw(data + (self._http.send(h11.EndOfMessage()) or b""))

    async def stream(self, request_id: str, **headers) -> None:
        """Sends a streaming request."""
        tokens = {"x_cicadapond_token_count": "100,20", "x_cicadapond_prefix_hash": "aa:60,bb:40"}
        await self.send(request_id, "/stream/x", body=b"prompt", **(tokens | headers))

    async def read_response(self) -> Answer:
        """Reads one response, up to its end or the point where it is cut off."""
        answer = Answer()
        with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._reader.read(65536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {k.decode(): v.decode() for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    answer.body += event.data
                else:
                    answer.is_complete = isinstance(event, h11.EndOfMessage)
                    break
        return answer

    async def exchange(self, request_id: str, path: str, **arguments) -> Answer:
        """Sends a request and reads its answer."""
        await self.send(request_id, path, **arguments)
        return await self.read_response()

    def abort(self) -> None:
        """Aborts the connection."""
        self._writer.transport.abort()
