"""Simulated cloud API, without HTTP: hosts, varying prices, refusals and reclaims."""

import asyncio
import collections
import datetime
import random
import typing

import attrs

from cicadapond.data import BackendServer, Market, Notice
from cicadapond.kernel import AnswerLost, Clock, Ok, Unavailable, seconds
from cicadapond.provider import BuyRequest, CloudApi, CloudHost, Price, Refused

ZERO = datetime.timedelta()
_HOUR = datetime.timedelta(hours=1)
MIN_PRICE_FACTOR = 0.5
MAX_PRICE_FACTOR = 2.0


@attrs.frozen
class CloudOffer:
    """A machine class on offer in one zone.

    Attributes:
      per_hour: The hourly price, on demand; the base of the varying price of a reclaimable host.
      capacity: How many hosts the zone has of it.
    """

    zone: str
    machine_class: str
    market: Market
    per_hour: float
    capacity: int = 10_000


@attrs.frozen
class CloudTiming:
    """Delays of the cloud API, and how prices of reclaimable hosts vary.

    Attributes:
      latency: Before each call takes effect.
      start_delay: From the purchase of a host until its backend server runs.
      start_jitter: Upper bound of the random time added to `start_delay`.
      price_interval: Between two price changes.
      price_swing: Largest relative change of a price per interval.
      notice: Warning time of a reclaim that names none.
      loss_notice: How long until the client learns that an answer is lost.
    """

    latency: datetime.timedelta = seconds(0.05)
    start_delay: datetime.timedelta = seconds(45)
    start_jitter: datetime.timedelta = seconds(30)
    price_interval: datetime.timedelta = seconds(300)
    price_swing: float = 0.05
    notice: datetime.timedelta = seconds(30)
    loss_notice: datetime.timedelta = seconds(1)


@attrs.define
class CloudFaults:
    """The faults that are active now.

    Attributes:
      outage: Every call is refused.
      lose_after: Share of purchases and releases whose answer is lost after they took effect.
      refused: Zones, machine classes and markets in which no host can be bought; None matches all.
    """

    outage: bool = False
    lose_after: float = 0.0
    refused: set[tuple[str | None, str | None, Market | None]] = attrs.field(factory=set)

    def refuses(self, request: BuyRequest) -> bool:
        """Returns whether a purchase is refused."""
        wanted = (request.zone, request.machine_class, request.market)
        return any(
            all(part is None or part == found for part, found in zip(rule, wanted, strict=True))
            for rule in self.refused
        )


@attrs.define
class _Host:
    request: BuyRequest
    host_id: str
    state: str = "starting"
    server: BackendServer | None = None
    removal_at: datetime.timedelta | None = None

    def snapshot(self):
        request = self.request
        return CloudHost(
            self.host_id,
            request.token,
            request.pool,
            request.zone,
            request.machine_class,
            request.market,
            self.state,
            self.server,
        )


