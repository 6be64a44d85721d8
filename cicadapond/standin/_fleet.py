"""A fixed fleet for tests and experiments, with the part of `Fleet` that request runs use."""

from cicadapond.routing import ServerView


class StaticFleet:
    """A fixed set of backend servers; tests may mark them as leaving.

    Args:
      adapters: The adapters of the backend servers.
    """

    def __init__(self, adapters):
        self._adapters = {adapter.server.name: adapter for adapter in adapters}
        self._views = {name: ServerView(a.server) for name, a in self._adapters.items()}

    def views(self, pool: str) -> list[ServerView]:
        """Returns the servers of a pool that accept new requests."""
        return [v for v in self._views.values() if v.server.pool == pool and not v.leaving]

    def adapter(self, name: str):
        """Returns a server's adapter."""
        return self._adapters[name]

    def request_started(self, name: str) -> None:
        """Counts a request in flight on a server."""
        self._views[name].own_in_flight += 1

    def request_finished(self, name: str) -> None:
        """Removes a finished request from a server's count."""
        self._views[name].own_in_flight -= 1

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server accepts no new requests."""
        return self._views[name].leaving

    def on_leaving(self, callback) -> None:
        """Ignores the callback: no server is announced as leaving."""
