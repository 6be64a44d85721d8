"""Routing policies: prefix affinity, load, report age, slow start, event gaps, eligibility."""

import random

import attrs
import pytest

from cicadapond.data import BackendServer, CacheEvent, Endpoint, LoadReport, ServerKind
from cicadapond.document import CostIntent, Intent, PolicyIntent
from cicadapond.kernel import seconds
from cicadapond.routing import (
    DocumentRouter,
    PrefixMap,
    RouteRequest,
    RouterSettings,
    ServerView,
    routers,
)

NOW = seconds(1000)
BLOCKS = tuple(range(1, 65))
LONG = RouteRequest(blocks=BLOCKS, tokens=1024)
QUICK = RouteRequest(tokens=20)


def make_view(name, own=0, peers=0, **fields):
    server = BackendServer(name, ServerKind.ENGINE, "pool", "yqr", Endpoint("127.0.0.1", 1))
    return ServerView(server, own_in_flight=own, peer_in_flight=peers, **fields)


def make_router(name="scored", **cfg):
    return routers.create(name, RouterSettings(**cfg), random.Random(1))


def chosen(router, req, views):
    view = router.choose(req, views, NOW)
    return view.server.name if view else None


@pytest.mark.parametrize("name", ["scored", "round-robin", "least-in-flight"])
def test_no_policy_chooses_an_ineligible_server(name):
    router = make_router(name)
    views = [
        make_view("leaving", leaving=True),
        make_view("failing", failing_until=NOW + seconds(1)),
        make_view("avoided"),
        make_view("good", own=30),
    ]
    req = attrs.evolve(QUICK, avoid=frozenset({"avoided"}))
    assert {chosen(router, req, views) for _ in range(20)} == {"good"}
    assert chosen(router, req, views[:3]) is None


def test_round_robin_takes_turns_and_least_in_flight_counts_peers():
    views = [make_view("a", own=2), make_view("b", own=1, peers=3), make_view("c", own=3)]
    router = make_router("round-robin")
    assert [chosen(router, QUICK, views) for _ in range(4)] == ["a", "b", "c", "a"]
    assert chosen(make_router("least-in-flight"), QUICK, views) == "a"


def test_a_prefix_goes_where_it_is_cached_until_the_load_bound():
    router = make_router(load_bound=1.5, load_slack=4)
    views = [make_view("a", own=2), make_view("b", own=2), make_view("c", own=2)]
    router.routed(LONG, "b", NOW - seconds(60))
    assert chosen(router, LONG, views) == "b"
    views[1].own_in_flight = 30
    assert chosen(router, LONG, views) != "b"


def test_two_processes_send_a_new_prefix_to_the_same_engine():
    views = [make_view(name) for name in "abcdef"]
    for start in range(20):
        blocks = tuple(range(1000 * start, 1000 * start + 64))
        req = attrs.evolve(LONG, blocks=blocks)
        first = chosen(make_router(), req, views)
        other = routers.create("scored", RouterSettings(), random.Random(start))
        assert chosen(other, req, list(reversed(views))) == first


def test_the_weight_of_a_report_decays_with_age():
    router = make_router()
    busy = LoadReport("a", running=32, waiting=60, slots=32)
    views = [make_view("a", report=busy, report_at=NOW), make_view("b", own=20)]
    assert chosen(router, QUICK, views) == "b"
    views[0].report_at = NOW - seconds(60)
    assert chosen(router, QUICK, views) == "a"


def test_slow_start_limits_the_load_of_a_new_server():
    router = make_router()
    old = [make_view(name, own=10) for name in "abc"]
    new = make_view("new", own=3, live_since=NOW - seconds(0.5))
    assert chosen(router, QUICK, [*old, new]) != "new"
    new.live_since = NOW - seconds(60)
    assert chosen(router, QUICK, [*old, new]) == "new"


def test_a_gap_in_the_events_lowers_the_confidence_and_answers_restore_it():
    prefixes = PrefixMap(1000)
    prefixes.apply("a", [CacheEvent(1, True, 11), CacheEvent(2, True, 12)])
    assert prefixes.depths((11, 12, 13)) == {"a": 2}
    assert prefixes.confidence("a") == 1.0
    prefixes.apply("a", [CacheEvent(5, True, 99)])
    lowered = prefixes.confidence("a")
    assert lowered < 1.0
    assert prefixes.depths((11, 12, 13)) == {"a": 2}
    prefixes.observe((11, 12), "a", 2)
    assert prefixes.confidence("a") > lowered
    prefixes.apply("a", [CacheEvent(6, False, 12)])
    assert prefixes.depths((11, 12, 13)) == {"a": 1}


def test_repeated_events_are_ignored_and_forget_drops_all_entries():
    prefixes = PrefixMap(1000)
    prefixes.apply("a", [CacheEvent(1, True, 11)])
    prefixes.apply("a", [CacheEvent(1, False, 11)])
    assert prefixes.depths((11,)) == {"a": 1}
    prefixes.forget("a")
    assert prefixes.depths((11,)) == {}
    assert prefixes.last_event("a") == 0


def test_event_numbers_that_restart_from_one_clear_the_cache_entries():
    prefixes = PrefixMap(1000)
    prefixes.apply("a", [CacheEvent(number, True, number) for number in range(1, 50)])
    prefixes.apply("a", [CacheEvent(1, True, 500)])
    assert prefixes.depths((1,)) == {}
    assert prefixes.depths((500,)) == {"a": 1}


def test_the_map_is_bounded():
    prefixes = PrefixMap(10)
    prefixes.add(tuple(range(100)), "a")
    assert len(prefixes) == 10


def test_the_document_names_the_policy_and_its_weights():
    intent = Intent(policies=PolicyIntent(routing="round-robin"))
    router = DocumentRouter(lambda: intent, random.Random(1))
    views = [make_view("a"), make_view("b")]
    assert [chosen(router, QUICK, views) for _ in range(3)] == ["a", "b", "a"]
    intent = Intent(policies=PolicyIntent(routing="scored"))
    router.routed(LONG, "b", NOW - seconds(60))
    before = router.policy
    intent = attrs.evolve(intent, cost=CostIntent(recompute_weight=0.0))
    assert router.policy is before
    assert router.policy.cfg.recompute_weight == 0.0
    assert chosen(router, LONG, views) == "b"


def test_an_unknown_policy_name_falls_back_to_the_default():
    intent = Intent(policies=PolicyIntent(routing="of-a-later-release"))
    router = DocumentRouter(lambda: intent, random.Random(1))
    assert chosen(router, QUICK, [make_view("a")]) == "a"
