"""How the gateway reads and writes the headers of a platform, as an abstract class."""

import abc
import datetime
import typing

import attrs

from cicadapond.gateway.data import AnswerHead, CallerRequest, Dispatch

Headers = typing.Sequence[tuple[bytes, bytes]]


@attrs.frozen
class Malformed:
    """A request that cannot be understood, and the HTTP status that says so."""

    reason: str
    status: int = 400


class Dialect(abc.ABC):
    """The headers of one platform; translates and decides nothing."""

    @abc.abstractmethod
    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest | Malformed:
        """Returns what a caller asks; header names are in lower case."""

    @abc.abstractmethod
    def server_headers(self, req: CallerRequest, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
        """Returns the headers with which a request goes to a backend server."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Returns what the head of a server's answer says."""

    @abc.abstractmethod
    def own_headers(
        self, request_id: str | None, retry_after: datetime.timedelta | None
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer that this process gives by itself."""
