"""Program `cicadapond-demo`: the system in one process on loopback, as three data centres."""

import asyncio
import logging
import pathlib
import random
import signal
import sys
import tempfile

import tornado.httpclient
from absl import flags
from absl import logging as absl_logging

from cicadapond.controller.main import ControllerProcess
from cicadapond.demo._plan import (
    DEFAULT_PORT,
    DEMO_HEADERS,
    LAST_OFFSET,
    LOOPBACK,
    OPERATOR_KEY,
    SERVICE,
    demo_controllers,
    demo_platform_entries,
    demo_standins,
    demo_texts,
)
from cicadapond.document import DocumentEditor, DocumentStore, Edit
from cicadapond.entry.main import EntryProcess
from cicadapond.gateway.harness import deployment
from cicadapond.kernel import LoopClock, Metrics, Ok, load_plugins, seconds
from cicadapond.kernel._help import ProgramHelp, run_with_help
from cicadapond.kernel._signals import stop_on_signals
from cicadapond.platform.standin import STREAM_PREFIX
from cicadapond.provider import table_services
from cicadapond.standin.main import StandinProcess

FIRST_EDIT_TIMEOUT = seconds(10)
START_ATTEMPTS = 50
START_RETRY_INTERVAL = seconds(0.2)

_HTTP_PORT = flags.DEFINE_integer(
    "http_port",
    DEFAULT_PORT,
    "Port of the first entry; all other ports are derived from it.",
    1024,
    65535 - LAST_OFFSET,
)
_PLATFORM = flags.DEFINE_bool(
    "platform", False, "Run a gateway in front of a simulated platform instead."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 0.0, "Stop after this many seconds; 0 runs until interrupted.", 0.0
)


HELP = ProgramHelp(
    "cicadapond-demo",
    "Runs the product in one process on loopback, as three data centres, or one gateway before"
    " stand-ins of the users' platform. Prints lines to try once it is ready.",
    flags=("http_port", "platform", "seconds"),
    examples=("cicadapond-demo", "cicadapond-demo --platform --seconds=40"),
    exit_codes={0: "ended after --seconds, or by a signal", 1: "failed"},
)


class DemoError(Exception):
    """The demo could not start."""


async def run_demo(first_port: int, duration: float) -> None:
    """Runs the demo until it is interrupted or `duration` has elapsed.

    Args:
      first_port: The first entry's port.
      duration: Seconds to run, 0 for no end.

    Raises:
      DemoError: If it cannot start.
    """
    stop = _stop_on_signals()
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
    load_plugins("cicadapond.plugins")
    standins = StandinProcess(demo_standins(first_port))
    standins.start()
    settings = demo_platform_entries(first_port)
    await write_document(settings[0])
    entries = [EntryProcess(cfg) for cfg in settings]
    await asyncio.gather(*(entry.start() for entry in entries))
    controllers = [ControllerProcess(cfg) for cfg in demo_controllers(first_port)]
    await asyncio.gather(*(controller.start() for controller in controllers))
    _print_addresses(first_port, settings)
    for cfg in settings:
        await _wait_until_serving(cfg)
    print(f"ready http://{LOOPBACK}:{first_port}/v1/completions", flush=True)
    try:
        await asyncio.wait_for(stop.wait(), duration or None)
    except TimeoutError:
        absl_logging.info("the demo's run time has elapsed")
    await asyncio.gather(*(controller.stop() for controller in controllers))
    await asyncio.gather(*(entry.stop() for entry in entries))
    await standins.stop()


async def write_document(cfg) -> None:
    """Writes the demo's document to the table service, as the operator's first edit.

    Args:
      cfg: The settings of an entry, for its table service.

    Raises:
      DemoError: If the edit is not accepted.
    """
    clock = LoopClock()
    tables = table_services.create("standin", cfg.platform.tables, cfg.zone, clock, Metrics())
    editor = DocumentEditor(DocumentStore(tables), clock, random.Random())
    texts = demo_texts()
    edit = Edit("demo", OPERATOR_KEY, texts, dict.fromkeys(texts, 0))
    outcome = await editor.apply(edit, FIRST_EDIT_TIMEOUT)
    if not isinstance(outcome, Ok):
        raise DemoError(f"the document was not accepted: {outcome}")


def _print_addresses(first_port, settings):
    standins = demo_standins(first_port)
    for cfg in settings:
        print(f"entry    {cfg.name:20} http://{cfg.http}")
        print(f"admin    {cfg.name:20} http://{cfg.admin}/debug/state")
    for cfg in demo_controllers(first_port):
        print(f"control  {cfg.name:20} http://{cfg.admin}/debug/state")
    for kind, endpoints in (("engine", standins.engines), ("service", standins.services)):
        for name, endpoint in endpoints.items():
            print(f"{kind:8} {name:20} http://{endpoint}")
    print(f"platform {'table service':20} http://{standins.tables}")
    print(f"platform {'object store':20} http://{standins.objects}", flush=True)


async def _wait_until_serving(cfg):
    """Sends an entry a completion and a stock check until both succeed.

    Raises:
      DemoError: If they still fail after START_ATTEMPTS attempts.
    """
    body = '{"model": "shade-model", "prompt": "Which red suits a prairie winter?"}'
    client = tornado.httpclient.AsyncHTTPClient()
    reason = ""
    for _ in range(START_ATTEMPTS):
        try:
            for path in ("/v1/completions", f"/services/{SERVICE}/stock"):
                await client.fetch(
                    f"http://{cfg.http}{path}", method="POST", body=body, headers=DEMO_HEADERS
                )
            return
        except (OSError, tornado.httpclient.HTTPError) as exc:
            reason = str(exc)
            await asyncio.sleep(START_RETRY_INTERVAL.total_seconds())
    raise DemoError(f"{cfg.name} does not answer: {reason}")


async def run_platform_demo(duration: float) -> None:
    """Runs a gateway in front of a simulated platform.

    Args:
      duration: Seconds to run, 0 for no end.
    """
    stop = _stop_on_signals()
    with tempfile.TemporaryDirectory() as folder:
        async with deployment(pathlib.Path(folder)) as setup:
            print(f"ready http://{LOOPBACK}:{setup.port}{STREAM_PREFIX}; a stream:")
            print(
                f"  curl -N http://{LOOPBACK}:{setup.port}{STREAM_PREFIX}x {setup.curl_headers()}"
            )
            sys.stdout.flush()
            try:
                await asyncio.wait_for(stop.wait(), duration or None)
            except TimeoutError:
                absl_logging.info("the demo's run time has elapsed")
            await setup.node.stop()


def _main(argv):
    if _PLATFORM.value:
        asyncio.run(run_platform_demo(_SECONDS.value))
    else:
        asyncio.run(run_demo(_HTTP_PORT.value, _SECONDS.value))


def _stop_on_signals():
    """Returns an event that is set by a signal to stop, and when the terminal closes."""
    stop = stop_on_signals()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, stop.set)
    return stop


def run() -> None:
    """Runs the program."""
    run_with_help(HELP, _main)


if __name__ == "__main__":
    run()
