"""Routes: the longest prefix, keys, splits, and the age of the copy."""

import datetime

import pytest

from cicadapond.gateway.data import (
    CallerRequest,
    ClientAccount,
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    WeightedService,
)
from cicadapond.kernel import ManualClock, seconds
from cicadapond.routes import (
    Admitted,
    BadKey,
    Directory,
    NoRoute,
    NotReady,
    RoutingTable,
    choose_service,
)

LIMITS = RequestLimits(8192, 65536, seconds(1), seconds(10))
ACCOUNT = ClientAccount("acme", frozenset(("k1",)))


def route(prefix, host="a.example", services=(("s", 1.0),), **changes):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        services=tuple(WeightedService(*each) for each in services),
        timeout=seconds(1),
        objective=seconds(1),
        **changes,
    )


def configuration(version=1, routes=None, accounts=(ACCOUNT,)):
    routes = routes if routes is not None else (route("/a/"),)
    return Configuration(version, tuple(routes), {}, LIMITS, accounts)


def request(path="/a/x", host="a.example", key="k1"):
    return CallerRequest("r", "GET", path.encode(), host, path, (), key=key)


def test_the_longest_prefix_wins_at_its_host():
    table = RoutingTable(configuration(routes=(route("/a/"), route("/a/b/"), route("/", "b"))))
    assert table.find(request("/a/b/c")).route.prefix == "/a/b/"
    assert table.find(request("/a/bc")).route.prefix == "/a/"
    assert table.find(request("/a")) == NoRoute()
    assert table.find(request("/a/b/c", host="b")).route.prefix == "/"
    assert table.find(request("/a/b/c", host="c")) == NoRoute()


def test_keys_are_needed_but_on_public_routes_and_without_accounts():
    table = RoutingTable(configuration(routes=(route("/a/"), route("/p/", is_public=True))))
    assert table.find(request()).account == ACCOUNT
    assert table.find(request(key="other")) == BadKey()
    assert table.find(request(key=None)) == BadKey()
    assert table.find(request("/p/x", key="other")) == Admitted(route("/p/", is_public=True), None)
    open_table = RoutingTable(configuration(accounts=None))
    assert isinstance(open_table.find(request(key=None)), Admitted)


def test_a_split_follows_its_weights_and_the_request():
    split = route("/a/", services=(("s", 90.0), ("t", 10.0)))
    chosen = [choose_service(split, f"r-{number}") for number in range(5000)]
    assert 0.08 < chosen.count("t") / len(chosen) < 0.12
    assert chosen == [choose_service(split, f"r-{number}") for number in range(5000)]


def directory(clock, version=1):
    found = Directory(clock, seconds(5), seconds(2))
    found.apply(configuration(version))
    found.proved_current(clock.monotonic())
    return found


def test_a_lower_version_never_comes_into_force():
    found = directory(ManualClock(), version=7)
    assert not found.apply(configuration(7))
    assert not found.apply(configuration(6))
    assert found.apply(configuration(8))
    assert found.version == 8


def test_nothing_is_refused_for_good_by_an_old_copy():
    clock = ManualClock()
    found = directory(clock)
    assert found.find(request("/nowhere")) == NoRoute()
    clock.advance(seconds(2.1))
    assert isinstance(found.find(request("/nowhere")), NotReady)
    assert isinstance(found.find(request(key="new")), NotReady)
    assert isinstance(found.find(request()), Admitted)


def test_no_copy_at_all_is_not_ready():
    found = Directory(ManualClock(), seconds(5), seconds(2))
    assert isinstance(found.find(request()), NotReady)
    assert not found.may_use_keys()


@pytest.mark.parametrize("age_s", [4.7, 4.76, 5.0, 60.0])
def test_a_key_is_not_used_once_its_revocation_may_be_in_force(age_s):
    clock = ManualClock()
    found = directory(clock)
    clock.advance(seconds(age_s))
    allowed = age_s < 4.75
    assert isinstance(found.find(request()), Admitted if allowed else NotReady)
    assert found.still_allowed(request()) is allowed


def test_the_age_counts_from_the_latest_proof():
    clock = ManualClock()
    found = directory(clock)
    clock.advance(seconds(4))
    found.proved_current(seconds(3))
    found.proved_current(seconds(1))
    assert found.age() == datetime.timedelta(seconds=1)


def test_a_request_whose_key_was_taken_away_meanwhile_is_not_sent():
    found = directory(ManualClock())
    found.apply(configuration(2, accounts=(ClientAccount("acme", frozenset(("k2",))),)))
    assert not found.still_allowed(request())
