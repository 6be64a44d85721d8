"""Program `cicadapond-demo`: stand-ins and entries of three data centres on loopback."""

import asyncio
import datetime
import importlib.resources

import tornado.httpclient
from absl import app, flags, logging

from cicadapond.data import BackendServer, Endpoint, ServerKind
from cicadapond.document import SECTIONS
from cicadapond.entry import EntrySettings
from cicadapond.entry.main import EntryProcess
from cicadapond.kernel._program import stop_on_signals
from cicadapond.platform import AdapterSettings, PlatformSettings
from cicadapond.standin.main import StandinProcess, StandinSettings

LOOPBACK = "127.0.0.1"
ZONES = ("yqr", "yxe", "ywg")
ENGINE_PORT = 18200
ADMIN_PORT_OFFSET = 100
ENGINES_PER_ZONE = 2
DEMO_HEADERS = {"Authorization": "Bearer demo-counter-key"}

_HTTP_PORT = flags.DEFINE_integer(
    "http_port", 18080, "The first entry's port; the next ones follow it.", 1024, 65000
)
_SECONDS = flags.DEFINE_float("seconds", 0.0, "End after so many seconds; 0 runs on.", 0.0)


def demo_engines() -> tuple[BackendServer, ...]:
    """Returns the demo's engines, two in each data centre."""
    return tuple(
        BackendServer(
            name=f"engine-{zone}-{number}",
            kind=ServerKind.ENGINE,
            pool="shade-pool",
            zone=zone,
            endpoint=Endpoint(LOOPBACK, ENGINE_PORT + 10 * place + number),
        )
        for place, zone in enumerate(ZONES)
        for number in range(ENGINES_PER_ZONE)
    )


def demo_entries(first_port: int, servers) -> list[EntrySettings]:
    """Returns the settings of the demo's entries, one in each data centre."""
    sections = importlib.resources.files("cicadapond.demo").joinpath("document")
    document = {name: str(sections.joinpath(f"{name}.jsonc")) for name in SECTIONS}
    platform = PlatformSettings(hosts=AdapterSettings(adapter="static", servers=servers))
    return [
        EntrySettings(
            name=f"entry-{zone}",
            zone=zone,
            http=Endpoint(LOOPBACK, first_port + place),
            admin=Endpoint(LOOPBACK, first_port + ADMIN_PORT_OFFSET + place),
            platform=platform,
            document=document,
            balancer_delay=datetime.timedelta(),
        )
        for place, zone in enumerate(ZONES)
    ]


async def run_demo(first_port: int, seconds: float) -> None:
    """Runs the demo until it is interrupted or its time is over."""
    stop = stop_on_signals()
    servers = demo_engines()
    standins = StandinProcess(
        StandinSettings(engines={server.name: server.endpoint for server in servers})
    )
    standins.start()
    entries = [EntryProcess(cfg) for cfg in demo_entries(first_port, servers)]
    for entry in entries:
        await entry.start()
    for cfg in demo_entries(first_port, servers):
        print(f"{cfg.name:12} http://{cfg.http}", flush=True)
    await _ask_once(first_port)
    print(f"ready http://{LOOPBACK}:{first_port}/v1/completions", flush=True)
    try:
        await asyncio.wait_for(stop.wait(), seconds or None)
    except TimeoutError:
        logging.info("the demo's time is over")
    for entry in entries:
        await entry.stop()
    await standins.stop()


async def _ask_once(port):
    body = '{"model": "shade-model", "prompt": "Which red suits a prairie winter?"}'
    client = tornado.httpclient.AsyncHTTPClient()
    await client.fetch(
        f"http://{LOOPBACK}:{port}/v1/completions", method="POST", body=body, headers=DEMO_HEADERS
    )


def run() -> None:
    """Runs the program."""
    app.run(lambda argv: asyncio.run(run_demo(_HTTP_PORT.value, _SECONDS.value)))


if __name__ == "__main__":
    run()
