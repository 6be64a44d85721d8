"""cicadapond-gateway: serves callers on an edge machine of the users' platform."""

import asyncio
import functools
import os
import random
import sys
import typing

import attrs
from absl import flags, logging

from cicadapond.admin import AdminServer, admin_application
from cicadapond.eventlog import EventLog, log_end
from cicadapond.gateway._adapters import PlatformAdapters
from cicadapond.gateway._node import Node
from cicadapond.gateway._platform_adapters import platform_adapters
from cicadapond.gateway._time import TrueClock
from cicadapond.gateway.settings import ResidencyUse, ZoneCostUse
from cicadapond.kernel import Metrics
from cicadapond.kernel._help import (
    EXIT_SETTINGS,
    SERVER_EXIT_CODES,
    ProgramHelp,
    run_with_help,
)
from cicadapond.kernel._signals import stop_on_signals
from cicadapond.platform import SETTINGS_VARIABLE, read_settings

SETTINGS_POLL_S = 2.0

_SETTINGS = flags.DEFINE_string(
    "settings", None, f"Path of the settings file; default: the value of {SETTINGS_VARIABLE}."
)
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, report every finding and exit.")
_METRICS_PORT = flags.DEFINE_integer(
    "metrics_port", 0, "Port on which to serve metrics; 0 to serve none."
)
_ZONE_COSTS = flags.DEFINE_enum_class(
    "zone_costs",
    ZoneCostUse.OFF,
    ZoneCostUse,
    "Services whose requests leave their data centre by a planned share: none (off), those whose "
    "configuration states the bandwidth of their engines' links (auto), or all with engines (on).",
)

_RESIDENCY = flags.DEFINE_enum_class(
    "residency",
    ResidencyUse.AUTO,
    ResidencyUse,
    "Services whose engines are asked which prompt parts they keep: none (off), those whose "
    "engines report the pace of their hosts (auto), or all (on).  The configuration must state "
    "how many calls an engine keeps waiting, the bytes of a token and the bandwidth of its link.",
)

HELP = ProgramHelp(
    "cicadapond-gateway",
    "Serves callers on an edge machine of the users' platform, before its engines and services.",
    flags=("settings", "check", "metrics_port"),
    examples=(
        "cicadapond-gateway --settings=settings.conf --metrics_port=9464",
        "cicadapond-gateway --settings=settings.conf --check",
    ),
    exit_codes=SERVER_EXIT_CODES,
)


def _load(path):
    cfg, findings = read_settings(path, _METRICS_PORT.value)
    for finding in findings:
        print(finding, file=sys.stderr)
    return cfg and attrs.evolve(cfg, zone_costs=_ZONE_COSTS.value, residency=_RESIDENCY.value)


def _listen(application, endpoint):
    server = AdminServer(application)
    server.listen(endpoint.port, endpoint.host)
    return server


async def _serve(cfg, path, make_adapters):
    reload = asyncio.Event()
    stop = stop_on_signals(reload.set)
    if stop.is_set():
        return
    clock, metrics = TrueClock(), Metrics()
    log = EventLog(cfg.name, sys.stdout.fileno(), clock, metrics)
    log.write("started", zone=cfg.zone, pid=os.getpid())
    with log_end(log):
        adapters = make_adapters(cfg, clock, log, metrics)
        node = Node(cfg, adapters, clock, log, metrics, random.Random())
        await node.start()
        application = admin_application(metrics, node.state, node.is_ready)
        _listen(application, cfg.readiness)
        if cfg.metrics is not None:
            _listen(application, cfg.metrics)
        await _until_stopped(node, path, stop, reload)
        await node.stop(stop.signal_name)


async def _until_stopped(node, path, stop, reload):
    """Waits for a stop signal.

    On SIGHUP and when the settings file changes, checks the file and logs whether the settings
    differ from those in use.
    """
    changed_at = _changed_at(path)
    while not stop.is_set():
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await stop.wait()
        except TimeoutError:
            pass  # not stopped within the poll interval
        now_changed_at = _changed_at(path)
        if reload.is_set() or now_changed_at != changed_at:
            reload.clear()
            changed_at = now_changed_at
            cfg = _load(path)
            if cfg is not None:
                node.reload(cfg)


def _changed_at(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def _main(make_adapters, argv):
    logging.use_absl_handler()
    path = _SETTINGS.value or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"--settings or {SETTINGS_VARIABLE} is required; see --help", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    cfg = _load(path)
    if cfg is None:
        sys.exit(EXIT_SETTINGS)
    if _CHECK.value:
        print(f"{path}: settings are valid")
        return
    asyncio.run(_serve(cfg, path, make_adapters))


def run(make_adapters: typing.Callable[..., PlatformAdapters] = platform_adapters) -> None:
    """Runs the program.

    Args:
      make_adapters: Makes the adapters to the platform, as `platform_adapters`.
    """
    run_with_help(HELP, functools.partial(_main, make_adapters))


if __name__ == "__main__":
    run()
