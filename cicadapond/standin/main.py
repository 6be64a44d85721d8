"""Program `cicadapond-standin`: stand-ins of engines and plain services on loopback."""

import attrs
import tornado.httpserver
from absl import logging

from cicadapond.data import Endpoint
from cicadapond.kernel import LoopClock, setting
from cicadapond.kernel._program import run_program
from cicadapond.standin._engine import EngineModel, EngineTiming
from cicadapond.standin._engine_http import engine_application


@attrs.frozen
class StandinSettings:
    """Which stand-ins one process runs, by name."""

    engines: dict[str, Endpoint] = setting(factory=dict)
    timing: EngineTiming = attrs.field(factory=EngineTiming)


class StandinProcess:
    """The stand-ins of one process."""

    def __init__(self, cfg: StandinSettings):
        self._cfg = cfg
        self._clock = LoopClock()
        self._servers = []

    def start(self) -> None:
        """Listens for every stand-in."""
        for name, endpoint in self._cfg.engines.items():
            model = EngineModel(self._cfg.timing, self._clock)
            server = tornado.httpserver.HTTPServer(engine_application(model))
            server.listen(endpoint.port, endpoint.host)
            self._servers.append(server)
            logging.info("engine %s listens on %s", name, endpoint)

    async def stop(self) -> None:
        """Ends all listeners and connections."""
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
    run_program(StandinSettings, serve)


if __name__ == "__main__":
    run()
