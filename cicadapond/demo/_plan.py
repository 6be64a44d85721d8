"""What the demo runs and where: names, ports and settings, all following the first entry's port."""

import datetime
import importlib.resources

from cicadapond.data import BackendServer, Endpoint, ServerKind
from cicadapond.document import SECTIONS
from cicadapond.entry import EntrySettings
from cicadapond.entry._settings import PeerAddress
from cicadapond.platform import AdapterSettings, PlatformSettings
from cicadapond.standin.main import StandinSettings

LOOPBACK = "127.0.0.1"
ZONES = ("yqr", "yxe", "ywg")
DEFAULT_PORT = 18080
MODEL_POOL = "shade-pool"
SERVICE = "counter-app"
ENGINES_PER_ZONE = 2
CALLER_KEY = "demo-counter-key"
OPERATOR_KEY = "demo-operator-key"
DEMO_HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}

# Ports, counted from the first entry's

ADMIN_OFFSET = 100
PEER_OFFSET = 200
ENGINE_OFFSET = 300
SERVICE_OFFSET = 400
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
            endpoint=Endpoint(LOOPBACK, first_port + ENGINE_OFFSET + 10 * place + number),
        )
        for place, zone in enumerate(ZONES)
        for number in range(ENGINES_PER_ZONE)
    )


def demo_services(first_port: int = DEFAULT_PORT) -> tuple[BackendServer, ...]:
    """Returns the demo's servers of the plain service, one in each data centre."""
    return tuple(
        BackendServer(
            name=f"{SERVICE}-{zone}",
            kind=ServerKind.SERVICE,
            pool=SERVICE,
            zone=zone,
            endpoint=Endpoint(LOOPBACK, first_port + SERVICE_OFFSET + place),
        )
        for place, zone in enumerate(ZONES)
    )


def demo_standins(first_port: int) -> StandinSettings:
    """Returns the settings of the demo's stand-ins."""
    return StandinSettings(
        engines={server.name: server.endpoint for server in demo_engines(first_port)},
        services={server.name: server.endpoint for server in demo_services(first_port)},
        tables=Endpoint(LOOPBACK, first_port + TABLES_OFFSET),
        objects=Endpoint(LOOPBACK, first_port + OBJECTS_OFFSET),
    )


def demo_entries(first_port: int, servers) -> list[EntrySettings]:
    """Returns the settings of one entry in each data centre, with the document from files.

    Args:
      first_port: The first entry's port.
      servers: The backend servers.
    """
    hosts = AdapterSettings(adapter="static", servers=tuple(servers))
    document = {name: str(_sections().joinpath(f"{name}.jsonc")) for name in SECTIONS}
    return _entries(first_port, PlatformSettings(hosts=hosts), document=document)


def demo_platform_entries(first_port: int) -> list[EntrySettings]:
    """Returns the settings of one entry in each data centre, before the stand-in platform."""
    servers = demo_engines(first_port) + demo_services(first_port)
    standins = demo_standins(first_port)
    platform = PlatformSettings(
        hosts=AdapterSettings(adapter="static", servers=servers),
        tables=AdapterSettings(adapter="standin", url=f"http://{standins.tables}"),
        objects=AdapterSettings(adapter="standin", url=f"http://{standins.objects}"),
    )
    peers = [Endpoint(LOOPBACK, first_port + PEER_OFFSET + n) for n in range(len(ZONES))]
    return _entries(first_port, platform, peers=peers)


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
            http=Endpoint(LOOPBACK, first_port + place),
            admin=Endpoint(LOOPBACK, first_port + ADMIN_OFFSET + place),
            platform=platform,
            peer=PeerAddress(peers[place], tuple(peers)) if peers else None,
            document=document or {},
            balancer_delay=datetime.timedelta(),
        )
        for place, zone in enumerate(ZONES)
    ]


def _sections():
    return importlib.resources.files("cicadapond.demo").joinpath("document")
