"""The HTTP server of an admin port, within limits that hold for any number of clients."""

import collections

import tornado.httpserver

# Requests to these ports have no body.
MAX_BODY_BYTES = 1024
MAX_HEADER_BYTES = 16 * 1024
# What a connection may have read and not handled.
MAX_BUFFER_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 30.0
BODY_TIMEOUT_S = 3.0
# The load balancer and the operator need a few; beyond them the oldest connection is closed.
MAX_CONNECTIONS = 32


class AdminServer(tornado.httpserver.HTTPServer):
    """Serves an application on a port that clients may reach.

    Args:
      application: The application.
    """

    def initialize(self, application):
        super().initialize(
            application,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            chunk_size=MAX_HEADER_BYTES,
        )
        self._open = collections.OrderedDict()

    def handle_stream(self, stream, address):
        self._open[stream] = None
        super().handle_stream(stream, address)
        if len(self._open) > MAX_CONNECTIONS:
            oldest, _ = self._open.popitem(last=False)
            oldest.close()

    def on_close(self, server_conn):
        super().on_close(server_conn)
        self._open.pop(server_conn.stream, None)
