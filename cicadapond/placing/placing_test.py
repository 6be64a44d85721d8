"""Placement: prefix caches against queues, failing servers, unreachable data centres."""

import random

import pytest

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import EngineWork, Placer, PrefixCacheModel, ServerHealth
from cicadapond.serving import Generation, LoadHeader, PromptPart, ServerEntry


def entry(name, zone="a", slots=8):
    return ServerEntry(name, "pool", Endpoint("::1", 1), zone, slots)


def prompt(prefix, suffix, shared=5000, tokens=1000):
    parts = (PromptPart(f"t-{prefix}", shared), PromptPart(f"o-{suffix}", tokens))
    return Generation(shared + tokens, 100, parts)


ENGINES = [entry(f"e-{number}") for number in range(4)]


def test_prefix_cache_counts_leading_parts_only_and_evicts_the_oldest():
    cache = PrefixCacheModel(capacity_tokens=1000)
    parts = (PromptPart("a", 200), PromptPart("b", 300))
    cache.add_prompt(parts)
    assert cache.cached_tokens(parts) == 500
    assert cache.cached_tokens((PromptPart("x", 1), *parts)) == 0
    cache.add_prompt((PromptPart("c", 300),))
    assert cache.cached_tokens(parts) == 0
    assert cache.cached_tokens((PromptPart("c", 300),)) == 300


def test_prompts_with_one_prefix_go_where_it_is_cached():
    clock = ManualClock()
    placer = Placer(clock, "a")
    placed = set()
    for number in range(20):
        placement = placer.place(ENGINES, prompt("planogram", number))
        placer.mark_ended(placement.request)
        placed.add(placement.server.name)
        clock.advance(seconds(1))
    assert len(placed) == 1


def test_the_parts_that_an_earlier_start_cached_are_forgotten():
    """Guards against prompts that are placed by what a server held before it started again."""
    placer = Placer(ManualClock(), "a")
    work_ms = []
    for _ in range(3):
        work_ms.append(placer.place(ENGINES[:1], prompt("p", 1)).request.work_ms)
        if len(work_ms) == 2:
            placer.mark_restarted("e-0")
    assert work_ms[1] < work_ms[0] == work_ms[2]


def test_processes_agree_on_the_home_of_a_prefix_without_communication():
    for prefix in range(20):
        generation = prompt(prefix, "own")
        home_names = {
            Placer(ManualClock(), "a").place(ENGINES, generation).server.name for _ in "ab"
        }
        assert len(home_names) == 1


def test_a_queue_at_the_warm_engine_sends_a_prompt_elsewhere():
    placer = Placer(ManualClock(), "a")
    names = [placer.place(ENGINES, prompt("hot", number)).server.name for number in range(30)]
    assert len(set(names)) == len(ENGINES)


def test_a_prompt_whose_answer_has_begun_is_no_longer_queued():
    placer = Placer(ManualClock(), "a")
    first = placer.place(ENGINES, prompt("hot", 1))
    placer.mark_answer_begun(first.request)
    assert placer.place(ENGINES, prompt("hot", 2)).server == first.server


def test_a_load_report_counts_and_decays():
    clock = ManualClock()
    placer = Placer(clock, "a")
    servers = [entry("s-0"), entry("s-1")]
    for server in servers:
        placer.mark_ended(placer.place([server], None).request)
    placer.update_load("s-0", LoadHeader(running=8, waiting=4, slots=8))
    for _ in range(3):
        placement = placer.place(servers, None)
        placer.mark_ended(placement.request)
        assert placement.server.name == "s-1"
    clock.advance(seconds(10))
    estimates = {server.name: expected for expected, server, _ in placer.estimate(servers, None)}
    assert abs(estimates["s-0"] - estimates["s-1"]) < 1.0


