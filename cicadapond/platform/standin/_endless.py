"""Answers of a stand-in engine that go on until the connection is closed."""

import asyncio
import contextlib
import enum
import re

CHUNK_BYTES = 32 * 1024
# Leaves the event loop time for others, while many of them are sent at once.
CHUNK_INTERVAL_S = 0.02

_REQUEST_ID = re.compile(rb"(?im)^x-cicadapond-attempt-id: *([^\r\n]*)")
_FILLER = b"a" * CHUNK_BYTES
_SMALL_CHUNKS = b"10\r\ndata: and so on \r\n" * (CHUNK_BYTES // 16)
_STREAM = b"content-type: text/event-stream\r\n"


class EndlessAnswer(enum.Enum):
    """What comes without end."""

    HEAD = "header lines"
    INTERIM = "informational responses"
    LENGTH = "a body with a length"
    CHUNKS = "a body in chunks"
    UNFRAMED = "a body with neither"
    ERROR = "the body of a 500"
    EVENT = "one event"
    COMMENTS = "comments of a stream"
    EVENTS = "whole events"
    PIECES = "one event in small chunks"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the first request of a connection without pauses, as a server of its own."""
        try:
            with contextlib.suppress(asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                await self.send(writer, _REQUEST_ID.search(head).group(1).decode(), interval_s=0.0)
        finally:
            writer.transport.abort()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        interval_s: float = CHUNK_INTERVAL_S,
    ) -> int:
        """Sends the answer until the connection is closed; returns the number of bytes.

        Args:
          writer: The connection.
          request_id: The id of the request.
          interval_s: The pause after each piece, in seconds.
        """
        prefix, piece = _pieces(self, request_id)
        sent = 0
        writer.write(prefix)
        try:
            while not writer.transport.is_closing():
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                await asyncio.sleep(interval_s)
        except ConnectionError:
            pass  # the caller closed it, which is a normal end here
        return sent


def _pieces(answer, request_id):
    """Returns how an answer begins, and what comes again and again."""
    status = "500 Internal Server Error" if answer is EndlessAnswer.ERROR else "200 OK"
    head = (
        f"HTTP/1.1 {status}\r\nx-cicadapond-attempt-id: {request_id}\r\n"
        f"x-cicadapond-response-signature: s-{request_id}\r\n"
    ).encode()
    chunked = head + b"transfer-encoding: chunked\r\n"
    match answer:
        case EndlessAnswer.HEAD:
            return head, b"x-filler: " + b"a" * 1000 + b"\r\n"
        case EndlessAnswer.INTERIM:
            return b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100
        case EndlessAnswer.LENGTH:
            return head + b"content-length: 1000000000000\r\n\r\n", _FILLER
        case EndlessAnswer.CHUNKS:
            return chunked + b"\r\n", _chunk(_FILLER)
        case EndlessAnswer.UNFRAMED | EndlessAnswer.ERROR:
            return head + b"\r\n", _FILLER
        case EndlessAnswer.EVENT:
            return chunked + _STREAM + b"\r\n" + _chunk(b"id: 1\ndata: "), _chunk(_FILLER)
        case EndlessAnswer.COMMENTS:
            return chunked + _STREAM + b"\r\n", _chunk(b":" + _FILLER + b"\n")
        case EndlessAnswer.PIECES:
            return chunked + _STREAM + b"\r\n" + _chunk(b"id: 1\ndata: "), _SMALL_CHUNKS
    return chunked + _STREAM + b"\r\n", _chunk(b"id: 1\ndata: " + _FILLER + b"\n\n")


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)
