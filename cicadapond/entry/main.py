"""Program `cicadapond-entry`: serves callers on one entry host."""

import asyncio
import gc
import pathlib
import random

from absl import logging

from cicadapond.admin import AdminServer, admin_application
from cicadapond.document import parse_document
from cicadapond.entry._caller_server import CallerServer
from cicadapond.entry._external_services import make_external_services
from cicadapond.entry._http_base import CallerParts
from cicadapond.entry._in_flight import InFlight
from cicadapond.entry._node import EntryNode
from cicadapond.entry._settings import EntrySettings
from cicadapond.kernel import Findings, LoopClock, Metrics, SettingsError, load_plugins
from cicadapond.kernel._program import run_program, server_help

HELP = server_help(
    "cicadapond-entry",
    "Serves callers on an entry host, by the interface of the product itself.",
)


GC_THRESHOLDS = (20_000, 20, 20)  # allocations, then collections of the next younger generation


class EntryProcess:
    """One running entry: its node and its HTTP servers.

    Args:
      cfg: The entry's settings.

    Raises:
      SettingsError: If the document that the settings name is invalid.
    """

    def __init__(self, cfg: EntrySettings):
        load_plugins("cicadapond.plugins")
        self._cfg = cfg
        self.metrics = Metrics()
        self.clock = LoopClock()
        rng = random.Random()
        services = make_external_services(cfg, self.clock, self.metrics, rng)
        fixed_document = _read_document(cfg) if services.storage is None else None
        self.node = EntryNode(cfg, services, self.clock, self.metrics, rng, fixed_document)
        self.in_flight = InFlight()
        self._ready = False
        self._caller_parts = CallerParts(
            self.node.core, self.clock, self.metrics, cfg.http_limits, self.in_flight
        )
        self._http_server = CallerServer(self._caller_parts)
        self._admin_server = AdminServer(
            admin_application(self.metrics, self.state, lambda: self._ready)
        )

    async def start(self) -> None:
        """Serves the admin API, then, once document and hosts are known, callers."""
        cfg = self._cfg
        self._admin_server.listen(cfg.admin.port, cfg.admin.host)
        await self.node.start()
        self._http_server.listen(cfg.http.port, cfg.http.host)
        self._ready = True
        logging.info("entry %s listens on %s, admin on %s", cfg.name, cfg.http, cfg.admin)

    def state(self) -> dict:
        """Returns the complete state of the process, for a dump."""
        return {
            "name": self._cfg.name,
            "zone": self._cfg.zone,
            "now": self.clock.now(),
            "ready": self._ready,
            "in_flight": self.in_flight.count,
            **self.node.state(),
        }

    async def stop(self) -> None:
        """Stops gracefully, without cutting off requests in flight.

        The process first reports not ready and goes on serving for `balancer_delay`, by which time
        the load balancer should have noticed; then it accepts no more connections and waits up to
        `stop_limit` for requests in flight.
        """
        self._ready = False
        logging.info("entry %s stops: %d requests in flight", self._cfg.name, self.in_flight.count)
        await self.clock.sleep(self._cfg.balancer_delay)
        self._caller_parts.stopping = True
        self._http_server.stop()
        await self._finish_requests()
        await self.node.stop()
        await self._http_server.close_all_connections()
        self._admin_server.stop()
        await self._admin_server.close_all_connections()

    async def _finish_requests(self):
        limit = self._cfg.stop_limit.total_seconds()
        try:
            await asyncio.wait_for(self.in_flight.wait_idle(), limit)
        except TimeoutError:
            self.metrics.count("stops_with_requests_in_flight")
            logging.error("%d requests still in flight after %s s", self.in_flight.count, limit)


def _read_document(cfg):
    findings = Findings()
    sections = {
        name: pathlib.Path(path).read_text(encoding="utf-8") for name, path in cfg.document.items()
    }
    intent = parse_document(sections, 1, findings)
    if findings:
        raise SettingsError(findings)
    return intent


async def serve(cfg: EntrySettings, stop) -> None:
    """Runs an entry until `stop` is set."""
    process = EntryProcess(cfg)
    await process.start()
    await stop.wait()
    await process.stop()


def run() -> None:
    """Runs the program.

    Objects created by the imports live as long as the process, so they are excluded from garbage
    collection, and the collector runs less often than by Python's default.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    run_program(HELP, EntrySettings, serve)


if __name__ == "__main__":
    run()
