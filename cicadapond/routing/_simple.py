"""The baselines: round robin and least in flight."""

from cicadapond.routing._api import Router, known_in_flight, may_take, routers


@routers.register("round-robin")
class RoundRobinRouter(Router):
    """Each server in turn."""

    def __init__(self, cfg, rng):
        super().__init__(cfg, rng)
        self._turn = 0

    def choose(self, req, views, now):
        for offset in range(len(views)):
            view = views[(self._turn + offset) % len(views)]
            if may_take(view, req, now):
                self._turn = (self._turn + offset + 1) % len(views)
                return view
        return None


@routers.register("least-in-flight")
class LeastInFlightRouter(Router):
    """The server with the fewest requests that the system's processes have counted."""

    def choose(self, req, views, now):
        allowed = [view for view in views if may_take(view, req, now)]
        if not allowed:
            return None
        fewest = min(map(known_in_flight, allowed))
        return self.rng.choice([view for view in allowed if known_in_flight(view) == fewest])
