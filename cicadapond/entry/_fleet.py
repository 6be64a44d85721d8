"""The entry's view of the backend servers: who there is, and one adapter object for each."""

import attrs

from cicadapond.backend import Engine, PlainService, engines, plain_services
from cicadapond.data import HostEntry, HostListing, HostState, ServerKind
from cicadapond.kernel import Ok, Task


@attrs.define
class Backend:
    """One backend server in the view.

    `in_flight` counts this process's own requests on it.
    """

    entry: HostEntry
    adapter: Engine | PlainService
    in_flight: int = 0

    @property
    def server(self):
        """The backend server."""
        return self.entry.server


class Fleet:
    """All backend servers that this process knows.

    Args:
      cfg: The entry's settings.
      clock: Gives the time.
      metrics: Takes counts.
    """

    def __init__(self, cfg, clock, metrics):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self.backends: dict[str, Backend] = {}

    def apply(self, listing: HostListing) -> list[Backend]:
        """Takes a host list.

        Returns:
          The backends that are gone; the caller closes their adapters.
        """
        listed = {entry.server.name: entry for entry in listing.hosts}
        for name, entry in listed.items():
            known = self.backends.get(name)
            if known is None:
                self.backends[name] = Backend(entry, self._connect(entry.server))
            else:
                known.entry = entry
        gone = [name for name in self.backends if name not in listed]
        return [self.backends.pop(name) for name in gone]

    def live(self, pool: str) -> list[Backend]:
        """Returns the backends of a pool or service that take new work."""
        return [
            backend
            for backend in self.backends.values()
            if backend.server.pool == pool and backend.entry.state is HostState.LIVE
        ]

    def state(self) -> dict:
        """Returns each backend server as this process sees it, for a dump."""
        return {
            name: {"entry": backend.entry, "in_flight": backend.in_flight}
            for name, backend in self.backends.items()
        }

    def _connect(self, server):
        if server.kind is ServerKind.ENGINE:
            return engines.create(self._cfg.engine_adapter, server, self._clock, self._metrics)
        return plain_services.create(self._cfg.service_adapter, server, self._clock, self._metrics)


class HostListWatcher(Task):
    """Reads the host list at an interval and applies it to the fleet."""

    name = "host-list"

    def __init__(self, fleet: Fleet, host_list, cfg, clock, metrics):
        self._fleet = fleet
        self._host_list = host_list
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics

    async def run(self):
        while True:
            await self.read_once()
            await self._clock.sleep(self._cfg.host_list_interval)

    async def read_once(self):
        """Reads the list; an outage keeps the last view."""
        outcome = await self._host_list.list()
        if not isinstance(outcome, Ok):
            self._metrics.count("host_list_failures")
            return
        for backend in self._fleet.apply(outcome.value):
            await backend.adapter.close()