class CloudModel:
    """A simulated cloud.

    Args:
      offers: The machine classes on offer.
      clock: Gives the time.
      rng: Decides price changes, start delays and lost answers.
      start_server: Starts the backend server of a host that has booted, and returns it.
      stop_server: Stops the backend server of a host that is released or reclaimed; has to
        tolerate a second call.
      timing: Delays and price changes.
    """

    def __init__(
        self,
        offers: typing.Iterable[CloudOffer],
        clock: Clock,
        rng: random.Random,
        start_server: typing.Callable[[CloudHost], BackendServer],
        stop_server: typing.Callable[[CloudHost], None],
        timing: CloudTiming | None = None,
    ):
        self.faults = CloudFaults()
        self.timing = timing or CloudTiming()
        self.total_cost = 0.0
        self.counts = collections.Counter()
        self.reclaimed: set[str] = set()
        self.on_change: list[typing.Callable[[CloudHost], None]] = []
        self._offers = {(found.zone, found.machine_class, found.market): found for found in offers}
        self._clock = clock
        self._rng = rng
        self._start_server = start_server
        self._stop_server = stop_server
        self._hosts: dict[str, _Host] = {}
        self._tokens: dict[str, str] = {}
        self._price_factors = {key: 1.0 for key in self._offers}
        self._prices_updated_at = ZERO
        self._cost_updated_at = ZERO
        self._last_host_number = 0
        self._tasks = set()

    # Cloud API

    async def buy(self, request: BuyRequest) -> Ok[CloudHost] | Refused | Unavailable | AnswerLost:
        """Starts a host; a repeated token returns the same host as long as that exists."""
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        outcome = self._allocate(request)
        if self._rng.random() < self.faults.lose_after:
            return await self._lose_answer()
        return outcome

    async def release(self, host_id: str) -> Ok[None] | Unavailable | AnswerLost:
        """Removes a host."""
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        self._remove(host_id)
        if self._rng.random() < self.faults.lose_after:
            return await self._lose_answer()
        return Ok(None)

    async def hosts(self, zone: str) -> Ok[tuple[CloudHost, ...]] | Unavailable:
        """Lists the hosts of a zone."""
        return await self._read(lambda: tuple(self.list_hosts(zone)))

    async def prices(self) -> Ok[tuple[Price, ...]] | Unavailable:
        """Lists the current prices."""
        return await self._read(self.list_prices)

    async def notices(self, zone: str) -> Ok[tuple[Notice, ...]] | Unavailable:
        """Lists the notices in force."""
        return await self._read(lambda: self.list_notices(zone))

    # Current state

    def list_hosts(self, zone: str | None = None) -> list[CloudHost]:
        """Returns the current hosts of a zone, or of all zones."""
        return [
            host.snapshot()
            for host in self._hosts.values()
            if zone is None or host.request.zone == zone
        ]

    def list_prices(self) -> tuple[Price, ...]:
        """Returns the current prices."""
        self._update_prices()
        return tuple(Price(*key, self._price(key)) for key in sorted(self._offers, key=str))

    def list_notices(self, zone: str) -> tuple[Notice, ...]:
        """Returns the notices in force for a zone's hosts."""
        now = self._clock.monotonic()
        return tuple(
            Notice(host.server.name, "cloud", max(ZERO, host.removal_at - now))
            for host in self._hosts.values()
            if host.removal_at is not None and host.server is not None and host.request.zone == zone
        )

    # Fault injection

    def reclaim(self, host_id: str, notice: datetime.timedelta | None = None) -> None:
        """Announces that a reclaimable host will be removed once the notice has elapsed."""
        host = self._hosts.get(host_id)
        if host is None or host.removal_at is not None or host.request.market is Market.ON_DEMAND:
            return
        notice = self.timing.notice if notice is None else notice
        self.counts["reclaimed"] += 1
        self.reclaimed.add(host_id)
        host.removal_at = self._clock.monotonic() + notice
        host.state = "leaving"
        self._notify_listeners(host)
        self._spawn(self._remove_after(host_id, notice))

    def reclaim_share(
        self, share: float, zone: str | None = None, notice: datetime.timedelta | None = None
    ) -> int:
        """Reclaims a share of the reclaimable hosts, of one zone or of all.

        Returns:
          How many hosts are reclaimed.
        """
        hosts = [
            host.host_id
            for host in self._hosts.values()
            if host.request.market is Market.RECLAIMABLE
            and host.removal_at is None
            and zone in (None, host.request.zone)
        ]
        chosen = self._rng.sample(hosts, round(share * len(hosts)))
        for host_id in chosen:
            self.reclaim(host_id, notice)
        return len(chosen)

    def settle_cost(self) -> float:
        """Returns the total cost of all hosts up to now."""
        self._update_cost()
        return self.total_cost

    async def close(self) -> None:
        """Cancels all pending starts and reclaims."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Internals

    async def _read(self, operation):
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        return Ok(operation())

    async def _lose_answer(self):
        await self._clock.sleep(self.timing.loss_notice)
        return AnswerLost("the cloud API's answer was lost")

    def _allocate(self, request):
        existing = self._hosts.get(self._tokens.get(request.token))
        if existing is not None:
            return Ok(existing.snapshot())
        key = (request.zone, request.machine_class, request.market)
        offer = self._offers.get(key)
        host_count = sum(_offer_key(host) == key for host in self._hosts.values())
        if offer is None or host_count >= offer.capacity or self.faults.refuses(request):
            self.counts["refused"] += 1
            return Refused(f"no {request.market.value} {request.machine_class} in {request.zone}")
        self._update_cost()
        self._last_host_number += 1
        host = _Host(request, f"host-{self._last_host_number}")
        self._hosts[host.host_id] = host
        self._tokens[request.token] = host.host_id
        self.counts["bought"] += 1
        self._spawn(self._start(host))
        return Ok(host.snapshot())

    async def _start(self, host):
        jitter = self.timing.start_jitter * self._rng.random()
        await self._clock.sleep(self.timing.start_delay + jitter)
        if host.host_id not in self._hosts or host.state != "starting":
            return
        host.server = self._start_server(host.snapshot())
        host.state = "live"
        self._notify_listeners(host)

    async def _remove_after(self, host_id, wait):
        await self._clock.sleep(wait)
        self._remove(host_id)

    def _remove(self, host_id):
        host = self._hosts.get(host_id)
        if host is None:
            return
        self._update_cost()
        del self._hosts[host_id]
        host.state = "gone"
        self._notify_listeners(host)
        if host.server is not None:
            self._stop_server(host.snapshot())

    def _notify_listeners(self, host):
        for listener in self.on_change:
            listener(host.snapshot())

    def _spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _price(self, key):
        return self._offers[key].per_hour * self._price_factors[key]

    def _update_prices(self):
        """Applies the price changes that are due; each interval is charged at its own price."""
        now = self._clock.monotonic()
        while now - self._prices_updated_at >= self.timing.price_interval:
            self._prices_updated_at += self.timing.price_interval
            self._update_cost_until(self._prices_updated_at)
            for key in self._price_factors:
                if key[2] is Market.RECLAIMABLE:
                    self._price_factors[key] = self._next_factor(self._price_factors[key])

    def _next_factor(self, factor):
        changed = factor * (1.0 + self._rng.uniform(-1.0, 1.0) * self.timing.price_swing)
        return min(max(changed, MIN_PRICE_FACTOR), MAX_PRICE_FACTOR)

    def _update_cost(self):
        self._update_prices()
        self._update_cost_until(self._clock.monotonic())

    def _update_cost_until(self, instant):
        hours = max(ZERO, instant - self._cost_updated_at) / _HOUR
        self._cost_updated_at = max(instant, self._cost_updated_at)
        self.total_cost += hours * sum(
            self._price(_offer_key(host)) for host in self._hosts.values()
        )


def _offer_key(host):
    return (host.request.zone, host.request.machine_class, host.request.market)


class DirectCloud(CloudApi):
    """An in-process client of a `CloudModel`."""

    def __init__(self, model: CloudModel):
        self.model = model
        self.reachable = True

    async def buy(self, request):
        return await self._send(self.model.buy, request)

    async def release(self, host_id):
        return await self._send(self.model.release, host_id)

    async def hosts(self, zone):
        return await self._send(self.model.hosts, zone)

    async def prices(self):
        return await self._send(self.model.prices)

    async def notices(self, zone):
        return await self._send(self.model.notices, zone)

    async def _send(self, call, *args):
        if not self.reachable:
            return Unavailable("the cloud API cannot be reached from here")
        return await asyncio.shield(asyncio.ensure_future(call(*args)))
