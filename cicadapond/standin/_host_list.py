"""Simulated host list that lags behind the cloud, without HTTP."""

import collections
import datetime

from cicadapond.data import BackendServer, HostEntry, HostListing, HostState
from cicadapond.kernel import Clock, Ok, Unavailable
from cicadapond.provider import CloudHost, HostList

_STATES = {"live": HostState.LIVE, "leaving": HostState.LEAVING}


class HostListModel:
    """A simulated host list; it returns the hosts as they were a lag ago.

    Args:
      clock: Gives the time.
      lag: The age of what it returns.
    """

    def __init__(self, clock: Clock, lag: datetime.timedelta = datetime.timedelta(seconds=5)):
        self.lag = lag
        self.outage = False
        self._clock = clock
        self._visible: dict[str, HostEntry] = {}
        self._pending = collections.deque()

    def put(self, server: BackendServer, state: HostState = HostState.LIVE) -> None:
        """Records a host's state; GONE removes it."""
        self._pending.append((self._clock.monotonic(), HostEntry(server, state)))

    def on_host_change(self, host: CloudHost) -> None:
        """Records a change of a cloud host; a listener for `CloudModel.on_change`."""
        if host.server is not None:
            self.put(host.server, _STATES.get(host.state, HostState.GONE))

    def listing(self) -> HostListing:
        """Returns the list as it was `lag` ago."""
        visible = self._clock.monotonic() - self.lag
        while self._pending and self._pending[0][0] <= visible:
            _, entry = self._pending.popleft()
            if entry.state is HostState.GONE:
                self._visible.pop(entry.server.name, None)
            else:
                self._visible[entry.server.name] = entry
        return HostListing(tuple(self._visible.values()))


class DirectHostList(HostList):
    """An in-process client of a `HostListModel`."""

    def __init__(self, model: HostListModel):
        self.model = model
        self.reachable = True

    async def list(self):
        if self.model.outage or not self.reachable:
            return Unavailable("the host list does not answer")
        return Ok(self.model.listing())
