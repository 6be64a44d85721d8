"""Program `cicadapond-entry`: serves callers on one entry host."""

import asyncio
import pathlib
import random

import tornado.httpserver
from absl import logging

from cicadapond.admin import admin_application
from cicadapond.document import parse_document
from cicadapond.entry._core import EntryCore
from cicadapond.entry._fleet import Fleet
from cicadapond.entry._fleet_tasks import HostListWatcher
from cicadapond.entry._http import caller_application
from cicadapond.entry._http_base import CallerParts
from cicadapond.entry._in_flight import InFlight
from cicadapond.entry._parts import Parts
from cicadapond.entry._settings import EntrySettings
from cicadapond.kernel import Findings, LoopClock, Metrics, SettingsError, TaskGroup, load_plugins
from cicadapond.kernel._program import run_program
from cicadapond.peer import NoPeers
from cicadapond.platform import host_lists

MAX_BODY_BYTES = 1 << 40  # the handlers answer 413 much earlier and keep no more


class EntryProcess:
    """One running entry: its core, its tasks and its servers.

    Args:
      cfg: The entry's settings.

    Raises:
      SettingsError: If the document that the settings name does not hold.
    """

    def __init__(self, cfg: EntrySettings):
        load_plugins("cicadapond.plugins")
        self._cfg = cfg
        self._tasks = TaskGroup()
        self.metrics = Metrics()
        self.clock = LoopClock()
        self.core = EntryCore(self._parts(_read_document(cfg)))
        self.in_flight = InFlight()
        self._ready = False
        self._callers = CallerParts(
            self.core, self.clock, self.metrics, cfg.http_limits, self.in_flight
        )
        self._server = _caller_server(cfg.http_limits, self._callers)
        self._admin = tornado.httpserver.HTTPServer(
            admin_application(self.metrics, self.state, lambda: self._ready)
        )

    def _parts(self, intent):
        return Parts(
            cfg=self._cfg,
            clock=self.clock,
            metrics=self.metrics,
            rng=random.Random(),
            intent=lambda: intent,
            fleet=Fleet(self._cfg, self.clock, self.metrics),
            peers=NoPeers(),
        )

    async def start(self) -> None:
        """Reads the host list once, then listens."""
        cfg = self._cfg
        hosts = host_lists.create(
            cfg.platform.hosts.adapter, cfg.platform.hosts, cfg.zone, self.clock, self.metrics
        )
        watcher = HostListWatcher(self.core.parts.fleet, hosts, cfg, self.clock, self.metrics)
        await watcher.read_once()
        self._tasks.start(watcher)
        self.core.start()
        self._server.listen(cfg.http.port, cfg.http.host)
        self._admin.listen(cfg.admin.port, cfg.admin.host)
        self._ready = True
        logging.info("entry %s listens on %s, admin on %s", cfg.name, cfg.http, cfg.admin)

    def state(self) -> dict:
        """Returns the whole state of the process, for a dump."""
        return {
            "name": self._cfg.name,
            "zone": self._cfg.zone,
            "now": self.clock.now(),
            "ready": self._ready,
            "in_flight": self.in_flight.count,
            "tasks": len(self._tasks),
            "failed_tasks": self._tasks.failed,
            **self.core.state(),
        }

    async def stop(self) -> None:
        """Stops as planned: no request in flight is cut off.

        The process first says that it is not ready and goes on serving until the balancer has
        noticed; then it takes no more connections and waits for the requests in flight.
        """
        self._ready = False
        logging.info("entry %s stops: %d requests in flight", self._cfg.name, self.in_flight.count)
        await self.clock.sleep(self._cfg.balancer_delay)
        self._callers.stopping = True
        self._server.stop()
        await self._finish_requests()
        await self.core.stop()
        await self._tasks.stop()
        await self._server.close_all_connections()
        self._admin.stop()
        await self._admin.close_all_connections()

    async def _finish_requests(self):
        limit = self._cfg.stop_limit.total_seconds()
        try:
            await asyncio.wait_for(self.in_flight.wait_idle(), limit)
        except TimeoutError:
            self.metrics.count("stops_with_requests_in_flight")
            logging.error("%d requests still in flight after %s s", self.in_flight.count, limit)


def _caller_server(limits, parts):
    return tornado.httpserver.HTTPServer(
        caller_application(parts),
        idle_connection_timeout=limits.header_timeout.total_seconds(),
        body_timeout=limits.body_timeout.total_seconds(),
        max_body_size=MAX_BODY_BYTES,
    )


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
    """Runs the program."""
    run_program(EntrySettings, serve)


if __name__ == "__main__":
    run()
