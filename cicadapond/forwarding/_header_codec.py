"""How the gateway reads and writes the headers of a platform, as an abstract class."""

import abc
import datetime
import typing

import attrs

from cicadapond.serving import CallerRequest, Dispatch, ResponseHead

Headers = typing.Sequence[tuple[bytes, bytes]]


@attrs.frozen
class Malformed:
    """A request that cannot be parsed, and the HTTP status to answer it with."""

    reason: str
    status: int = 400


class HeaderCodec(abc.ABC):
    """Translates the headers of one platform; takes no decisions."""

    @abc.abstractmethod
    def request_id(self, headers: Headers) -> str | None:
        """Returns the id of a caller's request, for the log; None if it has none."""

    @abc.abstractmethod
    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest | Malformed:
        """Parses a caller's request; header names are in lower case."""

    @abc.abstractmethod
    def server_headers(self, req: CallerRequest, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a request to a backend server."""

    @abc.abstractmethod
    def caller_headers(self, req: CallerRequest, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
        """Returns the headers with which another process handles a request as its caller's.

        They include the caller's key; the deadline and the last event are those of the dispatch.
        """

    @abc.abstractmethod
    def parse_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parses the head of a server's response."""

    @abc.abstractmethod
    def local_response_headers(
        self, request_id: str | None, retry_after: datetime.timedelta | None
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a response that this process generates itself."""
