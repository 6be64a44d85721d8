"""The lagging host list's behaviour without its network."""

import collections
import datetime

from cicadapond.data import BackendServer, HostEntry, HostListing, HostState
from cicadapond.kernel import Clock, Ok, Unavailable
from cicadapond.provider import CloudHost, HostList

_STATES = {"live": HostState.LIVE, "leaving": HostState.LEAVING}


class HostListModel:
    """One stand-in host list: it shows what was true a while ago.

    Args:
      clock: Gives the time.
      lag: How old what it shows is.
    """

    def __init__(self, clock: Clock, lag: datetime.timedelta = datetime.timedelta(seconds=5)):
        self.lag = lag
        self.outage = False
        self._clock = clock
        self._shown: dict[str, HostEntry] = {}
        self._due = collections.deque()

    def put(self, server: BackendServer, state: HostState = HostState.LIVE) -> None:
        """Notes a host's state; GONE removes it."""
        self._due.append((self._clock.monotonic(), HostEntry(server, state)))

    def follow(self, host: CloudHost) -> None:
        """Notes what the cloud says of a host; for `CloudModel.on_change`."""
        if host.server is not None:
            self.put(host.server, _STATES.get(host.state, HostState.GONE))

    def listing(self) -> HostListing:
        """Returns the list as it was a lag ago."""
        visible = self._clock.monotonic() - self.lag
        while self._due and self._due[0][0] <= visible:
            _, entry = self._due.popleft()
            if entry.state is HostState.GONE:
                self._shown.pop(entry.server.name, None)
            else:
                self._shown[entry.server.name] = entry
        return HostListing(tuple(self._shown.values()))


class DirectHostList(HostList):
    """A client of a `HostListModel` in the same process."""

    def __init__(self, model: HostListModel):
        self.model = model
        self.reachable = True

    async def list(self):
        if self.model.outage or not self.reachable:
            return Unavailable("the host list does not answer")
        return Ok(self.model.listing())
