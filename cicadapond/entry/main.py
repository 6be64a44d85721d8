"""Program `cicadapond-entry`: serves callers on one entry host."""

import pathlib

import tornado.httpserver
from absl import logging

from cicadapond.document import parse_document
from cicadapond.entry._core import EntryCore
from cicadapond.entry._fleet import HostListWatcher
from cicadapond.entry._http import caller_application
from cicadapond.entry._settings import EntrySettings
from cicadapond.kernel import Findings, LoopClock, Metrics, SettingsError, TaskGroup, load_plugins
from cicadapond.kernel._program import run_program
from cicadapond.platform import host_lists


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
        self.core = EntryCore(cfg, self.clock, self.metrics, _read_document(cfg))
        self._server = tornado.httpserver.HTTPServer(caller_application(self.core))

    async def start(self) -> None:
        """Reads the host list once, then listens."""
        cfg = self._cfg
        hosts = host_lists.create(
            cfg.platform.hosts.adapter, cfg.platform.hosts, cfg.zone, self.clock, self.metrics
        )
        watcher = HostListWatcher(self.core.fleet, hosts, cfg, self.clock, self.metrics)
        await watcher.read_once()
        self._tasks.start(watcher)
        self._server.listen(cfg.http.port, cfg.http.host)
        logging.info("entry %s listens on %s", cfg.name, cfg.http)

    async def stop(self) -> None:
        """Takes no more connections, then ends all tasks."""
        self._server.stop()
        await self._tasks.stop()
        await self._server.close_all_connections()


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
