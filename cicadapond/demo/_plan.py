"""Names, ports and settings of the demo's processes, derived from the first entry's port."""

import datetime
import importlib.resources

from cicadapond.controller.main import ControllerSettings
from cicadapond.data import BackendServer, Endpoint, ServerKind
from cicadapond.document import SECTIONS
from cicadapond.entry import EntrySettings
from cicadapond.entry._settings import PeerAddress
from cicadapond.provider import AdapterSettings, PlatformSettings
from cicadapond.standin import EngineSettings
from cicadapond.standin.main import StandinSettings

LOOPBACK = "127.0.0.1"
ZONES = ("yqr", "yxe", "ywg")
DEFAULT_PORT = 18080
MODEL = "shade-model"
MODEL_VERSION = "2026-11"
MODEL_POOL = "shade-pool"
SERVICE = "counter-app"
ENGINES_PER_ZONE = 2
CALLER_KEY = "demo-counter-key"
OPERATOR_KEY = "demo-operator-key"
DEMO_HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}

# Port offsets from the first entry's port

ADMIN_OFFSET = 100
PEER_OFFSET = 200
ENGINE_OFFSET = 300
SERVICE_OFFSET = 400
CONTROLLER_OFFSET = 450
CONTROLLER_PEER_OFFSET = 460
TABLES_OFFSET = 500
OBJECTS_OFFSET = 501
LAST_OFFSET = 600


def demo_engines(first_port: int = DEFAULT_PORT) -> tuple[BackendServer, ...]:
    """Returns the demo's engines, two in each data centre."""
    return tuple(
        BackendServer(
            name=f"engine-{zone}-{number}",
            kind=ServerKind.ENGINE,
            pool=MODEL_POOL,
            zone=zone,
            endpoint=Endpoint(LOOPBACK, first_port + ENGINE_OFFSET + 10 * index + number),
        )
        for index, zone in enumerate(ZONES)
        for number in range(ENGINES_PER_ZONE)
    )


def demo_services(first_port: int = DEFAULT_PORT) -> tuple[BackendServer, ...]:
    """Returns the demo's plain service servers, one in each data centre."""
    return tuple(
        BackendServer(
            name=f"{SERVICE}-{zone}",
            kind=ServerKind.SERVICE,
            pool=SERVICE,
            zone=zone,
            endpoint=Endpoint(LOOPBACK, first_port + SERVICE_OFFSET + index),
        )
        for index, zone in enumerate(ZONES)
    )


def demo_standins(first_port: int) -> StandinSettings:
    """Returns the settings of the demo's stand-ins."""
    return StandinSettings(
        engine=EngineSettings(model=MODEL, version=MODEL_VERSION),
        engines={server.name: server.endpoint for server in demo_engines(first_port)},
        services={server.name: server.endpoint for server in demo_services(first_port)},
        tables=Endpoint(LOOPBACK, first_port + TABLES_OFFSET),
        objects=Endpoint(LOOPBACK, first_port + OBJECTS_OFFSET),
    )


def demo_entries(first_port: int, servers) -> list[EntrySettings]:
    """Returns the settings of one entry in each data centre, reading the document from files.

    Args:
      first_port: The first entry's port.
      servers: The backend servers.
    """
    hosts = AdapterSettings(adapter="static", servers=tuple(servers))
    document = {name: str(_sections().joinpath(f"{name}.jsonc")) for name in SECTIONS}
    return _entries(first_port, PlatformSettings(hosts=hosts), document=document)


def demo_platform_entries(first_port: int) -> list[EntrySettings]:
    """Returns the settings of one entry in each data centre, using the simulated platform."""
    return _entries(first_port, _platform(first_port), peers=_entry_peers(first_port))


def demo_controllers(first_port: int) -> list[ControllerSettings]:
    """Returns the settings of one controller in each data centre."""
    platform = _platform(first_port)
    return [
        ControllerSettings(
            name=f"controller-{zone}",
            zone=zone,
            admin=Endpoint(LOOPBACK, first_port + CONTROLLER_OFFSET + index),
            peer=Endpoint(LOOPBACK, first_port + CONTROLLER_PEER_OFFSET + index),
            tables=platform.tables,
            platform=platform,
            seeds=tuple(_entry_peers(first_port)),
        )
        for index, zone in enumerate(ZONES)
    ]


def _entry_peers(first_port):
    return [Endpoint(LOOPBACK, first_port + PEER_OFFSET + n) for n in range(len(ZONES))]


def _platform(first_port):
    servers = demo_engines(first_port) + demo_services(first_port)
    standins = demo_standins(first_port)
    return PlatformSettings(
        hosts=AdapterSettings(adapter="static", servers=servers),
        tables=AdapterSettings(adapter="standin", url=f"http://{standins.tables}"),
        objects=AdapterSettings(adapter="standin", url=f"http://{standins.objects}"),
    )


def demo_texts() -> dict[str, str]:
    """Returns the texts of the demo's document, by section."""
    return {
        name: _sections().joinpath(f"{name}.jsonc").read_text(encoding="utf-8") for name in SECTIONS
    }


def _entries(first_port, platform, document=None, peers=()):
    return [
        EntrySettings(
            name=f"entry-{zone}",
            zone=zone,
            http=Endpoint(LOOPBACK, first_port + index),
            admin=Endpoint(LOOPBACK, first_port + ADMIN_OFFSET + index),
            platform=platform,
            peer=PeerAddress(peers[index], tuple(peers)) if peers else None,
            document=document or {},
            balancer_delay=datetime.timedelta(),
        )
        for index, zone in enumerate(ZONES)
    ]


def _sections():
    return importlib.resources.files("cicadapond.demo").joinpath("document")
