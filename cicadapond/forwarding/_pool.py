"""A pool of idle connections to servers."""

import collections
import datetime
import typing

from cicadapond.data import Endpoint
from cicadapond.forwarding._connection import ServerConnection
from cicadapond.kernel import Clock, Metrics, ProcessorShare
from cicadapond.memory import Kind, MemoryBudget

# For servers that advertise no keep-alive time, and the upper limit for the others.
MAX_IDLE_TIME = datetime.timedelta(seconds=4)
# The usable part of an advertised keep-alive time.  Servers close idle connections after whole
# seconds; using half of the shortest time leaves room for delays.
IDLE_FRACTION = 0.5
# A request that must not be retried uses a connection that was used this recently, or a new one.
RECENT_USE_LIMIT = datetime.timedelta(milliseconds=1500)
MAX_IDLE_PER_SERVER = 24
# The sockets of a process that is killed are closed one after the other within this time.
CLOSING_TIME = datetime.timedelta(milliseconds=20)
# A server that has closed idle connections this long ago may have ended.
ENDING_TIME = 5 * CLOSING_TIME
# What is read for the first time after a pause of this process is read within this time.
PAUSE_EFFECT_TIME = datetime.timedelta(milliseconds=200)


class ConnectionPool:
    """Idle connections by server; the most recently used one is taken first.

    Args:
      clock: The clock.
      metrics: Receives the counts of connections opened and reused.
      memory: Counts the bytes that the connections hold; the default has no bound.
      kind: What they receive.
      processor: Gives turns to costly answers; by default each takes them for itself.

    Attributes:
      on_connect: Called with the server's name and how long it took to connect to it.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        memory: MemoryBudget | None = None,
        kind: Kind = Kind.ANSWERS,
        processor: ProcessorShare | None = None,
    ):
        self._clock = clock
        self._metrics = metrics
        self._memory = memory or MemoryBudget()
        self._kind = kind
        self._processor = processor
        self._idle: dict[str, collections.deque[ServerConnection]] = {}
        # When a server last closed an idle connection.
        self._ended_at: dict[str, datetime.timedelta] = {}
        self._paused_at: datetime.timedelta | None = None
        self.on_connect: typing.Callable[[str, datetime.timedelta], None] = lambda name, took: None

    def take_idle(self, server: str, recent_only: bool) -> ServerConnection | None:
        """Removes and returns an idle connection to a server, None if there is no usable one.

        Args:
          server: The name of the server instance.
          recent_only: Whether only a recently used connection will do, as the server may already
            have closed an older one.
        """
        idle = self._idle.get(server)
        now = self._clock.monotonic()
        while idle:
            conn = idle.pop()
            limit = min(_idle_limit(conn), RECENT_USE_LIMIT) if recent_only else _idle_limit(conn)
            if conn.is_clean and now - conn.last_used_at < limit:
                self._metrics.count("server_connections_reused")
                return conn
            if conn.is_clean and now - conn.last_used_at < _idle_limit(conn):
                idle.append(conn)
                return None
            conn.close()
        return None

    async def connect(
        self, server: str, endpoint: Endpoint, timeout: datetime.timedelta
    ) -> ServerConnection | None:
        """Returns a new connection to a server, None if none could be made."""
        begun = self._clock.monotonic()
        conn = await ServerConnection.connect(
            endpoint, timeout, self._clock, self._memory, self._kind, self._processor
        )
        if conn is not None:
            self.on_connect(server, self._clock.monotonic() - begun)
        outcome = "made" if conn is not None else "failed"
        self._metrics.count("server_connections_opened", outcome=outcome)
        return conn

    async def is_running(
        self, server: str, endpoint: Endpoint, timeout: datetime.timedelta
    ) -> bool:
        """Returns whether a server goes on after it has closed a connection.

        An idle connection that stays open shows it, or a new one.  After a pause of this process a
        new one shows nothing, as the server may have ended and started again meanwhile.
        """
        begun = self._clock.monotonic()
        idle = self._idle.get(server)
        if idle:
            conn = idle[-1]
            await self._clock.sleep(CLOSING_TIME)
            if conn.is_open:
                return True
        conn = await self.connect(server, endpoint, timeout)
        if conn is None:
            return False
        try:
            await self._clock.sleep(CLOSING_TIME)
            if self._paused_at is not None and begun - self._paused_at <= PAUSE_EFFECT_TIME:
                return False
            if conn.is_open:
                return True
        finally:
            conn.close()
        # A server that ends resets what it has not accepted yet; one that goes on resets
        # connections beyond its limit, and is connected to again.
        conn = await self.connect(server, endpoint, timeout)
        if conn is not None:
            conn.close()
        return conn is not None

    def has_just_ended(self, server: str) -> bool:
        """Returns whether a server has closed idle connections as a process that ends does."""
        ended_at = self._ended_at.get(server)
        return ended_at is not None and self._clock.monotonic() - ended_at <= ENDING_TIME

    def record_pause(self) -> None:
        """Records that this process has just been delayed for some time."""
        self._paused_at = self._clock.monotonic()

    def release(self, server: str, conn: ServerConnection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable or the pool is full."""
        idle = self._idle.setdefault(server, collections.deque())
        if not conn.is_reusable or len(idle) >= MAX_IDLE_PER_SERVER:
            conn.close()
            return
        conn.last_used_at = self._clock.monotonic()
        idle.append(conn)
        conn.watch_idle(lambda: self._discard(server, conn))

    def drop_server(self, server: str) -> None:
        """Closes all idle connections to a server."""
        for conn in self._idle.pop(server, ()):
            conn.close()

    def close_stale(self) -> None:
        """Closes connections that have reached their idle limit, and forgets past ends."""
        now = self._clock.monotonic()
        for server in [name for name in self._ended_at if not self.has_just_ended(name)]:
            del self._ended_at[server]
        for idle in self._idle.values():
            while idle and now - idle[0].last_used_at >= _idle_limit(idle[0]):
                idle.popleft().close()

    def close(self) -> None:
        """Closes all idle connections."""
        for server in list(self._idle):
            self.drop_server(server)

    def _discard(self, server, conn):
        if not conn.is_open:
            self._ended_at[server] = self._clock.monotonic()
        idle = self._idle.get(server)
        if idle is not None and conn in idle:
            idle.remove(conn)
        conn.close()


def _idle_limit(conn):
    if conn.keep_alive_timeout is None:
        return MAX_IDLE_TIME
    return min(conn.keep_alive_timeout * IDLE_FRACTION, MAX_IDLE_TIME)
