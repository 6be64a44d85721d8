"""The interface of routing policies and the types that they work with."""

import abc
import datetime
import random

import attrs

from cicadapond.data import PREFIX_BLOCK_TOKENS, CacheEvent, Priority
from cicadapond.kernel import Registry, at_least, between, seconds, setting
from cicadapond.routing._view import ServerView


@attrs.frozen
class RouteRequest:
    """The properties of a request that routing uses.

    Attributes:
      blocks: The hash chain of the context's complete blocks (see `prefix_block_hashes`); empty for
        calls without a prefix, such as those of plain services.
      tokens: The context's length in tokens.
      priority: The priority class of the request.
      avoid: Names of the backend servers that must not get this request now.
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
      prefill_token: Prefill duration per token, until it is measured.
      stream_duration: How long a request occupies a slot, until it is measured.
      default_slots: Slots assumed for a server that has not reported yet.
      load_bound: Affinity ends where a server's load exceeds this multiple of the mean.
      load_slack: Requests above the mean that the bound always allows.
      report_half_life: The age at which a load report's weight is halved.
      slow_start: The period over which a new server's share grows to its full size.
      max_blocks: Prefix blocks remembered over all servers.
      sample: Number of servers scored besides those that hold the prefix.
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
    """Chooses the backend server of each request, without I/O; callers report the results.

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
        """Returns the server for a request, None if no server may accept it."""

    def routed(self, req: RouteRequest, server: str, now: datetime.timedelta) -> None:
        """Records that a request was sent to a server."""
        return None

    def finished(
        self, req: RouteRequest, server: str, cached_tokens: int, duration: datetime.timedelta
    ) -> None:
        """Records the cached token count that an engine reported at the end of an answer."""
        return None

    def cache_events(self, server: str, events: tuple[CacheEvent, ...]) -> None:
        """Applies an engine's cache events, oldest first."""
        return None

    def last_event(self, server: str) -> int:
        """Returns the number of the last cache event applied from an engine, 0 before the first."""
        return 0

    def forget(self, server: str) -> None:
        """Records that an engine has lost its cache: it crashed, was replaced or has left."""
        return None


def may_accept(view: ServerView, req: RouteRequest, now: datetime.timedelta) -> bool:
    """Returns whether a server is eligible for a request."""
    return not view.leaving and view.failing_until <= now and view.server.name not in req.avoid


def known_in_flight(view: ServerView) -> int:
    """Returns the requests in flight on a server from all processes of the system."""
    return view.own_in_flight + view.peer_in_flight


def block_tokens(count: int) -> int:
    """Returns the number of tokens in `count` complete prefix blocks."""
    return count * PREFIX_BLOCK_TOKENS


# Policies register here; each takes (RouterSettings, random.Random).

routers: Registry[Router] = Registry("routing policy")
