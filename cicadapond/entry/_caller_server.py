"""The HTTP server of an entry's callers, with a limited number of connections."""

import tornado.httpserver

from cicadapond.entry._http import caller_application
from cicadapond.entry._http_base import CallerParts

MAX_BODY_BYTES = 1 << 40  # the handlers answer 413 at a much lower limit and buffer no more


class CallerServer(tornado.httpserver.HTTPServer):
    """Serves callers; connections beyond the limit are closed.

    Args:
      parts: What the handlers share; has the limits.
    """

    def initialize(self, parts: CallerParts):
        limits = parts.limits
        super().initialize(
            caller_application(parts),
            idle_connection_timeout=limits.header_timeout.total_seconds(),
            body_timeout=limits.body_timeout.total_seconds(),
            max_body_size=MAX_BODY_BYTES,
        )
        self._max_connections = limits.max_connections
        self._metrics = parts.metrics

    def handle_stream(self, stream, address):
        if len(self._connections) >= self._max_connections:
            self._metrics.count("caller_connections_refused")
            stream.close()
            return
        super().handle_stream(stream, address)
