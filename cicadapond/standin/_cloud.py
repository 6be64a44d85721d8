"""The cloud API's behaviour without its network: hosts, moving prices, refusals, reclaims."""

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
LOWEST_PRICE_SHARE = 0.5
HIGHEST_PRICE_SHARE = 2.0


@attrs.frozen
class CloudOffer:
    """What the cloud sells in one zone; `per_hour` is the price that a moving one moves around."""

    zone: str
    machine_class: str
    market: Market
    per_hour: float
    capacity: int = 10_000


@attrs.frozen
class CloudTiming:
    """How long things take, and how prices of reclaimable hosts move."""

    latency: datetime.timedelta = seconds(0.05)
    start_delay: datetime.timedelta = seconds(45)
    start_jitter: datetime.timedelta = seconds(30)
    price_interval: datetime.timedelta = seconds(300)
    price_swing: float = 0.05
    notice: datetime.timedelta = seconds(30)
    loss_notice: datetime.timedelta = seconds(1)


@attrs.define
class CloudFaults:
    """The faults that are on now.

    Attributes:
      outage: Every call is refused.
      lose_after: Share of orders whose answer is lost after they took effect.
      refused: Zones, machine classes and markets of which no host starts; None stands for all.
    """

    outage: bool = False
    lose_after: float = 0.0
    refused: set[tuple[str | None, str | None, Market | None]] = attrs.field(factory=set)

    def refuses(self, request: BuyRequest) -> bool:
        """Returns whether a start is refused."""
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
    gone_at: datetime.timedelta | None = None

    def shown(self):
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
    """One stand-in cloud.

    Args:
      offers: What it sells.
      clock: Gives the time.
      rng: Moves prices, spreads starts and loses answers.
      start_server: Starts the backend server of a host that has come up and returns it.
      stop_server: Ends the backend server of a host that is gone or reclaimed; may be told twice.
      timing: How long things take.
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
        self.spent = 0.0
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
        self._price_shares = {key: 1.0 for key in self._offers}
        self._priced_at = ZERO
        self._charged_at = ZERO
        self._number = 0
        self._tasks = set()

    # The API

    async def buy(self, request: BuyRequest) -> Ok[CloudHost] | Refused | Unavailable | AnswerLost:
        """Sells a host; the same token gives the same host as long as it is there."""
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        outcome = self._sell(request)
        if self._rng.random() < self.faults.lose_after:
            return await self._lose()
        return outcome

    async def release(self, host_id: str) -> Ok[None] | Unavailable | AnswerLost:
        """Takes a host back."""
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        self._remove(host_id)
        if self._rng.random() < self.faults.lose_after:
            return await self._lose()
        return Ok(None)

    async def hosts(self, zone: str) -> Ok[tuple[CloudHost, ...]] | Unavailable:
        """Lists the hosts of a zone."""
        return await self._read(lambda: tuple(self.list_hosts(zone)))

    async def prices(self) -> Ok[tuple[Price, ...]] | Unavailable:
        """Lists the prices of now."""
        return await self._read(self.list_prices)

    async def notices(self, zone: str) -> Ok[tuple[Notice, ...]] | Unavailable:
        """Lists the notices in force."""
        return await self._read(lambda: self.list_notices(zone))

    # What it shows

    def list_hosts(self, zone: str | None = None) -> list[CloudHost]:
        """Returns the hosts of a zone, or of all, as they are now."""
        return [
            host.shown()
            for host in self._hosts.values()
            if zone is None or host.request.zone == zone
        ]

    def list_prices(self) -> tuple[Price, ...]:
        """Returns the prices of now."""
        self._move_prices()
        return tuple(Price(*key, self._price(key)) for key in sorted(self._offers, key=str))

    def list_notices(self, zone: str) -> tuple[Notice, ...]:
        """Returns the notices in force for a zone's hosts."""
        now = self._clock.monotonic()
        return tuple(
            Notice(host.server.name, "cloud", max(ZERO, host.gone_at - now))
            for host in self._hosts.values()
            if host.gone_at is not None and host.server is not None and host.request.zone == zone
        )

    # Faults on order

    def reclaim(self, host_id: str, notice: datetime.timedelta | None = None) -> None:
        """Announces that a reclaimable host is taken away after the notice."""
        host = self._hosts.get(host_id)
        if host is None or host.gone_at is not None or host.request.market is Market.ON_DEMAND:
            return
        notice = self.timing.notice if notice is None else notice
        self.counts["reclaimed"] += 1
        self.reclaimed.add(host_id)
        host.gone_at = self._clock.monotonic() + notice
        host.state = "leaving"
        self._tell(host)
        self._spawn(self._remove_after(host_id, notice))

    def wave(
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
            and host.gone_at is None
            and zone in (None, host.request.zone)
        ]
        chosen = self._rng.sample(hosts, round(share * len(hosts)))
        for host_id in chosen:
            self.reclaim(host_id, notice)
        return len(chosen)

    def charge(self) -> float:
        """Returns what all hosts have cost up to now."""
        self._charge()
        return self.spent

    async def close(self) -> None:
        """Ends all starts and reclaims that are on their way."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Inside

    async def _read(self, act):
        await self._clock.sleep(self.timing.latency)
        if self.faults.outage:
            return Unavailable("the cloud API is out")
        return Ok(act())

    async def _lose(self):
        await self._clock.sleep(self.timing.loss_notice)
        return AnswerLost("the cloud API's answer was lost")

    def _sell(self, request):
        known = self._hosts.get(self._tokens.get(request.token))
        if known is not None:
            return Ok(known.shown())
        key = (request.zone, request.machine_class, request.market)
        offer = self._offers.get(key)
        held = sum(_offer_key(host) == key for host in self._hosts.values())
        if offer is None or held >= offer.capacity or self.faults.refuses(request):
            self.counts["refused"] += 1
            return Refused(f"no {request.market.value} {request.machine_class} in {request.zone}")
        self._charge()
        self._number += 1
        host = _Host(request, f"host-{self._number}")
        self._hosts[host.host_id] = host
        self._tokens[request.token] = host.host_id
        self.counts["bought"] += 1
        self._spawn(self._start(host))
        return Ok(host.shown())

    async def _start(self, host):
        jitter = self.timing.start_jitter * self._rng.random()
        await self._clock.sleep(self.timing.start_delay + jitter)
        if host.host_id not in self._hosts or host.state != "starting":
            return
        host.server = self._start_server(host.shown())
        host.state = "live"
        self._tell(host)

    async def _remove_after(self, host_id, wait):
        await self._clock.sleep(wait)
        self._remove(host_id)

    def _remove(self, host_id):
        host = self._hosts.get(host_id)
        if host is None:
            return
        self._charge()
        del self._hosts[host_id]
        host.state = "gone"
        self._tell(host)
        if host.server is not None:
            self._stop_server(host.shown())

    def _tell(self, host):
        for listener in self.on_change:
            listener(host.shown())

    def _spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _price(self, key):
        return self._offers[key].per_hour * self._price_shares[key]

    def _move_prices(self):
        """Takes the price steps that are due; hosts are charged at the price of each step."""
        now = self._clock.monotonic()
        while now - self._priced_at >= self.timing.price_interval:
            self._priced_at += self.timing.price_interval
            self._charge_until(self._priced_at)
            for key in self._price_shares:
                if key[2] is Market.RECLAIMABLE:
                    self._price_shares[key] = self._next_share(self._price_shares[key])

    def _next_share(self, share):
        moved = share * (1.0 + self._rng.uniform(-1.0, 1.0) * self.timing.price_swing)
        return min(max(moved, LOWEST_PRICE_SHARE), HIGHEST_PRICE_SHARE)

    def _charge(self):
        self._move_prices()
        self._charge_until(self._clock.monotonic())

    def _charge_until(self, instant):
        hours = max(ZERO, instant - self._charged_at) / _HOUR
        self._charged_at = max(instant, self._charged_at)
        self.spent += hours * sum(self._price(_offer_key(host)) for host in self._hosts.values())


def _offer_key(host):
    return (host.request.zone, host.request.machine_class, host.request.market)


class DirectCloud(CloudApi):
    """A client of a `CloudModel` in the same process."""

    def __init__(self, model: CloudModel):
        self.model = model
        self.reachable = True

    async def buy(self, request):
        return await self._ask(self.model.buy, request)

    async def release(self, host_id):
        return await self._ask(self.model.release, host_id)

    async def hosts(self, zone):
        return await self._ask(self.model.hosts, zone)

    async def prices(self):
        return await self._ask(self.model.prices)

    async def notices(self, zone):
        return await self._ask(self.model.notices, zone)

    async def _ask(self, call, *args):
        if not self.reachable:
            return Unavailable("the cloud API cannot be reached from here")
        return await asyncio.shield(asyncio.ensure_future(call(*args)))
