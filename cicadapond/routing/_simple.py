"""The baseline policies: round robin and least in flight."""

from cicadapond.routing._api import Router, known_in_flight, may_accept, routers


@routers.register("round-robin")
class RoundRobinRouter(Router):
    """Chooses the servers in turn."""

    def __init__(self, cfg, rng):
        super().__init__(cfg, rng)
        self._next_index = 0

    def choose(self, req, views, now):
        for offset in range(len(views)):
            view = views[(self._next_index + offset) % len(views)]
            if may_accept(view, req, now):
                self._next_index = (self._next_index + offset + 1) % len(views)
                return view
        return None


@routers.register("least-in-flight")
class LeastInFlightRouter(Router):
    """Chooses the server with the fewest requests in flight from all processes."""

    def choose(self, req, views, now):
        allowed = [view for view in views if may_accept(view, req, now)]
        if not allowed:
            return None
        fewest = min(map(known_in_flight, allowed))
        return self.rng.choice([view for view in allowed if known_in_flight(view) == fewest])
