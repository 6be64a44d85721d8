"""Which route and client account a request has, by one version of the configuration; no I/O."""

import bisect
import dataclasses
import datetime
import hashlib
import itertools

from cicadapond.gateway.data import CallerRequest, ClientAccount, Configuration, Route


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is allowed; `account` is None on public routes without a known key."""

    route: Route
    account: ClientAccount | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route begins the request's path at its host."""


@dataclasses.dataclass(frozen=True, slots=True)
class BadKey:
    """The route needs a key, and the request's key is missing or not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """Nothing can be said: the configuration is unknown, or its copy is too old."""

    reason: str
    age: datetime.timedelta | None


Verdict = Admitted | NoRoute | BadKey | NotReady


class RoutingTable:
    """One version of the configuration, made fast to look up.

    Args:
      cfg: The configuration.
    """

    def __init__(self, cfg: Configuration):
        self.cfg = cfg
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(cfg.routes, key=lambda route: -len(route.prefix)):
            self._routes.setdefault(route.host, []).append(route)
        self._accounts = {key: account for account in cfg.accounts or () for key in account.keys}

    def find(self, req: CallerRequest) -> Admitted | NoRoute | BadKey:
        """Returns the route with the longest prefix that begins the path, if the key allows."""
        route = self._route(req.host, req.path)
        if route is None:
            return NoRoute()
        account = self._accounts.get(req.key) if req.key else None
        if self.cfg.accounts is not None and account is None and not route.is_public:
            return BadKey()
        return Admitted(route, account)

    def _route(self, host, path):
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service of a request on a route, by the weights of the route's services.

    The choice follows from the request's id, so that it is the same wherever it is made.
    """
    if len(route.services) == 1:
        return route.services[0].service
    bounds = list(itertools.accumulate(found.weight for found in route.services))
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest) / 2**64 * bounds[-1]
    index = min(bisect.bisect_right(bounds, point), len(bounds) - 1)
    return route.services[index].service
