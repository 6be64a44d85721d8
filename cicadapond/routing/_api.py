"""What a routing policy is asked and told."""

import abc
import datetime
import random

import attrs

from cicadapond.data import PREFIX_BLOCK_TOKENS, CacheEvent, Priority
from cicadapond.kernel import Registry, at_least, between, seconds, setting
from cicadapond.routing._view import ServerView


@attrs.frozen
class RouteRequest:
    """What routing looks at.

    Attributes:
      blocks: The hash chain of the context's whole blocks (see `prefix_blocks`); empty for calls
        without a prefix, such as those of plain services.
      tokens: The context's length in tokens.
      priority: How urgent it is.
      avoid: Backend servers that this request is not to go to now.
    """

    blocks: tuple[int, ...] = ()
    tokens: int = 0
    priority: Priority = Priority.STANDARD
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class RouterSettings:
    """Weights and limits of routing.

    Attributes:
      cost_weight: Weight of a second that the request waits, from the document.
      recompute_weight: Weight of a second spent on tokens that another engine has cached.
      prefill_token: How long a token's prefill takes, until it is measured.
      stream_duration: How long a request holds a slot, until it is measured.
      default_slots: Slots of a server that has not reported yet.
      load_bound: Affinity ends where a server's load is this many times the mean.
      load_slack: Requests over the mean that the bound always leaves.
      report_half_life: The age at which a load report counts half.
      slow_start: The time over which a new server's share grows to its full size.
      max_blocks: Prefix blocks remembered over all servers.
      sample: Servers weighed besides those that hold the prefix.
    """

    cost_weight: float = setting(default=1.0, check=at_least(0.0))
    recompute_weight: float = setting(default=1.0, check=at_least(0.0))
    prefill_token: datetime.timedelta = seconds(0.0002)
    stream_duration: datetime.timedelta = seconds(5)
    default_slots: int = setting(default=32, check=at_least(1))
    load_bound: float = setting(default=1.5, check=between(1.0, 100.0))
    load_slack: int = setting(default=8, check=at_least(1))
    report_half_life: datetime.timedelta = seconds(2)
    slow_start: datetime.timedelta = seconds(10)
    max_blocks: int = setting(default=200_000, check=at_least(1))
    sample: int = setting(default=16, check=at_least(1))


class Router(abc.ABC):
    """Chooses the backend server of each request; pure decisions, told of what came of them.

    Args:
      cfg: Weights and limits.
      rng: Breaks ties.
    """

    def __init__(self, cfg: RouterSettings, rng: random.Random):
        self.cfg = cfg
        self.rng = rng

    @abc.abstractmethod
    def choose(
        self, req: RouteRequest, views: list[ServerView], now: datetime.timedelta
    ) -> ServerView | None:
        """Returns the server that takes a request, None if none may."""

    def routed(self, req: RouteRequest, server: str, now: datetime.timedelta) -> None:
        """Notes that a request was sent to a server."""
        return None

    def finished(
        self, req: RouteRequest, server: str, cached_tokens: int, duration: datetime.timedelta
    ) -> None:
        """Notes what an engine said at an answer's end about its cache."""
        return None

    def cache_events(self, server: str, events: tuple[CacheEvent, ...]) -> None:
        """Takes an engine's cache events, oldest first."""
        return None

    def last_event(self, server: str) -> int:
        """Returns the number of the last cache event taken from an engine, 0 before the first."""
        return 0

    def forget(self, server: str) -> None:
        """Notes that an engine has lost its cache: it crashed, was replaced or has left."""
        return None


def may_take(view: ServerView, req: RouteRequest, now: datetime.timedelta) -> bool:
    """Returns whether a server may take a request at all."""
    return not view.leaving and view.failing_until <= now and view.server.name not in req.avoid


def known_in_flight(view: ServerView) -> int:
    """Returns the requests on a server that processes of the system have counted."""
    return view.own_in_flight + view.peer_in_flight


def block_tokens(count: int) -> int:
    """Returns how many tokens so many whole prefix blocks hold."""
    return count * PREFIX_BLOCK_TOKENS


# Policies register here; each takes (RouterSettings, random.Random).

routers: Registry[Router] = Registry("routing policy")
