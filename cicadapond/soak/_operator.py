"""The operator of a soak: the configurations that it writes, one change after the other."""

import enum
import random
import typing

from cicadapond.platform.standin import CALLERS_HOST, Fleet, send_to, services_of, split
from cicadapond.soak._records import LONG, VARYING, ConfigurationRecord, History, PlannedChange

# How long after a configuration no request may be cut.
AROUND_CHANGE_S = 4.0
MAX_EXTRA_ROUTES, MAX_ADDED = 60, 40
MAX_ACCOUNTS = 4
MIN_IDLE_MS, MAX_IDLE_MS = 300, 3000
MIN_HEADER_TIMEOUT_MS, MAX_HEADER_TIMEOUT_MS = 500, 2000
MIN_HEADER_BYTES, MAX_HEADER_BYTES = 4096, 16384
MAX_SENT_BODY_BYTES = 72 * 1024  # of callers
MIN_BODY_BYTES, MAX_BODY_BYTES = MAX_SENT_BODY_BYTES + 1024, 4 * 1024 * 1024
PLAIN_PAIR, POOL_PAIR = ("left", "right"), ("left-pool", "right-pool")
ENDLESS_SERVICE = "endless"
SERVICES = (*PLAIN_PAIR, *POOL_PAIR, ENDLESS_SERVICE)
ENDLESS_PREFIXES = ("/endless/", "/endless-stream/")
LIMITED_KEY = "limited-key"
_TIMEOUTS_MS = {VARYING: (600, 3000), LONG: (8000, 15000)}


class Change(enum.Enum):
    """What one configuration changes."""

    ROUTE = "a route moves to another service, or back"
    WEIGHTS = "a route is split between two services"
    TIMEOUT = "a route's time-out"
    TENANT = "an account is added or removed"
    QUOTA = "an account's rate, also far below what it sends"
    TOPUP = "an account's burst is raised"
    IDLE = "the idle time"
    LIMITS = "the limits of heads and bodies"
    ADD_ROUTES = "routes are added, many at once or few"
    REMOVE_ROUTES = "routes are removed"
    ORDER = "the order of the routes"


