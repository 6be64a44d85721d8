"""Processor time of polling an engine's load report and cache events, and the host list.

Client and server run in one process on loopback, so the measured time is an upper bound for either.
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
HOST_LIST_CALLS = 30
HOSTS = 600
ENGINES_PER_PROCESS = 600 / 420


def _serve(application):
    """Starts an HTTP server on a free port; returns the server and its endpoint."""
    server = tornado.httpserver.HTTPServer(application)
    (sock,) = tornado.netutil.bind_sockets(0, LOOPBACK)
    server.add_socket(sock)
    return server, Endpoint(LOOPBACK, sock.getsockname()[1])


async def _cpu_seconds_per_call(call, count) -> float:
    """Returns the mean processor time of one call in seconds."""
    await call()
    before = time.process_time()
    for _ in range(count):
        outcome = await call()
        if not isinstance(outcome, Ok):
            raise RuntimeError(f"a poll failed: {outcome}")
    return (time.process_time() - before) / count


async def _measure():
    clock, metrics = LoopClock(), Metrics()
    engine_server, endpoint = _serve(engine_application(EngineModel(EngineTiming(), clock)))
    server = BackendServer("engine-1", ServerKind.ENGINE, "pool", "yqr", endpoint)
    engine = SseEngine(server, clock, metrics)
    model = HostListModel(clock, seconds(0))
    for number in range(HOSTS):
        name = f"engine-yqr-{number}"
        model.put(BackendServer(name, ServerKind.ENGINE, "pool", "yqr", endpoint))
    list_server, list_endpoint = _serve(host_list_application(model))
    load_plugins("cicadapond.plugins")
    settings = AdapterSettings("standin", f"http://{list_endpoint}")
    hosts = host_lists.create("standin", settings, "yqr", clock, metrics)
    costs = (
        await _cpu_seconds_per_call(engine.load_report, POLLS),
        await _cpu_seconds_per_call(lambda: engine.cache_events(0), POLLS),
        await _cpu_seconds_per_call(hosts.list, HOST_LIST_CALLS),
    )
    for http_server in (engine_server, list_server):
        http_server.stop()
        await http_server.close_all_connections()
    return costs


@experiments.register("polls")
class Polls(Experiment):
    """Measures the processor time of polling."""

    summary = "processor time that one process spends polling engines and the host list"

    def run(self, seeds):
        report, events, host_list = asyncio.run(_measure())
        list_interval_seconds = (HOSTS * INTERVAL_PER_HOST).total_seconds()
        rows = (
            ("load report", 1000 * report, ENGINES_PER_PROCESS),
            ("cache events", 1000 * events, ENGINES_PER_PROCESS),
            (f"host list of {HOSTS}", 1000 * host_list, 1 / list_interval_seconds),
        )
        rows_with_share = tuple((*row, row[1] * row[2] / 10) for row in rows)
        columns = ("poll", "ms of a core, both ends", "times a second", "CPU, % of a core")
        return (
            Table("Polls of one process, 600 engines and 420 processes", columns, rows_with_share),
        )