def test_calls_avoid_a_slow_host_only_while_its_pace_is_news():
    clock = ManualClock()
    placer = Placer(clock, "a")
    servers = [entry("s-0"), entry("s-1")]
    for server in servers:
        placer.mark_ended(placer.place([server], None).request)
    placer.update_load("s-0", LoadHeader(running=0, waiting=0, slots=8, pace=2.5))
    assert placer.place(servers, None).server.name == "s-1"
    clock.advance(seconds(3))
    estimates = {server.name: expected for expected, server, _ in placer.estimate(servers, None)}
    assert abs(estimates["s-0"] - (estimates["s-1"])) < 5.0, "the pace changes within a second"


def work(prefill_total_ms, in_flight):
    return {"e-0": EngineWork(prefill_total_ms, in_flight)}


def waits(placer, servers=ENGINES, generation=None):
    estimates = placer.estimate(servers, generation or prompt("x", "y"))
    return {server.name: expected for expected, server, _ in estimates}


def known_placer(clock):
    """Returns a placer that has sent a request to each engine."""
    placer = Placer(clock, "a")
    for server in ENGINES:
        placer.mark_ended(placer.place([server], prompt("warm", server.name)).request)
    clock.advance(seconds(5))
    return placer


def test_a_full_batch_of_other_processes_is_avoided():
    clock = ManualClock()
    placer = known_placer(clock)
    before = waits(placer)
    placer.apply_others_work("b", "hub", work(0, 8), includes_own=False)
    assert waits(placer)["e-0"] > before["e-0"] + 100
    clock.advance(seconds(4))  # nothing was heard for too long to count
    assert waits(placer)["e-0"] < before["e-0"] + 10


def test_prefill_that_others_sent_counts_from_the_second_report_on():
    placer = known_placer(ManualClock())
    before = waits(placer)["e-0"]
    placer.apply_others_work("b", "hub", work(5000, 0), includes_own=False)
    assert waits(placer)["e-0"] < before + 10
    placer.apply_others_work("b", "hub", work(5300, 0), includes_own=False)
    assert waits(placer)["e-0"] > before + 200
    placer.apply_others_work("b", "other hub", work(9000, 0), includes_own=False)
    assert waits(placer)["e-0"] < before + 400


def test_own_work_in_the_total_of_the_data_centre_counts_once():
    placer = known_placer(ManualClock())
    own = placer.engine_work()["e-0"].prefill_total_ms
    placer.apply_others_work("a", "hub", work(0, 0), includes_own=True)
    before = waits(placer)["e-0"]
    placer.apply_others_work("a", "hub", work(own, 0), includes_own=True)
    assert abs(waits(placer)["e-0"] - before) < 5


def test_no_server_gives_no_placement():
    assert Placer(ManualClock(), "a").place([], None) is None


def test_a_burst_is_spread_so_that_its_answers_begin_in_time():
    """Simulates 10 s of bursty prompts at 55% of the prefill rate of four engines."""
    clock, rng = ManualClock(), random.Random(5)
    placer = Placer(clock, "a")
    free_at = dict.fromkeys((server.name for server in ENGINES), 0.0)
    late = served = 0
    running = []
    for step in range(1000):
        now = step * 0.01
        for request, end in [item for item in running if item[1] <= now]:
            placer.mark_answer_begun(request)
            placer.mark_ended(request)
            running.remove((request, end))
        for _ in range(rng.choice((0, 0, 0, 0, 0, 1, 1, 2))):
            generation = prompt(rng.randrange(60), f"{step}", shared=3000, tokens=2500)
            placement = placer.place(ENGINES, generation)
            name = placement.server.name
            begin = max(free_at[name], now)
            free_at[name] = begin + placement.request.work_ms / 1000
            running.append((placement.request, free_at[name]))
            served += 1
            late += free_at[name] - now > 0.4
        clock.advance(seconds(0.01))
    assert served > 400
    assert late / served < 0.02


# Health


def new_health():
    clock = ManualClock()
    return clock, ServerHealth(clock, "a")


def usable_names(health, servers):
    return [server.name for server in health.usable(servers)]


