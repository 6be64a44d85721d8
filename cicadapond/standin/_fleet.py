"""A fixed fleet for tests and experiments: the part of `Fleet` that runners use."""

from cicadapond.routing import ServerView


class StaticFleet:
    """Backend servers that never change, except that a test marks them as leaving.

    Args:
      adapters: Their adapters.
    """

    def __init__(self, adapters):
        self._adapters = {adapter.server.name: adapter for adapter in adapters}
        self._views = {name: ServerView(a.server) for name, a in self._adapters.items()}

    def views(self, pool: str) -> list[ServerView]:
        """Returns the servers of a pool that take new work."""
        return [v for v in self._views.values() if v.server.pool == pool and not v.leaving]

    def adapter(self, name: str):
        """Returns a server's adapter."""
        return self._adapters[name]

    def started(self, name: str) -> None:
        """Counts a request on a server."""
        self._views[name].own_in_flight += 1

    def finished(self, name: str) -> None:
        """Counts a request off a server."""
        self._views[name].own_in_flight -= 1

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server takes no new work."""
        return self._views[name].leaving

    def on_leaving(self, callback) -> None:
        """Takes a callback that is never called."""
