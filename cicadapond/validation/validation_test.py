"""A configuration is checked before it is sent: every slip is found, with its place."""

import datetime

import attrs
import pytest

from cicadapond.kernel import seconds
from cicadapond.serving import (
    ClientAccount,
    Configuration,
    EngineLimits,
    RequestLimits,
    Route,
    RouteKind,
    Scaling,
    Service,
    WeightedService,
)
from cicadapond.validation import Severity, check_configuration, differences

ZERO = datetime.timedelta()
ROUTE = Route(
    "ask",
    "counter.example",
    "/ask/",
    RouteKind.STREAM,
    (WeightedService("pool", 1.0),),
    timeout=seconds(3),
    objective=seconds(0.4),
)
SERVICE = Service("pool", 50, EngineLimits(16, 1000), Scaling(1, 4, seconds(4), 0.2, {"z1": 1.0}))
ACCOUNT = ClientAccount("shop", frozenset({"k1"}), rate=10.0, burst=20.0)
SOUND = Configuration(
    7,
    (ROUTE,),
    {"pool": SERVICE},
    RequestLimits(8192, 65536, seconds(1), seconds(3)),
    (ACCOUNT,),
)


def with_route(**changes):
    return attrs.evolve(SOUND, routes=(attrs.evolve(ROUTE, **changes),))


def with_service(**changes):
    return attrs.evolve(SOUND, services={"pool": attrs.evolve(SERVICE, **changes)})


def with_accounts(*accounts):
    return attrs.evolve(SOUND, accounts=accounts)


def with_account(**changes):
    return with_accounts(attrs.evolve(ACCOUNT, **changes))


def test_a_sound_configuration_has_no_remarks():
    assert not check_configuration(SOUND)


@pytest.mark.parametrize(
    ("cfg", "place", "severity", "part"),
    [
        (with_route(prefix="/ask"), "routes[0]", "error", "slash"),
        (with_route(timeout=ZERO, objective=ZERO), "routes[0]", "error", "every request fails"),
        (with_route(objective=seconds(4)), "routes[0]", "warning", "objective (4000) is above"),
        (with_route(max_event_gap=seconds(4)), "routes[0]", "warning", "max_event_gap"),
        (with_route(max_attempts=0), "routes[0]", "error", "no request is sent"),
        (with_route(host=""), "routes[0]", "error", "can never match"),
        (with_route(host="counter.example:80"), "routes[0]", "error", "can never match"),
        (with_route(services=(WeightedService("gone", 1.0),)), "routes[0]", "error", "no service"),
        (with_route(services=(WeightedService("pool", 0.0),)), "routes[0]", "error", "positive"),
        (attrs.evolve(SOUND, routes=(ROUTE, ROUTE)), "routes[1]", "error", "can never match"),
        (attrs.evolve(SOUND, routes=(ROUTE, ROUTE)), "routes[1]", "error", "is the name of"),
        (attrs.evolve(SOUND, routes=()), "services[0]", "warning", "no route leads"),
        (with_service(max_connections=0), "services[0]", "error", "max_connections"),
        (with_service(max_connections=8), "services[0]", "warning", "can never all be used"),
        (with_service(engine=EngineLimits(0, 1)), "services[0]", "error", "runs no request"),
        (
            with_service(scaling=attrs.evolve(SERVICE.scaling, minimum=5)),
            "services[0].scaling",
            "error",
            "minimum (5) is above maximum (4)",
        ),
        (with_account(keys=frozenset()), "accounts[0]", "warning", "can never match"),
        (with_account(burst=0.0), "accounts[0]", "error", "every request is over the quota"),
        (with_account(rate=0.0), "accounts[0]", "warning", "no effect"),
        (
            with_account(counts_tokens=True, default_tokens=200),
            "accounts[0]",
            "error",
            "always over the quota",
        ),
        (
            with_accounts(ACCOUNT, attrs.evolve(ACCOUNT, name="other")),
            "accounts[0]",
            "error",
            "accounts[1] holds it too",
        ),
        (with_accounts(), "accounts", "error", "nobody has a key"),
        (with_route(is_public=True), "accounts", "warning", "no effect"),
    ],
)
def test_a_slip_is_found_with_its_place(cfg, place, severity, part):
    remarks = [each for each in check_configuration(cfg) if part in each.message]
    assert [(each.place, each.severity) for each in remarks] == [(place, Severity(severity))]


def test_differences_name_entries_and_fields_and_show_no_key():
    after = attrs.evolve(
        SOUND,
        version=7,
        routes=(attrs.evolve(ROUTE, timeout=seconds(5)), attrs.evolve(ROUTE, name="new")),
        services={},
        accounts=(attrs.evolve(ACCOUNT, keys=frozenset({"k2", "k3"})),),
    )
    shown = [str(each) for each in differences(SOUND, after)]
    assert "version: 7 -> 7 (no newer: never in force)" in shown
    assert "routes ask.timeout: 3000 ms -> 5000 ms" in shown
    assert any(each.startswith("routes new: added: ") for each in shown)
    assert any(each.startswith("services pool: removed: ") for each in shown)
    assert "accounts shop.keys: 1 -> 2 (+2, -1)" in shown
    assert not any(key in each for each in shown for key in ("k1", "k2"))