def test_a_server_that_fails_where_others_do_not_is_ejected():
    _, health = new_health()
    servers = [entry("s-0"), entry("s-1"), entry("s-2")]
    for _ in range(10):
        health.record_success("s-1")
        health.record_success("s-2")
    for _ in range(5):
        health.record_failure("s-0", ("s-1", "s-2"))
    assert usable_names(health, servers) == ["s-1", "s-2"]


def test_failures_common_to_a_service_eject_no_server():
    clock, health = new_health()
    names = ("s-0", "s-1", "s-2")
    rng = random.Random(3)
    for _ in range(200):
        for name in names:
            others = tuple(other for other in names if other != name)
            if rng.random() < 0.14:
                assert not health.record_failure(name, others)
            else:
                health.record_success(name)
        clock.advance(seconds(0.1))


def test_an_ejection_ends_and_each_one_is_longer_up_to_a_maximum():
    clock, health = new_health()
    servers = [entry("s-0"), entry("s-1")]
    for _ in range(10):
        health.record_success("s-1")
    for ejection_s in (1.0, 2.0, 4.0, 6.0, 6.0):
        for _ in range(5):
            health.record_failure("s-0", ("s-1",))
        clock.advance(seconds(ejection_s - 0.1))
        assert usable_names(health, servers) == ["s-1"]
        clock.advance(seconds(0.2))
        assert usable_names(health, servers) == ["s-0", "s-1"]


def test_at_least_half_of_the_servers_that_can_be_reached_are_used():
    _, health = new_health()
    servers = [entry(f"s-{number}") for number in range(4)]
    for server in servers[:3]:
        for _ in range(7):
            health.record_failure(server.name, ("s-3",))
    assert len(usable_names(health, servers)) >= 2


def test_an_unreachable_server_is_left_out_at_once_and_retried():
    clock, health = new_health()
    servers = [entry("s-0"), entry("s-1")]
    health.mark_unreachable(servers[0])
    assert usable_names(health, servers) == ["s-1"]
    clock.advance(seconds(0.5))
    assert usable_names(health, servers) == ["s-0", "s-1"]


@pytest.mark.parametrize("failures", [49, 2000])
def test_any_number_of_failed_connections_leaves_a_server_out_for_the_longest_time(failures):
    """Guards against LOST: from the 49th on, each request that was placed there failed."""
    clock, health = new_health()
    servers = [entry("s-0"), entry("s-1")]
    for _ in range(failures):
        health.mark_unreachable(servers[0])
    clock.advance(seconds(1.5))
    assert usable_names(health, servers) == ["s-1"]
    clock.advance(seconds(0.2))
    assert usable_names(health, servers) == ["s-0", "s-1"]


def test_any_number_of_ejections_can_follow_each_other():
    """Guards against LOST: the 50th ejection of a server failed."""
    clock, health = new_health()
    servers = [entry("s-0"), entry("s-1")]
    for _ in range(60):
        health.record_success("s-1")
        for _ in range(10):
            health.record_failure("s-0", ("s-1",))
        assert usable_names(health, servers) == ["s-1"]
        clock.advance(seconds(6.1))


def test_two_unreachable_servers_make_their_data_centre_unreachable():
    clock, health = new_health()
    servers = [entry("s-0")] + [entry(f"b-{number}", zone="b") for number in range(4)]
    health.mark_unreachable(servers[1])
    health.mark_unreachable(servers[2])
    assert usable_names(health, servers) == ["s-0"]
    health.mark_reachable(servers[3])
    assert "b-3" in usable_names(health, servers)
    clock.advance(seconds(2))
    assert len(usable_names(health, servers)) == 5


def test_at_least_one_server_is_always_usable():
    _, health = new_health()
    servers = [entry("s-0", zone="b"), entry("s-1", zone="b")]
    for server in servers:
        health.mark_unreachable(server)
    assert usable_names(health, servers)
