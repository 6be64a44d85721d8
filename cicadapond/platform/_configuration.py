"""Decodes the operators' configuration in the platform's format."""

import json

from cicadapond.kernel import Findings, Place
from cicadapond.platform._reader import Reader, UnreadableError
from cicadapond.serving import (
    ClientAccount,
    Configuration,
    EngineLimits,
    MemoryMoves,
    PartTelling,
    RequestLimits,
    Route,
    RouteKind,
    Scaling,
    Service,
    WeightedService,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
TOKEN_UNIT = "token_stream"
# The platform's names of fields of `cicadapond.serving` that are called differently there.
_FIELD_NAMES = {
    "accounts": "tenants",
    "objective": "target_latency_ms",
    "timeout": "timeout_ms",
    "max_event_gap": "target_itl_ms",
    "minimum": "min",
    "maximum": "max",
    "rate": "rate_per_s",
    "default_tokens": "uncached_tokens",
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
    "header_timeout": "header_timeout_ms",
    "idle_timeout": "idle_timeout_ms",
}


def field_name(name: str) -> str:
    """Returns the platform's name of a field of the configuration."""
    return _FIELD_NAMES.get(name, name)


def decode_configuration(raw: bytes) -> tuple[Configuration | None, Findings]:
    """Returns the configuration in a row, or None if any part of it is invalid."""
    findings = Findings()
    try:
        return _configuration(Reader(json.loads(raw), "configuration", findings)), findings
    except (ValueError, RecursionError) as exc:
        findings.add(Place("configuration"), f"is not JSON: {exc}")
    except UnreadableError:
        pass  # the finding has been recorded
    return None, findings


def _configuration(reader):
    accounts = None
    if reader.has("tenants"):
        accounts = tuple(_account(inner) for inner in reader.list_of("tenants"))
    services = (_service(inner) for inner in reader.list_of("services"))
    return Configuration(
        version=reader.integer("version"),
        routes=tuple(_route(inner) for inner in reader.list_of("routes")),
        services={service.name: service for service in services},
        limits=_limits(reader.inner("limits")),
        accounts=accounts,
    )


def _route(reader):
    kind = _ROUTE_KINDS.get(reader.text("route_type"))
    if kind is None:
        reader.fail("'route_type' has an unknown value")
    timeout = reader.milliseconds("timeout_ms")
    return Route(
        name=reader.text("name"),
        host=reader.text("hostname").lower(),
        prefix=reader.text("prefix"),
        kind=kind,
        services=_weighted_services(reader),
        timeout=timeout,
        objective=reader.milliseconds("target_latency_ms", timeout),
        max_attempts=reader.integer("max_attempts", 1),
        rank=reader.integer("priority", 0),
        is_public=reader.flag("public", False),
        resumable=reader.flag("stream_resume", False),
        max_event_gap=reader.milliseconds("target_itl_ms", None),
    )


def _weighted_services(reader):
    if not reader.has("traffic_split"):
        return (WeightedService(reader.text("service"), 1.0),)
    return tuple(
        WeightedService(inner.text("service"), inner.number("weight"))
        for inner in reader.list_of("traffic_split")
    )


def _service(reader):
    engine = None
    if reader.has("engine"):
        inner = reader.inner("engine")
        engine = EngineLimits(
            inner.integer("slots"),
            inner.integer("kv_capacity"),
            inner.number("bandwidth_mbps", 0.0) or None,
            _memory_moves(inner),
            _part_telling(inner),
        )
    scaling = None
    if reader.has("scaling"):
        inner = reader.inner("scaling")
        scaling = Scaling(
            minimum=inner.integer("min"),
            maximum=inner.integer("max"),
            boot=inner.seconds("boot_time_s"),
            reclaimable_price=inner.number("spot_price", 1.0),
            prices=inner.numbers("zone_prices") if inner.has("zone_prices") else {},
        )
    return Service(reader.text("name"), reader.integer("max_connections"), engine, scaling)


def _memory_moves(reader):
    """Returns how engines move memory, None if they must not or do not say at which cost."""
    if not all(map(reader.has, ("moves", "kv_bytes", "bandwidth_mbps"))):
        return None
    moves = MemoryMoves(
        token_bytes=reader.integer("kv_bytes"),
        bandwidth_mbps=reader.number("bandwidth_mbps"),
        event_tokens=max(1, reader.integer("stride", 1)),
    )
    is_on = reader.flag("moves") and moves.token_bytes > 0 and moves.bandwidth_mbps > 0
    return moves if is_on else None


def _part_telling(reader):
    """Returns how engines tell which prompt parts they keep, None if they do not."""
    if not all(map(reader.has, ("most", "kv_bytes"))):
        return None
    telling = PartTelling(reader.integer("most"), reader.integer("kv_bytes"))
    return telling if telling.max_waiting_calls > 0 and telling.token_bytes > 0 else None


def _account(reader):
    return ClientAccount(
        name=reader.text("name"),
        keys=frozenset(reader.texts("api_keys")),
        rate=reader.number("rate_per_s", 0.0),
        burst=reader.number("burst", 0.0),
        rank=reader.integer("priority", None),
        counts_tokens=reader.text("unit", "") == TOKEN_UNIT,
        # Named for prompts, but it is the charge for any request without a token count.
        default_tokens=reader.integer("uncached_tokens", 0),
    )


def _limits(reader):
    return RequestLimits(
        header_bytes=reader.integer("max_header_bytes"),
        body_bytes=reader.integer("max_body_bytes"),
        header_timeout=reader.milliseconds("header_timeout_ms"),
        idle_timeout=reader.milliseconds("idle_timeout_ms"),
    )
