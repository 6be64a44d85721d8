"""Looks up the route and client account of a request in one configuration version; no I/O."""

import bisect
import dataclasses
import datetime
import hashlib
import itertools

from cicadapond.serving import CallerRequest, ClientAccount, Configuration, Route


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is allowed; `account` is None if it has no known key and needs none."""

    route: Route
    account: ClientAccount | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route of the request's host has a prefix of its path."""


@dataclasses.dataclass(frozen=True, slots=True)
class BadKey:
    """The route needs a key, and the request's key is missing or unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """Undecided: there is no configuration yet, or the copy of it is too old."""

    reason: str
    age: datetime.timedelta | None


Verdict = Admitted | NoRoute | BadKey | NotReady


class RoutingTable:
    """One version of the configuration, indexed for look-ups.

    Args:
      cfg: The configuration.
    """

    def __init__(self, cfg: Configuration):
        self.cfg = cfg
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(cfg.routes, key=lambda route: -len(route.prefix)):
            self._routes.setdefault(route.host, []).append(route)
        self._accounts = {key: account for account in cfg.accounts or () for key in account.keys}
        self._accounts_by_name = {account.name: account for account in cfg.accounts or ()}

    def find(self, req: CallerRequest) -> Admitted | NoRoute | BadKey:
        """Returns the route with the longest prefix of the path, if the key permits it."""
        route = self._longest_match(req.host, req.path)
        if route is None:
            return NoRoute()
        account = self._accounts.get(req.key) if req.key else None
        if self.cfg.accounts is not None and account is None and not route.is_public:
            return BadKey()
        return Admitted(route, account)

    def find_account(self, name: str) -> ClientAccount | None:
        """Returns the client account of a name, None if there is none."""
        return self._accounts_by_name.get(name)

    def _longest_match(self, host, path):
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, request_id: str) -> str:
    """Returns the service for a request, by the weights of the route's services.

    The choice is a hash of the request id, so all processes make the same one.
    """
    if len(route.services) == 1:
        return route.services[0].service
    cumulative_weights = list(itertools.accumulate(weighted.weight for weighted in route.services))
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest) / 2**64 * cumulative_weights[-1]
    index = min(bisect.bisect_right(cumulative_weights, point), len(cumulative_weights) - 1)
    return route.services[index].service
