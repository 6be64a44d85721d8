"""A stand-in of a faulty backend server whose answers do not end."""

import asyncio
import contextlib
import re

import attrs

_REQUEST_ID = re.compile(rb"(?im)^x-cicadapond-attempt-id: *([^\r\n]*)")


@attrs.frozen
class EndlessAnswer:
    """What a faulty server sends: the status line's end, headers, and a piece without end."""

    status: bytes
    headers: bytes
    piece: bytes

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the first request of a connection, until the connection is closed."""
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 " + self.status + b"\r\n" + self.headers)
                writer.write(b"x-cicadapond-attempt-id: " + _REQUEST_ID.search(head).group(1))
                writer.write(b"\r\nx-cicadapond-response-signature: s\r\n\r\n")
                while True:
                    writer.write(self.piece)
                    await writer.drain()
        finally:
            writer.transport.abort()
