"""What polling costs a process: load reports and cache events of an engine, and the host list.

Both ends are in one process on loopback, so that the processor time is an upper bound for either.
"""

import asyncio
import time

import tornado.httpserver
import tornado.netutil

from cicadapond.data import BackendServer, Endpoint, ServerKind
from cicadapond.entry._fleet_tasks import INTERVAL_PER_HOST
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import LoopClock, Metrics, Ok, load_plugins, seconds
from cicadapond.plugins.engine_sse import SseEngine
from cicadapond.provider import AdapterSettings, host_lists
from cicadapond.standin import EngineModel, EngineTiming, HostListModel
from cicadapond.standin._cloud_http import host_list_application
from cicadapond.standin._engine_http import engine_application

LOOPBACK = "127.0.0.1"
POLLS = 300
LISTS = 30
HOSTS = 600
ENGINES_PER_PROCESS = 600 / 420


def _serve(application):
    """Serves an application on a free port; returns its server and endpoint."""
    server = tornado.httpserver.HTTPServer(application)
    (sock,) = tornado.netutil.bind_sockets(0, LOOPBACK)
    server.add_socket(sock)
    return server, Endpoint(LOOPBACK, sock.getsockname()[1])


async def _cost(call, count) -> float:
    """Returns the processor seconds of one call."""
    await call()
    before = time.process_time()
    for _ in range(count):
        outcome = await call()
        if not isinstance(outcome, Ok):
            raise RuntimeError(f"a poll failed: {outcome}")
    return (time.process_time() - before) / count


async def _measure():
    clock, metrics = LoopClock(), Metrics()
    engines, endpoint = _serve(engine_application(EngineModel(EngineTiming(), clock)))
    server = BackendServer("engine-1", ServerKind.ENGINE, "pool", "yqr", endpoint)
    engine = SseEngine(server, clock, metrics)
    model = HostListModel(clock, seconds(0))
    for number in range(HOSTS):
        name = f"engine-yqr-{number}"
        model.put(BackendServer(name, ServerKind.ENGINE, "pool", "yqr", endpoint))
    lists, list_endpoint = _serve(host_list_application(model))
    load_plugins("cicadapond.plugins")
    settings = AdapterSettings("standin", f"http://{list_endpoint}")
    hosts = host_lists.create("standin", settings, "yqr", clock, metrics)
    costs = (
        await _cost(engine.load_report, POLLS),
        await _cost(lambda: engine.cache_events(0), POLLS),
        await _cost(hosts.list, LISTS),
    )
    for running in (engines, lists):
        running.stop()
        await running.close_all_connections()
    return costs


@experiments.register("polls")
class Polls(Experiment):
    """The processor time of polls."""

    summary = "what polling engines and the host list costs one process"

    def run(self, seeds):
        report, events, listing = asyncio.run(_measure())
        per_list = (HOSTS * INTERVAL_PER_HOST).total_seconds()
        rows = (
            ("load report", 1000 * report, ENGINES_PER_PROCESS),
            ("cache events", 1000 * events, ENGINES_PER_PROCESS),
            (f"host list of {HOSTS}", 1000 * listing, 1 / per_list),
        )
        shares = tuple((*row, row[1] * row[2] / 10) for row in rows)
        columns = ("poll", "ms of a core, both ends", "times a second", "CPU, % of a core")
        return (Table("Polls of one process, 600 engines and 420 processes", columns, shares),)
