"""Exposure credits: which requests of a process go to the new version during a trial.

It answers the load of hundreds of processes that each see few requests and may not hear from each
other: as each draws its first credit at random, the sum of what they send has no bias.
"""

import random
import typing

# The highest credit of a route, in requests: what could not be sent for want of a server is not
# made up for by a burst.
MAX_CREDIT = 2.0
# The part of a trial's requests that is split evenly between the routes; the rest follows traffic.
EVEN_PART = 0.75
# The largest share of one route that goes to the new version.
MAX_ROUTE_SHARE = 0.5


def route_shares(share: float, requests: typing.Mapping[str, float]) -> dict[str, float]:
    """Returns the share of each route's requests that goes to the new version.

    Rare routes have a larger share, so that each is judged; the total is `share` of all requests.

    Args:
      share: The share of all requests.
      requests: The requests by route.
    """
    total = sum(requests.values())
    seen = {route: count for route, count in requests.items() if count > 0}
    return {
        route: min(
            max(MAX_ROUTE_SHARE, share),
            share * (1 - EVEN_PART + EVEN_PART * total / (len(seen) * count)),
        )
        for route, count in seen.items()
    }


class Credits:
    """The credits of one service, by route.

    Args:
      rng: Draws the first credit of each route.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._credits: dict[str, float] = {}

    def grow(self, route: str, share: float) -> None:
        """Adds the share of one request."""
        credit = self._credits.get(route)
        if credit is None:
            credit = self._rng.random()
        self._credits[route] = min(credit + share, MAX_CREDIT)

    def may_send(self, route: str) -> bool:
        """Returns whether a request of the route may be sent to the new version."""
        return self._credits.get(route, 0.0) >= 1.0

    def spend(self, route: str) -> None:
        """Takes the credit of one send; the credit may become negative."""
        self._credits[route] = self._credits.get(route, 0.0) - 1.0

    def state(self) -> dict[str, float]:
        """Returns the credits by route, for a dump."""
        return {route: round(credit, 3) for route, credit in self._credits.items()}
