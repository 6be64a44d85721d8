"""Program `cicadapond-standin`: simulated engines, services and platform over HTTP."""

import random

import attrs
import tornado.httpserver
from absl import logging

from cicadapond.data import Endpoint
from cicadapond.kernel import LoopClock, setting
from cicadapond.kernel._program import run_program, server_help
from cicadapond.standin._engine import EngineModel
from cicadapond.standin._engine_http import EngineListener
from cicadapond.standin._engine_settings import EngineSettings, EngineTiming
from cicadapond.standin._faults import StorageTiming
from cicadapond.standin._hosts_process import HostStandins, HostStandinSettings
from cicadapond.standin._objects import ObjectModel
from cicadapond.standin._service import RunCounts, ServiceModel, ServiceTiming
from cicadapond.standin._service_http import service_application
from cicadapond.standin._storage_http import object_application, table_application
from cicadapond.standin._tables import TableModel

HELP = server_help(
    "cicadapond-standin",
    "Runs stand-ins of engines, services and the platform over HTTP, with faults on order.",
)


@attrs.frozen
class StandinSettings:
    """Which stand-ins one process runs, and their timing; None leaves one out."""

    engines: dict[str, Endpoint] = setting(factory=dict)
    timing: EngineTiming = attrs.field(factory=EngineTiming)
    engine: EngineSettings = attrs.field(factory=EngineSettings)
    tables: Endpoint | None = None
    objects: Endpoint | None = None
    storage_timing: StorageTiming = attrs.field(factory=StorageTiming)
    hosts: HostStandinSettings | None = None
    services: dict[str, Endpoint] = setting(factory=dict)
    service_timing: ServiceTiming = attrs.field(factory=ServiceTiming)
    seed: int = 0


class StandinProcess:
    """Runs the stand-ins of one process."""

    def __init__(self, cfg: StandinSettings):
        self._cfg = cfg
        self._clock = LoopClock()
        self._servers = []
        self.hosts: HostStandins | None = None
        self.engines: dict[str, EngineModel] = {}
        self.run_counts = RunCounts()
        self._engine_listeners = []

    def start(self) -> None:
        """Starts a listener for every stand-in."""
        for name, endpoint in self._cfg.engines.items():
            self._run_engine(name, endpoint)
        self._start_storage()
        self._start_services()
        if self._cfg.hosts is not None:
            rng = random.Random(self._cfg.seed)
            self.hosts = HostStandins(self._cfg.hosts, self._clock, rng, self._run_engine)
            self.hosts.listen(self._listen)

    def _run_engine(self, name, endpoint):
        cfg = self._cfg
        rng = random.Random(f"{cfg.seed} {name}")
        self.engines[name] = EngineModel(cfg.timing, self._clock, cfg.engine, name, rng)
        listener = EngineListener(self.engines[name], endpoint)
        listener.start()
        self._engine_listeners.append(listener)
        logging.info("engine %s listens on %s", name, endpoint)

    def _start_services(self):
        cfg = self._cfg
        rng = random.Random(cfg.seed)
        for name, endpoint in cfg.services.items():
            model = ServiceModel(name, self._clock, rng, cfg.service_timing, self.run_counts)
            self._listen(f"service {name}", service_application(model), endpoint)

    def _start_storage(self):
        cfg = self._cfg
        rng = random.Random(cfg.seed)
        if cfg.tables is not None:
            tables = TableModel(self._clock, rng, cfg.storage_timing)
            self._listen("table service", table_application(tables), cfg.tables)
        if cfg.objects is not None:
            objects = ObjectModel(self._clock, rng, cfg.storage_timing)
            self._listen("object store", object_application(objects), cfg.objects)

    def _listen(self, what, application, endpoint):
        server = tornado.httpserver.HTTPServer(application)
        server.listen(endpoint.port, endpoint.host)
        self._servers.append(server)
        logging.info("%s listens on %s", what, endpoint)

    async def stop(self) -> None:
        """Stops all listeners and closes their connections."""
        if self.hosts is not None:
            await self.hosts.close()
        for listener in self._engine_listeners:
            await listener.stop()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()


async def serve(cfg: StandinSettings, stop) -> None:
    """Runs the stand-ins until `stop` is set."""
    process = StandinProcess(cfg)
    process.start()
    await stop.wait()
    await process.stop()


def run() -> None:
    """Runs the program."""
    run_program(HELP, StandinSettings, serve)


if __name__ == "__main__":
    run()
