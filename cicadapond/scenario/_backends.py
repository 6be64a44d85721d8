"""The backend servers of a scenario: engines and services on hosts of a stand-in cloud."""

import datetime
import random

import attrs

from cicadapond.data import BackendServer, Endpoint, Market, ServerKind
from cicadapond.kernel import Clock
from cicadapond.provider import BuyRequest
from cicadapond.scenario._network import Node, NodeEngine, NodeService
from cicadapond.scenario._observation import Crashed, FinalEngine, Noticed, Ran, Record
from cicadapond.scenario._script import Script
from cicadapond.standin import (
    CloudModel,
    CloudOffer,
    CloudTiming,
    DirectEngine,
    DirectService,
    EngineModel,
    EngineSettings,
    EngineTiming,
    HostListModel,
    RunCounts,
    ServiceModel,
)

MODEL = "shade-model"
POOL = "shade-pool"
SERVICE = "counter-app"
FIRST_VERSION = "v1"
MACHINE_CLASS = "small"
PRICES = {Market.RECLAIMABLE: 1.0, Market.ON_DEMAND: 3.0}
HOST_LIST_LAG = datetime.timedelta(seconds=5)
ENGINE_SLOTS = 32


@attrs.frozen
class Backend:
    """One backend server and the stand-in that simulates it."""

    host_id: str
    server: BackendServer
    model: EngineModel | ServiceModel


class Backends:
    """All backend servers of a scenario.

    Args:
      script: The scenario.
      clock: Gives the time.
      rng: Seeds the stand-ins.
      record: Receives the observations.
    """

    def __init__(self, script: Script, clock: Clock, rng: random.Random, record: Record):
        self._script = script
        self._clock = clock
        self._rng = rng
        self._record = record
        self._counts = RunCounts()
        self._number = 0
        self._started = False
        self.by_name: dict[str, Backend] = {}
        self.engine_models: dict[str, EngineModel] = {}
        self.host_list = HostListModel(clock, HOST_LIST_LAG)
        self.cloud = CloudModel(
            _offers(script),
            clock,
            random.Random(rng.random()),
            self._start_server,
            self._stop_server,
            CloudTiming(start_delay=datetime.timedelta(), start_jitter=datetime.timedelta()),
        )
        self.cloud.on_change.append(self.host_list.on_host_change)

    async def start(self) -> None:
        """Buys the initial hosts and waits until the host list shows them.

        Their engines start with the first version loaded, those of later hosts without a model.
        """
        for zone in self._script.zones:
            pools = [POOL] * zone.engines + [SERVICE] * zone.services
            for number, pool in enumerate(pools):
                await self.cloud.buy(
                    BuyRequest(
                        f"{zone.name}-{number}", pool, zone.name, MACHINE_CLASS, Market.RECLAIMABLE
                    )
                )
        await self._clock.sleep(HOST_LIST_LAG + datetime.timedelta(seconds=1))
        self._started = True

    def adapter(self, server: BackendServer, node: Node):
        """Returns the adapter through which one process reaches a server."""
        backend = self.by_name[server.name]
        if server.kind is ServerKind.ENGINE:
            direct = DirectEngine(backend.model, server, self.engine_models)
            return NodeEngine(direct, node, self._record)
        return NodeService(DirectService(backend.model, server, self._clock), node, self._record)

    def select(self, zone: str | None, kind: ServerKind | None, count: int | None) -> list[Backend]:
        """Returns up to `count` servers of a zone and kind, sorted by name; None means any."""
        selected = [
            backend
            for name, backend in sorted(self.by_name.items())
            if zone in (None, backend.server.zone) and kind in (None, backend.server.kind)
        ]
        return selected[:count]

    def reclaim(self, backend: Backend, notice: datetime.timedelta) -> None:
        """Gives notice of one host's reclaim; the host is reclaimed when the notice ends."""
        self._record.add(Noticed(self._clock.monotonic(), backend.server.name))
        self.cloud.reclaim(backend.host_id, notice)
        if isinstance(backend.model, EngineModel):
            backend.model.leaving = True
            backend.model.notice_at = self._clock.monotonic()

    def record_versions(self) -> None:
        """Records the model version of each engine that is up."""
        now = self._clock.monotonic()
        for name, model in sorted(self.engine_models.items()):
            if model.up:
                self._record.add(FinalEngine(now, name, model.state().value.version))

    async def close(self) -> None:
        """Ends the tasks of the stand-ins."""
        await self.cloud.close()
        for model in self.engine_models.values():
            await model.close()

    # Starting and stopping servers

    def _start_server(self, host):
        self._number += 1
        kind = ServerKind.ENGINE if host.pool == POOL else ServerKind.SERVICE
        server = BackendServer(
            name=f"{kind.value}-{host.zone}-{self._number}",
            kind=kind,
            pool=host.pool,
            zone=host.zone,
            endpoint=Endpoint("10.0.0.1", self._number),
            machine_class=host.machine_class,
            market=host.market,
        )
        rng = random.Random(self._rng.random())
        model = (
            self._engine(server, rng) if kind is ServerKind.ENGINE else self._service(server, rng)
        )
        self.by_name[server.name] = Backend(host.host_id, server, model)
        return server

    def _engine(self, server, rng):
        cfg = EngineSettings(
            model=None if self._started else MODEL,
            version=None if self._started else FIRST_VERSION,
            slots=ENGINE_SLOTS,
            checks_fencing=self._number % 2 == 0,
        )
        model = EngineModel(EngineTiming(), self._clock, cfg, server.name, rng)
        model.on_up_change.append(lambda up: self._record_crash(server.name, model, up))
        self.engine_models[server.name] = model
        return model

    def _service(self, server, rng):
        model = ServiceModel(server.name, self._clock, rng, counts=self._counts)
        model.on_run.append(lambda call, key: self._record_run(server.name, call, key))
        return model

    def _record_crash(self, name, model, up):
        if not up and not model.removed:
            self._record.add(Crashed(self._clock.monotonic(), name, ""))

    def _record_run(self, name, call, key):
        self._record.add(Ran(self._clock.monotonic(), name, call.request_id, key))

    def _stop_server(self, host):
        if host.server is not None and host.server.name in self.by_name:
            self.by_name[host.server.name].model.shut_down()


def _offers(script):
    return [
        CloudOffer(zone.name, MACHINE_CLASS, market, price)
        for zone in script.zones
        for market, price in PRICES.items()
    ]
