"""A complete deployment of stand-ins on loopback: store, cloud, engines and services."""

import asyncio
import base64
import json
import time

import attrs
import tornado.httpserver

from cicadapond.platform.standin._caller import CALLERS_HOST, curl_headers
from cicadapond.platform.standin._cloud import CloudModel, cloud_application
from cicadapond.platform.standin._engine import EngineServer
from cicadapond.platform.standin._engine_model import EngineModel
from cicadapond.platform.standin._moves import EngineMemory
from cicadapond.platform.standin._parts import EngineParts
from cicadapond.platform.standin._store import StoreModel, store_application
from cicadapond.standin._ports import free_endpoint

HOST = "127.0.0.1"
ZONE = "z1"
MODEL_SERVICE, PLAIN_SERVICE = "pool", "plain"
STREAM_PREFIX, PLAIN_PREFIX, LOOKUP_PREFIX = "/stream/", "/post/", "/peek/"


@attrs.frozen
class FleetSettings:
    """The size and configuration of a deployment of stand-ins.

    Attributes:
      quota_per_s: The account's rate limit and burst.
      rolls_out: Whether gateways roll out new versions.
      exposure_tolerance: What a bad version may get beside its share of the requests.
      max_event_gap_ms: The stream route's `target_itl_ms`, None to leave it out.
      moves: Whether the engines move running requests between each other.
      tells_parts: Whether the engines tell which prompt parts they keep.
      grace_s: The time from SIGTERM to SIGKILL, in seconds.
      body_bytes: The largest body that callers may send.
      reads_per_s: How many reads a second the store takes from all processes, as their settings
        say; more are not refused.
    """

    engines: int = 2
    services: int = 2
    quota_per_s: float = 0.0
    key: str = "demo-key"
    account: str = "demo-account"
    resumable: bool = True
    max_event_gap_ms: int | None = None
    rolls_out: bool = False
    exposure_tolerance: float = 50.0
    moves: bool = False
    tells_parts: bool = False
    grace_s: float = 8.0
    body_bytes: int = 65536
    reads_per_s: int = 2000