class Operator:
    """Writes configurations, and knows what callers may use.

    Args:
      fleet: The stand-ins; its own routes, services and account are always among those written.
      history: Receives a record of each configuration.
      rng: Source of all choices.
      now: Returns the event loop's time.
    """

    def __init__(
        self,
        fleet: Fleet,
        history: History,
        rng: random.Random,
        now: typing.Callable[[], float],
    ):
        self.keys = ["demo-key", "key-0"]
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._now = now
        self._removed_keys: list[str] = []
        self._accounts: list[str] = []
        self._quota = {"rate_per_s": 0, "burst": 0}
        self._limits = {
            "max_header_bytes": 8192,
            "max_body_bytes": MIN_BODY_BYTES,
            "header_timeout_ms": MIN_HEADER_TIMEOUT_MS,
            "idle_timeout_ms": MAX_IDLE_MS,
        }
        self._count = 0
        self._extra: list[dict] = []
        self._removed_prefixes: list[str] = []
        base = {"hostname": CALLERS_HOST, "max_attempts": 2}
        self._varying = base | {
            "name": VARYING,
            "prefix": f"/{VARYING}/",
            "route_type": "non_idempotent",
            "timeout_ms": 800,
            "service": PLAIN_PAIR[0],
        }
        self._long = base | {
            "name": LONG,
            "prefix": f"/{LONG}/",
            "route_type": "streaming",
            "timeout_ms": 9000,
            "service": POOL_PAIR[0],
            "max_attempts": 1,
        }
        self._endless = [
            base
            | {"name": prefix.strip("/"), "prefix": prefix, "route_type": kind}
            | {"timeout_ms": 4000, "service": ENDLESS_SERVICE}
            for prefix, kind in zip(ENDLESS_PREFIXES, ("idempotent", "streaming"), strict=True)
        ]
        self._order = 0

    def caller_keys(self) -> list[str]:
        """Returns the keys for callers: each valid one four times, and the last two removed."""
        others = [LIMITED_KEY, *self._accounts] if self._history.configurations else []
        return [*self.keys * 4, *others, *self._removed_keys[-2:]]

    def probe_prefixes(self) -> list[str]:
        """Returns the prefixes of routes that were added, and of some that were removed."""
        return [route["prefix"] for route in self._extra[-8:]] + self._removed_prefixes[-4:]

    def change(self, kind: Change) -> None:
        """Draws a change of a kind and writes the configuration with it."""
        getattr(self, f"_change_{kind.name.lower()}")()
        self.write(kind.name.lower())

    def remove_key(self, key: str) -> None:
        """Takes a key away and writes the configuration without it."""
        if key in self._accounts:
            self._accounts.remove(key)
        else:
            self.keys.remove(key)
        self.write("key")
        self._history.keys_removed[key] = self._now()
        self._removed_keys.append(key)

    def lift_quota(self) -> None:
        """Writes a configuration in which no account has a limit."""
        self._quota = {"rate_per_s": 0, "burst": 0}
        self.write("quota")

    def write(self, what: str) -> None:
        """Writes the configuration, and records it."""
        fleet, began_at = self._fleet, self._now()
        routes = [*fleet.routes(), self._varying, self._long, *self._endless, *self._extra]
        random.Random(self._order).shuffle(routes)
        accounts = [{"name": key, "api_keys": [key], "priority": 1} for key in self._accounts]
        limited = {"name": "limited", "api_keys": [LIMITED_KEY], "priority": 1, **self._quota}
        pool, plain = fleet.services()
        pool = {name: value for name, value in pool.items() if name != "scaling"}
        others = [
            ((pool if name in POOL_PAIR else plain) | {"name": name, "max_connections": 100})
            for name in SERVICES
        ]
        tenants = [fleet.account(tuple(self.keys)), limited, *accounts]
        self._history.limited_keys.add(LIMITED_KEY)
        version = fleet.configure(
            routes=routes,
            services=[*fleet.services(), *others],
            limits=dict(self._limits),
            tenants=tenants,
        )
        self._history.configurations.append(
            ConfigurationRecord(
                version,
                began_at,
                {route["prefix"]: frozenset(services_of(route)) for route in routes},
                {route["prefix"]: route["timeout_ms"] / 1000 for route in routes},
                frozenset(key for account in tenants for key in account["api_keys"]),
            )
        )
        end = self._now() + AROUND_CHANGE_S
        change = PlannedChange(f"configuration {version} ({what})", began_at, end)
        self._history.changes.append(change)

    def _change_route(self):
        route, pair = self._pick_route()
        send_to(route, pair[1] if services_of(route)[0] == pair[0] else pair[0])

    def _change_weights(self):
        route, pair = self._pick_route()
        weight = round(self._rng.uniform(0.05, 0.95), 2)
        split(route, dict(zip(pair, (weight, round(1 - weight, 2)), strict=True)))

    def _change_timeout(self):
        route = self._rng.choice((self._varying, self._long))
        route["timeout_ms"] = self._rng.randint(*_TIMEOUTS_MS[route["name"]])

    def _change_tenant(self):
        if self._accounts and (len(self._accounts) == MAX_ACCOUNTS or self._rng.random() < 0.4):
            key = self._accounts.pop(0)
            self._history.keys_removed[key] = self._now()
            self._removed_keys.append(key)
        else:
            self._count += 1
            self._accounts.append(f"account-{self._count}")

    def _change_quota(self):
        rate = self._rng.choice((0, round(self._rng.uniform(0.5, 20.0), 1)))
        self._quota = {"rate_per_s": rate, "burst": rate}

    def _change_topup(self):
        self._quota["burst"] = 3 * self._quota["burst"]

    def _change_idle(self):
        self._limits["idle_timeout_ms"] = self._rng.randint(MIN_IDLE_MS, MAX_IDLE_MS)

    def _change_limits(self):
        draw = self._rng.randint
        self._limits["max_header_bytes"] = draw(MIN_HEADER_BYTES, MAX_HEADER_BYTES)
        self._limits["max_body_bytes"] = draw(MIN_BODY_BYTES, MAX_BODY_BYTES)
        self._limits["header_timeout_ms"] = draw(MIN_HEADER_TIMEOUT_MS, MAX_HEADER_TIMEOUT_MS)

    def _change_add_routes(self):
        added = self._rng.choice((1, 2, self._rng.randint(3, MAX_ADDED)))
        for _ in range(min(added, MAX_EXTRA_ROUTES - len(self._extra))):
            self._count += 1
            name = f"extra-{self._count}"
            fields = {"name": name, "prefix": f"/{name}/", "route_type": "idempotent"}
            route = self._varying | fields
            send_to(route, self._rng.choice(PLAIN_PAIR))
            self._extra.append(route)

    def _change_remove_routes(self):
        kept = self._rng.choice((0.0, 0.5, 0.9))
        removed = [route for route in self._extra if self._rng.random() >= kept]
        self._extra = [route for route in self._extra if route not in removed]
        self._removed_prefixes += [route["prefix"] for route in removed]

    def _change_order(self):
        self._order += 1

    def _pick_route(self):
        route = self._rng.choice((self._varying, self._long, *self._extra[-1:]))
        return route, POOL_PAIR if route is self._long else PLAIN_PAIR
