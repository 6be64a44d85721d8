"""Idle connections to servers, kept for the next request."""

import collections
import datetime

from cicadapond.data import Endpoint
from cicadapond.forwarding._connection import ServerConnection
from cicadapond.kernel import Clock, Metrics

# Servers close idle connections after whole seconds; half of the least leaves room for delays.
UNTOLD_IDLE_LIMIT = datetime.timedelta(seconds=4)
IDLE_SHARE = 0.5
# A request that must not repeat goes on a connection that was used so recently, or on a new one.
RECENT_USE = datetime.timedelta(milliseconds=1500)
MAX_IDLE_PER_SERVER = 24


class ConnectionPool:
    """Connections by server, the last used first.

    Args:
      clock: Gives the time.
      metrics: Takes counts.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[str, collections.deque[ServerConnection]] = {}

    def take(self, server: str, recent_only: bool) -> ServerConnection | None:
        """Returns an idle connection to a server, None if there is none to be trusted.

        Args:
          server: The name of the server's start.
          recent_only: Whether a connection that the server may have closed is not good enough.
        """
        idle = self._idle.get(server)
        now = self._clock.monotonic()
        while idle:
            conn = idle.pop()
            limit = min(_idle_limit(conn), RECENT_USE) if recent_only else _idle_limit(conn)
            if conn.is_sound and now - conn.used_at < limit:
                self._metrics.count("server_connections_reused")
                return conn
            if conn.is_sound and now - conn.used_at < _idle_limit(conn):
                idle.append(conn)
                return None
            conn.close()
        return None

    async def connect(
        self, server: str, endpoint: Endpoint, timeout: datetime.timedelta
    ) -> ServerConnection | None:
        """Returns a new connection to a server, None if none could be made."""
        conn = await ServerConnection.connect(endpoint, timeout, self._clock)
        outcome = "made" if conn is not None else "failed"
        self._metrics.count("server_connections_opened", outcome=outcome)
        return conn

    def give_back(self, server: str, conn: ServerConnection) -> None:
        """Keeps a connection for the next request if it can carry one, else closes it."""
        idle = self._idle.setdefault(server, collections.deque())
        if not conn.is_reusable or len(idle) >= MAX_IDLE_PER_SERVER:
            conn.close()
            return
        conn.used_at = self._clock.monotonic()
        idle.append(conn)
        conn.watch(lambda: self._forget(server, conn))

    def drop_server(self, server: str) -> None:
        """Closes all idle connections to a server."""
        for conn in self._idle.pop(server, ()):
            conn.close()

    def close_stale(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self._clock.monotonic()
        for idle in self._idle.values():
            while idle and now - idle[0].used_at >= _idle_limit(idle[0]):
                idle.popleft().close()

    def close(self) -> None:
        """Closes all idle connections."""
        for server in list(self._idle):
            self.drop_server(server)

    def _forget(self, server, conn):
        idle = self._idle.get(server)
        if idle is not None and conn in idle:
            idle.remove(conn)
        conn.close()


def _idle_limit(conn):
    if conn.keep_idle is None:
        return UNTOLD_IDLE_LIMIT
    return min(conn.keep_idle * IDLE_SHARE, UNTOLD_IDLE_LIMIT)
