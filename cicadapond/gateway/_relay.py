"""Passes requests on to other processes, which reach servers that this one does not.

A process listens for the requests of the others on a port of their own.  It handles them as those
of its own callers, except that quotas were taken already and that it passes them on no further.
"""

import secrets
import typing
import zlib

import attrs

from cicadapond.data import Endpoint
from cicadapond.forwarding import Attempt, ConnectionPool, HeaderCodec
from cicadapond.gateway._relay_protocol import STATEMENT_HEADER, RelayStatement, request_headers
from cicadapond.kernel import Clock
from cicadapond.serving import ServerEntry

# A request is passed on to at most so many processes.
MAX_RELAYS = 2
TOKEN_BYTES = 8


@attrs.frozen
class RelayPeer:
    """Another process that accepts requests: its name, data centre and address."""

    name: str
    zone: str
    endpoint: Endpoint


class Relay:
    """The other processes as a way to servers.

    Args:
      header_codec: Writes and reads the platform's headers.
      pool: Connections to the other processes.
      clock: The clock.
      zone: This process's data centre.
      peers: Returns the live processes that reach the servers of a service.

    Attributes:
      attempt: Sends requests to them.
    """

    def __init__(
        self,
        header_codec: HeaderCodec,
        pool: ConnectionPool,
        clock: Clock,
        zone: str,
        peers: typing.Callable[[str], tuple[RelayPeer, ...]],
    ):
        self.attempt = Attempt(_RelayCodec(header_codec), pool, clock)
        self._zone = zone
        self._peers = peers

    def targets(self, service: str, request_id: str) -> tuple[ServerEntry, ...]:
        """Returns the processes to try for a request, in order; requests spread over them."""
        peers = choose_peers(self._peers(service), self._zone, request_id)
        return tuple(
            ServerEntry(f"process {peer.name}", service, peer.endpoint, peer.zone, slots=0)
            for peer in peers
        )


def choose_peers(
    peers: typing.Sequence[RelayPeer], zone: str, request_id: str
) -> tuple[RelayPeer, ...]:
    """Returns the processes to try for a request, in order.

    The first is one of this data centre if it has any, the second one of any.
    """
    near = [peer for peer in peers if peer.zone == zone]
    chosen = []
    for group in (near, peers):
        left = sorted((peer for peer in group if peer not in chosen), key=lambda peer: peer.name)
        if left and len(chosen) < MAX_RELAYS:
            chosen.append(left[zlib.crc32(request_id.encode()) % len(left)])
    return tuple(chosen)


class _RelayCodec(HeaderCodec):
    """Writes requests as their callers would, and reads the answers of other processes."""

    def __init__(self, codec: HeaderCodec):
        self._codec = codec
        self._token = secrets.token_hex(TOKEN_BYTES).encode()

    def request_id(self, headers):
        return self._codec.request_id(headers)

    def parse_request(self, method, target, headers, body):
        return self._codec.parse_request(method, target, headers, body)

    def server_headers(self, req, dispatch):
        headers = self._codec.caller_headers(req, dispatch)
        service = dispatch.server.service
        return [*headers, *request_headers(dispatch.max_attempts, self._token, service)]

    def caller_headers(self, req, dispatch):
        return self._codec.caller_headers(req, dispatch)

    def parse_response_head(self, status, headers):
        statement = RelayStatement.parse(headers, self._token)
        headers = [each for each in headers if each[0] != STATEMENT_HEADER]
        head = self._codec.parse_response_head(status, headers)
        if statement is None:
            # What a server states of itself says nothing about the process before it.
            return attrs.evolve(head, not_executed=False)
        return attrs.evolve(head, not_executed=statement.not_executed, relay_sends=statement.sends)

    def local_response_headers(self, request_id, retry_after):
        return self._codec.local_response_headers(request_id, retry_after)
