"""Free loopback ports for tests that must know an address before its server listens.

A port that the system hands out may be given to an outgoing connection before the server binds
it.  These lie below the range that the system gives out, and each process has its own run of them.
"""

import itertools
import os
import socket

from cicadapond.data import Endpoint

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORTS = 20_000  # up to 29,999; outgoing connections begin at 32,768
PORTS_APART = 211

_offsets = itertools.count(os.getpid() * PORTS_APART)


def free_endpoint() -> Endpoint:
    """Returns a loopback address on which nothing listens now.

    Raises:
      OSError: If no port of the range is free.
    """
    for offset in itertools.islice(_offsets, PORTS):
        endpoint = Endpoint(LOOPBACK, FIRST_PORT + offset % PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((endpoint.host, endpoint.port))
            except OSError:
                continue
            return endpoint
    raise OSError(f"no free port from {FIRST_PORT} to {FIRST_PORT + PORTS - 1}")
