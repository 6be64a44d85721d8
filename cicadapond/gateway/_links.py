"""Notices when this process loses its links to backend servers, and when they are back."""

import asyncio
import datetime
import typing

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import ConnectionPool
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.kernel import Clock, Metrics
from cicadapond.placing import ServerHealth, ServiceReach
from cicadapond.serving import ServerEntry

# While a service is out of reach, servers are tried this often, a few at a time.
PROBE_INTERVAL = datetime.timedelta(milliseconds=400)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=250)
SERVERS_PER_PROBE = 2
# So many other servers out of reach show that the links are lost, rather than one server.
MAX_OTHERS_TRIED = 3


class ServerLinks:
    """The links of this process.

    Args:
      registry: The known servers.
      health: Learns which servers can be reached.
      pool: Connections to servers.
      clock: The clock.
      log: The event log.
      metrics: The metrics.

    Attributes:
      on_change: Called when links to a service's servers are lost or back.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        health: ServerHealth,
        pool: ConnectionPool,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._registry = registry
        self._health = health
        self._pool = pool
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._reach = ServiceReach(clock)
        self._cut_off: set[str] = set()
        self._probes = 0
        self.on_change: typing.Callable[[], None] = lambda: None

    def failed(self, entry: ServerEntry) -> None:
        """Records that a server could not be reached."""
        self._health.mark_unreachable(entry)
        self._reach.record_failure(entry.service, entry.name)
        self._update(entry.service)

    def timed_out(self, entry: ServerEntry) -> None:
        """Records that a server sent nothing until a request's deadline; it may be slow."""
        self._reach.record_failure(entry.service, entry.name)
        self._update(entry.service)

    def worked(self, entry: ServerEntry) -> None:
        """Records that a server was reached."""
        self._health.mark_reachable(entry)
        self._reach.record_contact(entry.service)
        self._update(entry.service)

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this process seems to reach none of a service's servers."""
        # Asked for each request, and the list of the servers may be long.
        if not self._reach.has_failures(service):
            return False
        return self._reach.is_cut_off(service, self._names(service))

    def cannot_serve(self, service: str) -> bool:
        """Returns whether all servers of a service were found out of reach."""
        names = self._names(service)
        return bool(names) and not self._reach.untried(service, names)

    def explain_failures(self, service: str) -> bool:
        """Returns whether lost links explain that connections to the service's servers broke."""
        return self._reach.explains_failures(service, self._names(service))

    async def reaches_others(self, entry: ServerEntry) -> bool:
        """Returns whether other servers of a server's service accept connections, if any.

        If they do not, lost links explain that the server does not either.
        """
        others = [each for each in self._registry.usable(entry.service) if each.name != entry.name]
        self._probes += 1
        first = self._probes % len(others) if others else 0
        tried = (others[first:] + others[:first])[:MAX_OTHERS_TRIED]
        for other in tried:
            if await self._probe_server(other):
                return True
        return not tried

    def cut_off_services(self) -> tuple[str, ...]:
        """Returns the services that this process does not reach."""
        return tuple(sorted(self._cut_off))

    async def probe(self) -> None:
        """Looks, until cancelled, whether services that were out of reach can be reached again."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            for service in self._reach.services_with_failures():
                if self.is_cut_off(service):
                    await self._probe_service(service)
                else:
                    self._update(service)

    async def _probe_service(self, service):
        servers = self._registry.usable(service)
        self._probes += 1
        first = self._probes * SERVERS_PER_PROBE % len(servers)
        chosen = (servers[first:] + servers[:first])[:SERVERS_PER_PROBE]
        await asyncio.gather(*(self._probe_server(entry) for entry in chosen))

    async def _probe_server(self, entry):
        conn = await self._pool.connect(entry.name, entry.endpoint, PROBE_TIMEOUT)
        if conn is None:
            self.failed(entry)
            return False
        conn.close()
        self.worked(entry)
        return True

    def _update(self, service):
        was_cut_off, is_cut_off = service in self._cut_off, self.is_cut_off(service)
        if was_cut_off == is_cut_off:
            return
        if is_cut_off:
            self._cut_off.add(service)
            # Connections that hang would each cost a request.
            for name in self._names(service):
                self._pool.drop_server(name)
        else:
            self._cut_off.discard(service)
        self._metrics.count("service_links", change="lost" if is_cut_off else "regained")
        self._log.write("links_lost" if is_cut_off else "links_regained", service=service)
        self.on_change()

    def _names(self, service):
        return [entry.name for entry in self._registry.usable(service)]
