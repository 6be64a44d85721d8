"""What processes tell each other about a request that one of them passes on.

The answer to such a request is either a server's or the other process's own, which its status does
not show.  So the other process states whether the request may have been executed, and to how many
servers it was sent.

All headers are named in `Connection`, as they hold for one hop: builds that do not know them pass
them on neither to servers nor to callers.  A statement repeats a token that only processes know, so
that no server can make one.
"""

import typing

import attrs

from cicadapond.forwarding import Headers
from cicadapond.routes import choose_service
from cicadapond.serving import ResponseHead, Route

# How many attempts at servers are left to the other process.
ATTEMPTS_HEADER = b"relay-attempts"
TOKEN_HEADER = b"relay-token"
# The service that the route of the request leads to.
SERVICE_HEADER = b"relay-service"
STATEMENT_HEADER = b"relay-statement"
CONNECTION = b"connection"
NOT_EXECUTED, MAY_BE_EXECUTED = b"not-executed", b"may-be-executed"
# Builds up to 5a6a931 take answers with these statuses and no signature for refusals.  Their own
# answers with these statuses are refusals, but they pass on such answers of servers, too.
AMBIGUOUS_STATUSES = frozenset((400, 401, 403, 404, 408, 413, 421, 429, 431, 503))


@attrs.frozen
class RelayStatement:
    """What a process states, with its answer, about a request that was passed on to it.

    Attributes:
      not_executed: Whether no server has executed the request or will execute it.
      sends: To how many servers it was sent, whether they accepted it or not.
    """

    not_executed: bool
    sends: int

    def headers(self, token: bytes) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the answer that make the statement.

        Args:
          token: The token that came with the request.
        """
        word = NOT_EXECUTED if self.not_executed else MAY_BE_EXECUTED
        value = b"%b %b %d" % (token, word, self.sends)
        return [(CONNECTION, STATEMENT_HEADER), (STATEMENT_HEADER, value)]

    @classmethod
    def parse(cls, headers: Headers, token: bytes) -> "RelayStatement | None":
        """Returns the statement of an answer, None if it makes none that can be read.

        Args:
          headers: The headers of the answer.
          token: The token that was sent with the request.
        """
        for name, value in headers:
            # Later builds may add fields.
            fields = value.split()[:3] if name == STATEMENT_HEADER else ()
            if len(fields) < 3 or fields[0] != token or not fields[2].isdigit():
                continue
            if fields[1] in (NOT_EXECUTED, MAY_BE_EXECUTED):
                return cls(fields[1] == NOT_EXECUTED, int(fields[2]))
        return None


@attrs.frozen
class PassedOn:
    """How another process passed a request on to this one.

    Attributes:
      max_attempts: To how many servers it may be sent.
      token: Repeated in the statement; None from a build that reads no statements.
      service: The service that is to run it, by the configuration of the other process; None from a
        build that does not tell.
    """

    max_attempts: int
    token: bytes | None = None
    service: str | None = None

    @classmethod
    def take(cls, headers: Headers) -> tuple["PassedOn", list[tuple[bytes, bytes]]]:
        """Returns what the headers of a request tell, and the other headers."""
        fields = dict(headers)
        attempts = fields.get(ATTEMPTS_HEADER, b"")
        own = (ATTEMPTS_HEADER, TOKEN_HEADER, SERVICE_HEADER)
        others = [(name, value) for name, value in headers if name not in own]
        max_attempts = int(attempts) if attempts.isdigit() else 1
        service = fields.get(SERVICE_HEADER)
        name = service.decode("latin-1") if service is not None else None
        return cls(max_attempts, fields.get(TOKEN_HEADER), name), others

    def statement_headers(self, not_executed: bool, sends: int) -> list[tuple[bytes, bytes]]:
        """Returns the headers that state what became of the request, none if they are not read."""
        if self.token is None:
            return []
        return RelayStatement(not_executed, sends).headers(self.token)

    def agrees(self, route: Route, request_id: str) -> bool:
        """Returns whether the request is run by the service that the other process has chosen.

        One of the two has an older configuration otherwise.

        Args:
          route: Its route, by the configuration of this process.
          request_id: Its id.
        """
        return self.service is None or self.service == choose_service(route, request_id)

    def takes_for_refusal(self, head: ResponseHead) -> bool:
        """Returns whether the other process would take a server's answer for a refusal."""
        return self.token is None and not head.is_signed and head.status in AMBIGUOUS_STATUSES


def request_headers(
    max_attempts: int, token: bytes, service: str
) -> typing.Sequence[tuple[bytes, bytes]]:
    """Returns the headers with which a request is passed on.

    Args:
      max_attempts: To how many servers the other process may send it.
      token: The token of this process.
      service: The service that is to run it.
    """
    return (
        (ATTEMPTS_HEADER, b"%d" % max_attempts),
        (CONNECTION, TOKEN_HEADER + b", " + SERVICE_HEADER),
        (TOKEN_HEADER, token),
        (SERVICE_HEADER, service.encode("latin-1")),
    )
