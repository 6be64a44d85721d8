"""The simulated cloud API, host list and weight store of a stand-in process."""

import datetime
import random
import typing

import attrs

from cicadapond.data import BackendServer, Endpoint, ServerKind
from cicadapond.kernel import Clock, seconds, setting
from cicadapond.provider import CloudHost
from cicadapond.standin._cloud import CloudModel, CloudOffer, CloudTiming
from cicadapond.standin._cloud_http import (
    cloud_application,
    host_list_application,
    weight_application,
)
from cicadapond.standin._host_list import HostListModel
from cicadapond.standin._weights import WeightModel, WeightSettings


@attrs.frozen
class HostStandinSettings:
    """Addresses of the simulated cloud API, host list and weight store, and the cloud's offers.

    Bought hosts run their engines at `engines.host`, on ports from `engines.port` upwards.
    """

    cloud: Endpoint
    list: Endpoint
    weights: Endpoint
    engines: Endpoint
    offers: tuple[CloudOffer, ...] = ()
    timing: CloudTiming = attrs.field(factory=CloudTiming)
    weight_store: WeightSettings = attrs.field(factory=WeightSettings)
    lag: datetime.timedelta = setting(default=seconds(5))
    checks_fencing: bool = True


class HostStandins:
    """A simulated cloud whose hosts run simulated engines in this process.

    Args:
      cfg: Addresses, offers and timing.
      clock: Gives the time.
      rng: Decides price changes, start delays and lost answers.
      run_engine: Starts the engine of a name at an endpoint.
    """

    def __init__(
        self,
        cfg: HostStandinSettings,
        clock: Clock,
        rng: random.Random,
        run_engine: typing.Callable[[str, Endpoint], None],
    ):
        self._cfg = cfg
        self._run_engine = run_engine
        self._next_port = cfg.engines.port
        self.hosts = HostListModel(clock, cfg.lag)
        self.weights = WeightModel(cfg.weight_store, clock)
        self.cloud = CloudModel(
            cfg.offers, clock, rng, self._start_server, lambda host: None, cfg.timing
        )
        self.cloud.on_change.append(self.hosts.on_host_change)

    def listen(self, listen: typing.Callable) -> None:
        """Starts each server by calling `listen` with (name, application, endpoint)."""
        cfg = self._cfg
        listen("cloud API", cloud_application(self.cloud), cfg.cloud)
        listen("host list", host_list_application(self.hosts), cfg.list)
        listen("weight store", weight_application(self.weights), cfg.weights)

    async def close(self) -> None:
        """Cancels all pending starts and reclaims of hosts."""
        await self.cloud.close()

    def _start_server(self, host: CloudHost) -> BackendServer:
        endpoint = Endpoint(self._cfg.engines.host, self._next_port)
        self._next_port += 1
        name = f"{host.pool}-{host.zone}-{host.host_id}"
        self._run_engine(name, endpoint)
        return BackendServer(
            name=name,
            kind=ServerKind.ENGINE,
            pool=host.pool,
            zone=host.zone,
            endpoint=endpoint,
            machine_class=host.machine_class,
            market=host.market,
            checks_fencing=self._cfg.checks_fencing,
        )
