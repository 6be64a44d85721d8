"""Host list adapter "static": a fixed list from the settings, for a try without a platform."""

from cicadapond.data import HostEntry, HostListing, HostState
from cicadapond.kernel import Ok
from cicadapond.provider import HostList, host_lists


@host_lists.register("static")
class StaticHostList(HostList):
    """Lists the backend servers that the settings name, all live."""

    def __init__(self, cfg, zone, clock, metrics):
        self._listing = HostListing(
            tuple(HostEntry(server, HostState.LIVE) for server in cfg.servers)
        )

    async def list(self):
        return Ok(self._listing)
