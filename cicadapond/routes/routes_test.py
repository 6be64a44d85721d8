"""Routing: longest prefix, keys, weighted services, and the age of the configuration copy."""

import datetime

import pytest

from cicadapond.kernel import ManualClock, seconds
from cicadapond.routes import (
    ActiveConfiguration,
    Admitted,
    BadKey,
    NoRoute,
    NotReady,
    RoutingTable,
    choose_service,
)
from cicadapond.serving import (
    CallerRequest,
    ClientAccount,
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    WeightedService,
)

LIMITS = RequestLimits(8192, 65536, seconds(1), seconds(10))
ACCOUNT = ClientAccount("acme", frozenset(("k1",)))


def route(prefix, host="a.example", services=(("s", 1.0),), **changes):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        services=tuple(WeightedService(*weighted) for weighted in services),
        timeout=seconds(1),
        objective=seconds(1),
        **changes,
    )


def configuration(version=1, routes=None, accounts=(ACCOUNT,)):
    routes = routes if routes is not None else (route("/a/"),)
    return Configuration(version, tuple(routes), {}, LIMITS, accounts)


def request(path="/a/x", host="a.example", key="k1"):
    return CallerRequest("r", "GET", path.encode(), host, path, (), key=key)


def test_longest_prefix_of_the_host_wins():
    table = RoutingTable(configuration(routes=(route("/a/"), route("/a/b/"), route("/", "b"))))
    assert table.find(request("/a/b/c")).route.prefix == "/a/b/"
    assert table.find(request("/a/bc")).route.prefix == "/a/"
    assert table.find(request("/a")) == NoRoute()
    assert table.find(request("/a/b/c", host="b")).route.prefix == "/"
    assert table.find(request("/a/b/c", host="c")) == NoRoute()


def test_keys_are_needed_except_on_public_routes_or_without_accounts():
    table = RoutingTable(configuration(routes=(route("/a/"), route("/p/", is_public=True))))
    assert table.find(request()).account == ACCOUNT
    assert table.find(request(key="other")) == BadKey()
    assert table.find(request(key=None)) == BadKey()
    assert table.find(request("/p/x", key="other")) == Admitted(route("/p/", is_public=True), None)
    open_table = RoutingTable(configuration(accounts=None))
    assert isinstance(open_table.find(request(key=None)), Admitted)


def test_service_is_chosen_by_weight_and_request_id():
    split = route("/a/", services=(("s", 90.0), ("t", 10.0)))
    chosen = [choose_service(split, f"r-{number}") for number in range(5000)]
    assert 0.08 < chosen.count("t") / len(chosen) < 0.12
    assert chosen == [choose_service(split, f"r-{number}") for number in range(5000)]


def directory(clock, version=1):
    current = ActiveConfiguration(clock, seconds(5), seconds(2))
    current.apply(configuration(version))
    current.confirm_current(clock.monotonic())
    return current


def test_only_a_newer_version_is_applied():
    current = directory(ManualClock(), version=7)
    assert not current.apply(configuration(7))
    assert not current.apply(configuration(6))
    assert current.apply(configuration(8))
    assert current.version == 8


def test_outdated_copy_does_not_refuse_unknown_routes_and_keys():
    clock = ManualClock()
    current = directory(clock)
    assert current.find(request("/nowhere")) == NoRoute()
    clock.advance(seconds(2.1))
    assert isinstance(current.find(request("/nowhere")), NotReady)
    assert isinstance(current.find(request(key="new")), NotReady)
    assert isinstance(current.find(request()), Admitted)


def test_not_ready_without_configuration():
    current = ActiveConfiguration(ManualClock(), seconds(5), seconds(2))
    assert isinstance(current.find(request()), NotReady)
    assert not current.may_use_keys()


@pytest.mark.parametrize("age_s", [4.7, 4.76, 5.0, 60.0])
def test_key_is_not_used_once_it_may_have_been_revoked(age_s):
    clock = ManualClock()
    current = directory(clock)
    clock.advance(seconds(age_s))
    allowed = age_s < 4.75
    assert isinstance(current.find(request()), Admitted if allowed else NotReady)
    assert current.still_allowed(request()) is allowed


def test_age_counts_from_the_latest_confirmation():
    clock = ManualClock()
    current = directory(clock)
    clock.advance(seconds(4))
    current.confirm_current(seconds(3))
    current.confirm_current(seconds(1))
    assert current.age() == datetime.timedelta(seconds=1)


def test_request_is_not_sent_after_its_key_was_revoked():
    current = directory(ManualClock())
    current.apply(configuration(2, accounts=(ClientAccount("acme", frozenset(("k2",))),)))
    assert not current.still_allowed(request())
