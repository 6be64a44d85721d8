"""Host list adapter "static": a fixed list from the settings, for runs without a platform."""

from cicadapond.data import HostEntry, HostListing, HostState
from cicadapond.kernel import Ok
from cicadapond.provider import HostList, host_lists


@host_lists.register("static")
class StaticHostList(HostList):
    """Lists the backend servers of the settings, all in state LIVE."""

    def __init__(self, cfg, zone, clock, metrics):
        self._listing = HostListing(
            tuple(HostEntry(server, HostState.LIVE) for server in cfg.servers)
        )

    async def list(self):
        return Ok(self._listing)