class Fleet:
    """Stand-ins of everything that a gateway process talks to, except callers.

    Args:
      cfg: The size and configuration.
      clock: The source of the store's steady clock.
    """

    def __init__(self, cfg: FleetSettings, clock):
        self.cfg = cfg
        self.store = StoreModel(clock)
        self.cloud = CloudModel()
        self.servers: dict[str, EngineServer] = {}
        self._ports: dict[str, int] = {}
        # By view and name: what a group of processes sees in place of the true ports.
        self._relays: dict[tuple[int, str], int] = {}
        self._memories: dict[str, EngineMemory] = {}
        self._parts: dict[str, EngineParts] = {}
        self._http_servers: list[tornado.httpserver.HTTPServer] = []
        self._version = 1

    async def start(self) -> None:
        """Starts all stand-ins and writes the first configuration."""
        self._ports["store"] = self._listen(store_application(self.store))
        self._ports["cloud"] = self._listen(cloud_application(self.cloud))
        for index in range(self.cfg.engines):
            await self.add_server(f"e-{index}", MODEL_SERVICE)
        for index in range(self.cfg.services):
            await self.add_server(f"s-{index}", PLAIN_SERVICE)
        self.configure()

    async def stop(self) -> None:
        """Stops all stand-ins."""
        for server in self.servers.values():
            await server.stop()
        for server in self._http_servers:
            server.stop()
            await server.close_all_connections()

    def port(self, name: str) -> int:
        """Returns the port of the store, the cloud or a backend server."""
        return self._ports[name]

    def relay(self, name: str, port: int, view: int = 0) -> None:
        """Makes gateways connect to the store, the cloud or a backend server at another port.

        Args:
          name: What they connect to.
          port: The port.
          view: Which of them, by the number given to `settings_text` and `add_store_view`.
        """
        self._relays[view, name] = port

    def add_store_view(self, view: int) -> int:
        """Starts a server of the store that shows other ports of servers; returns its port."""
        return self._listen(store_application(self.store, lambda row: self._as_seen(row, view)))

    def _as_seen(self, row, view):
        if row.table != "servers":
            return row.value
        entry = json.loads(base64.b64decode(row.value))
        entry["address"] = f"{HOST}:{self._advertised_port(row.key, view)}"
        return base64.b64encode(json.dumps(entry).encode()).decode()

    def _advertised_port(self, name, view=0):
        return self._relays.get((view, name), self._ports.get(name))

    async def restart_server(self, name: str, service: str, delay_s: float) -> None:
        """Starts a server that has crashed again, at the same port and under the same name."""
        await asyncio.sleep(delay_s)
        server = self.servers[name]
        server.born = round(time.time() * 1000)
        await server.start(self._ports[name])
        server.has_crashed = False
        self.list_server(name, service)

    async def add_server(self, name: str, service: str, **changes) -> EngineModel:
        """Starts a backend server and lists it."""
        model = await self.start_server(name, **changes)
        self.list_server(name, service)
        return model

    async def start_server(self, name: str, **changes) -> EngineModel:
        """Starts a backend server without writing its entry."""
        model = EngineModel(name, **changes)
        self.servers[name] = EngineServer(model)
        self.servers[name].born = round(time.time() * 1000)
        self._ports[name] = await self.servers[name].start(free_endpoint().port)
        model.memory.peers = self._memories
        model.parts.peers = self._parts
        return model

    def list_server(
        self, name: str, service: str, state: str = "ready", leaves_in_s: float | None = None
    ) -> None:
        """Writes the entry of a backend server; `leaves_in_s` is when it says that it ends."""
        # Gateways name engines to each other by the addresses that they are given.
        for view in {0} | {each for each, _ in self._relays}:
            address = f"{HOST}:{self._advertised_port(name, view)}"
            self._memories[address] = self.servers[name].model.memory
            self._parts[address] = self.servers[name].model.parts
        entry = {
            "service": service,
            "address": f"{HOST}:{self._advertised_port(name)}",
            "zone": ZONE,
            "version": self.servers[name].model.version,
            "slots": self.servers[name].model.slots,
            "born": self.servers[name].born,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if leaves_in_s is not None:
            entry["leaves_ms"] = round(1000 * leaves_in_s)
        self.store.put("servers", name, entry)

    def unlist_server(self, name: str) -> None:
        """Removes the entry of a backend server."""
        self.store.put("servers", name, None)

    def configure(self, keys: tuple[str, ...] | None = None, **changes) -> int:
        """Writes the next version of the configuration; returns its number."""
        self._version += 1
        configuration = {
            "version": self._version,
            "routes": self.routes(),
            "services": self.services(),
            "limits": {
                "max_header_bytes": 8192,
                "max_body_bytes": self.cfg.body_bytes,
                "header_timeout_ms": 500,
                "idle_timeout_ms": 3000,
            },
            "tenants": [self.account(keys if keys is not None else (self.cfg.key,))],
            **changes,
        }
        self.store.put("op", "config", configuration)
        return self._version

    def account(self, keys: tuple[str, ...]) -> dict:
        """Returns the client account, with its keys."""
        return {
            "name": self.cfg.account,
            "api_keys": list(keys),
            "priority": 1,
            "unit": "token_stream",
            "uncached_tokens": 200,
            "rate_per_s": self.cfg.quota_per_s,
            "burst": self.cfg.quota_per_s,
        }

    def services(self) -> list[dict]:
        """Returns the services, that of the engines first."""
        pool = {
            "name": MODEL_SERVICE,
            "max_connections": 50,
            "scaling": _scaling(),
            "engine": self._engine(),
        }
        return [pool, {"name": PLAIN_SERVICE, "max_connections": 50}]

    def settings_text(
        self,
        ports: dict[str, int],
        name: str = "edge-1",
        view: int = 0,
        zone: str = ZONE,
        zones: tuple[str, ...] = (ZONE,),
        **limits: int,
    ) -> str:
        """Returns the settings file of a gateway process.

        Args:
          ports: Its ports by name: frontend, readiness, and peers, the first of four.
          name: The process's name.
          view: The ports that it sees, as `relay` sets them.
          zone: Its data centre.
          zones: All data centres.
          limits: The process's limits: memory_mb, max_fds.
        """
        values = {
            "node_name": name,
            "ip": HOST,
            "zone": zone,
            "region": "r",
            **{f"zones.{each}": "r" for each in zones},
            "listen.frontend": f"{HOST}:{ports['frontend']}",
            "listen.readiness": f"{HOST}:{ports['readiness']}",
            "port_range": f"{ports['peers']},{ports['peers'] + 3}",
            "bootstrap": "true",
            "limits.max_fds": "4100",
            **{f"limits.{limit}": str(value) for limit, value in limits.items()},
            "bounds.drain_ms": "2000",
            "bounds.grace_s": f"{self.cfg.grace_s:g}",
            "bounds.config_apply_ms": "2000",
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": "5000",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_slack": "52",
            "platform.address": f"{HOST}:{self._advertised_port('store', view)}",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": str(self.cfg.reads_per_s),
            "cloud.address": f"{HOST}:{self._advertised_port('cloud', view)}",
            "cloud.duties": "usage_report,autoscale",
            "cloud.duty_per_s": "50",
            "bounds.quota_window_s": "8",
            "bounds.quota_overage": "0.1",
            "bounds.quota_tolerance": "100",
            "unknown.field": "is ignored",
        }
        if self.cfg.rolls_out:
            values["contracts"] = "rollout"
            values["bounds.exposure_share"] = "0.1"
            values["bounds.exposure_tolerance"] = f"{self.cfg.exposure_tolerance:g}"
            values["bounds.rollback_ms"] = "5000"
        return "".join(f"{name}={value}\n" for name, value in values.items())

    def curl_headers(self) -> str:
        """Returns curl's arguments for a streaming request to this deployment."""
        return curl_headers(self.cfg.key)

    def routes(self, timeout_ms: int | None = None) -> list[dict]:
        """Returns the routes, all with one time-out if it is given."""
        stream = {
            "name": "stream",
            "hostname": CALLERS_HOST,
            "prefix": STREAM_PREFIX,
            "route_type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": MODEL_SERVICE,
            "max_attempts": 2,
            "stream_resume": self.cfg.resumable,
        }
        if self.cfg.max_event_gap_ms is not None:
            stream["target_itl_ms"] = self.cfg.max_event_gap_ms
        post = {
            "name": "post",
            "hostname": CALLERS_HOST,
            "prefix": PLAIN_PREFIX,
            "route_type": "non_idempotent",
            "timeout_ms": 800,
            "service": PLAIN_SERVICE,
            "max_attempts": 2,
        }
        peek = post | {"name": "peek", "prefix": LOOKUP_PREFIX, "route_type": "idempotent"}
        routes = [stream, post, peek]
        if timeout_ms is not None:
            routes = [route | {"timeout_ms": timeout_ms} for route in routes]
        return routes

    def _engine(self):
        if not self.cfg.moves and not self.cfg.tells_parts:
            return None
        engine = _engine() | {"moves": self.cfg.moves}
        return engine | {"most": 8} if self.cfg.tells_parts else engine

    def _listen(self, application):
        server = tornado.httpserver.HTTPServer(application)
        endpoint = free_endpoint()
        server.listen(endpoint.port, endpoint.host)
        self._http_servers.append(server)
        return endpoint.port


def _engine():
    return {
        "slots": 6,
        "kv_capacity": 100_000,
        "kv_bytes": 1000,
        "bandwidth_mbps": 10_000,
        "moves": True,
        "stride": 1,
        "handle_ttl_s": 4,
    }


def _scaling():
    return {
        "min": 1,
        "max": 4,
        "boot_time_s": 4.0,
        "spot_price": 0.18,
        "zone_prices": {"z1": 1.0},
    }
