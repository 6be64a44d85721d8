"""Free loopback ports for tests that must know an address before its server listens.

An ephemeral port of the system may be given to an outgoing connection before the server binds it.
These ports lie below the ephemeral range, and each process starts its search at a different one.
A port stays reserved for as long as the process runs: a socket that does not listen is bound to it,
which keeps other processes from finding it free, but not a server from listening there.
"""

import itertools
import os
import socket

from cicadapond.data import Endpoint

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 20_000  # up to 29,999; the ephemeral range begins at 32,768
PORT_STRIDE = 211

_reservations: list[socket.socket] = []
_offsets = itertools.count(os.getpid() * PORT_STRIDE)


def free_port_range(count: int) -> int:
    """Reserves several consecutive loopback ports; returns the first.

    Raises:
      OSError: If the range has no such ports.
    """
    found: list[int] = []
    while len(found) < count:
        port = free_endpoint().port
        found = [*found, port] if found and port == found[-1] + 1 else [port]
    return found[0]


def free_endpoint() -> Endpoint:
    """Reserves and returns a loopback address on which nothing listens now.

    Raises:
      OSError: If no port of the range is free.
    """
    for offset in itertools.islice(_offsets, PORT_COUNT):
        endpoint = Endpoint(LOOPBACK, FIRST_PORT + offset % PORT_COUNT)
        reservation = socket.socket()
        try:
            reservation.bind((endpoint.host, endpoint.port))
        except OSError:
            reservation.close()
            continue
        # Set only now: with it, another process's reservation would be no obstacle above.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        return endpoint
    raise OSError(f"no free port from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT - 1}")
