"""Tests the part of one process in a rollout: the split of its traffic, and its evidence."""

import collections
import random

import attrs
import pytest

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.rollout import (
    ALL_ROUTES,
    ExposureBounds,
    Observation,
    Phase,
    RolloutOrder,
    Rollouts,
    RolloutState,
    Verdict,
)
from cicadapond.rollout._evidence import add_totals
from cicadapond.serving import ServerEntry

ORDER = RolloutOrder("chat", "v2", seconds(15), 1)


def server(name, version):
    return ServerEntry(name, "chat", Endpoint("127.0.0.1", 1), "z", 8, version=version)


OLD = [server(f"old-{number}", "v1") for number in range(30)]
NEW = [server(f"new-{number}", "v2") for number in range(30)]


def process_in(phase, clock=None, seed=1, begun=None, **changes):
    clock = clock or ManualClock()
    process = Rollouts(clock, ExposureBounds(), random.Random(seed))
    process.allowed("chat", "a", OLD)
    process.set_order("chat", ORDER)
    if phase is not None:
        now = begun or clock.now()
        process.set_state("chat", RolloutState(ORDER, phase, now, now, share=0.05, **changes))
    clock.advance(seconds(2))
    process.allowed("chat", "a", OLD + NEW)
    clock.advance(seconds(2))
    return process


def versions(process, servers=(*OLD, *NEW), route="a"):
    return {entry.version for entry in process.allowed("chat", route, list(servers))}


def observe(process, version, number, is_bad=False, name="x", slowness=1.0):
    for _ in range(number):
        seen = Observation("chat", version, "a", 0.3, is_bad, slowness, name, seconds(0.1))
        process.record(seen)


def test_a_version_that_appears_before_its_order_gets_nothing_for_a_second():
    clock = ManualClock()
    process = Rollouts(clock, ExposureBounds(), random.Random(1))
    assert versions(process, OLD) == {"v1"}
    assert versions(process) == {"v1"}
    assert versions(process, NEW) == {"v2"}
    clock.advance(seconds(1))
    assert versions(process) == {"v1", "v2"}


@pytest.mark.parametrize("phase", [None, Phase.WAITING, Phase.ROLLED_BACK])
def test_nothing_goes_to_the_version_without_a_trial(phase):
    process = process_in(phase)
    assert versions(process) == {"v1"}
    assert versions(process, NEW) == set()
    assert process.is_stopped(NEW[0]) and not process.is_stopped(OLD[0])


def test_a_completed_rollout_uses_the_version_while_one_of_its_servers_is_usable():
    process = process_in(Phase.COMPLETED)
    assert versions(process) == {"v2"}
    assert versions(process, OLD) == {"v1"}
    process.set_order("chat", None)
    assert versions(process) == {"v2"}


def test_a_rolled_back_version_stays_barred_during_the_next_rollout():
    process = process_in(Phase.TRIAL, barred=("v0",))
    assert versions(process, [server("zero", "v0")]) == set()


def test_an_order_for_the_version_that_serves_keeps_its_servers_in_service():
    # Guards against an outage of the service until the holder has written the order's state.
    process = Rollouts(ManualClock(), ExposureBounds(), random.Random(1))
    assert versions(process, OLD) == {"v1"}
    process.set_order("chat", attrs.evolve(ORDER, to="v1"))
    assert versions(process, OLD) == {"v1"} and not process.is_stopped(OLD[0])


@pytest.mark.parametrize("phase", [Phase.WAITING, Phase.TRIAL, Phase.SHIFT])
def test_an_order_back_to_the_old_version_keeps_it_in_service(phase):
    # Guards against an outage when the operator takes a rollout back by an order.
    process = process_in(phase, shifted=(ALL_ROUTES,) * (phase is Phase.SHIFT))
    back = attrs.evolve(ORDER, to="v1", row_version=2)
    process.set_order("chat", back)
    assert versions(process) == {"v1"} and not process.is_stopped(OLD[0])
    now = ManualClock().now()
    process.set_state("chat", RolloutState(ORDER, Phase.ROLLED_BACK, now, now))
    assert versions(process) == {"v1"}
    process.set_state("chat", RolloutState(back, Phase.COMPLETED, now, now, barred=("v2",)))
    assert versions(process) == {"v1"} and process.is_stopped(NEW[0])


def test_a_version_that_was_rolled_back_stays_barred_when_it_is_ordered_again():
    # Guards against taking a version that was served for a while for the one in service.
    process = process_in(Phase.ROLLED_BACK)
    process.set_order("chat", attrs.evolve(ORDER, row_version=2))
    assert versions(process) == {"v1"} and process.is_stopped(NEW[0])


def test_after_the_time_limit_credits_are_void_also_by_a_clock_that_is_behind():
    # Guards against sends for which no more requests are counted, while no holder ends the order.
    for phase in (Phase.TRIAL, Phase.SHIFT):
        clock = ManualClock()
        process = process_in(phase, clock, begun=clock.now() + seconds(5), shifted=("b",))
        versions(process)
        for _ in range(100):
            process.record_request("chat", "a")
        assert versions(process) == {"v2"}
        clock.advance(seconds(11))
        assert versions(process) == versions(process, route="b") == {"v1"}


def test_credits_do_not_grow_while_no_server_of_the_version_is_usable():
    # Guards against a burst of all processes at the first canary engine that is usable again.
    sent = 0
    for seed in range(40):
        process = process_in(Phase.TRIAL, seed=seed)
        versions(process, OLD)
        for _ in range(100):
            process.record_request("chat", "a")
            versions(process, OLD)
        versions(process)
        process.record_request("chat", "a")
        sent += versions(process) == {"v2"}
    assert 0 < sent < 10


def test_totals_do_not_change_after_the_end_of_a_rollout():
    # Guards against reports that grow with the traffic for as long as a process runs.
    process = process_in(Phase.TRIAL)
    process.record_request("chat", "a")
    rollout = process._rollouts["chat"]
    process.set_state("chat", attrs.evolve(rollout.state, phase=Phase.COMPLETED))
    before = process.reported()
    process.record_request("chat", "a")
    process.record_sent(NEW[0], "a")
    observe(process, "v2", 1)
    assert process.reported() == before


@pytest.mark.parametrize("counts", [(1, 2, 3), (1,) * 6 + (-(10**6),) + (0,) * 6, (1,) * 20])
def test_malformed_totals_do_not_disturb_the_judgement(counts):
    # Guards against an exception in each request because of one report.
    clock = ManualClock()
    begun = clock.now()
    process, other = (process_in(Phase.TRIAL, clock, begun=begun) for _ in range(2))
    for _ in range(12):
        other.record_request("chat", "a")
        observe(other, "v1", 100)
        observe(other, "v2", 10)
        totals = other.reported()
        process.apply("z", totals)
        key = next(key for key in totals if "\to\t" in key)
        process.apply("z", {key: counts, key + "\tmore": counts, "x": counts})
        process.apply("y", {key: counts})
        process.record_request("chat", "a")
        clock.advance(seconds(0.3))
    assert process.judgement("chat").verdict is not Verdict.BAD


def test_a_state_that_becomes_unreadable_forgets_no_verdict():
    # Guards against sends to a bad version because its row cannot be read for a while.
    process = process_in(Phase.ROLLED_BACK, barred=("v0",))
    process.set_state("chat", None)
    process.set_order("chat", None)
    assert versions(process) == {"v1"} and process.is_stopped(server("zero", "v0"))

    clock = ManualClock()
    process = process_in(Phase.TRIAL, clock)
    state = process._rollouts["chat"].state
    for _ in range(16):
        clock.advance(seconds(0.3))
        observe(process, "v1", 20)
        observe(process, "v2", 5, is_bad=True)
    assert process.is_stopped(NEW[0])
    process.set_state("chat", None)
    process.set_state("chat", state)
    assert process.is_stopped(NEW[0])


def test_withdrawn_and_changed_orders_stop_the_version_before_the_holder_says_so():
    process = process_in(Phase.SHIFT, shifted=(ALL_ROUTES,))
    assert versions(process) == {"v2"}
    process.set_order("chat", attrs.evolve(ORDER, row_version=2))
    assert versions(process) == {"v2"}
    process.set_order("chat", attrs.evolve(ORDER, duration=seconds(20)))
    assert versions(process) == {"v1"}
    process.set_order("chat", None)
    assert versions(process) == {"v1"} and process.is_stopped(NEW[0])


def test_a_shift_moves_its_routes_until_the_time_limit():
    clock = ManualClock()
    process = process_in(Phase.SHIFT, clock, shifted=("a",))
    assert versions(process) == {"v2"} and versions(process, route="b") == {"v1"}
    assert versions(process, OLD) == {"v1"}
    clock.advance(seconds(15))
    assert versions(process) == {"v1"}


def test_many_processes_that_hear_nothing_keep_the_share_and_use_few_engines():
    # Guards against a sum of roundings, and against canary engines without load.
    rng = random.Random(3)
    begun = ManualClock().now()
    processes = [process_in(Phase.TRIAL, None, number, begun) for number in range(420)]
    sent, used = collections.Counter(), set()
    for _ in range(4000):
        process, route = rng.choice(processes), rng.choices("ab", (10, 1))[0]
        process.record_request("chat", route)
        entry = process.allowed("chat", route, OLD + NEW)[0]
        process.record_sent(entry, route)
        sent[entry.version] += 1
        used.add(entry.name)
    assert 150 < sent["v2"] < 250
    assert len([name for name in used if name.startswith("new")]) <= 2


def test_a_shift_ends_in_a_process_that_has_sent_its_part():
    # Guards against exposure beyond the bound while the counts of others are on their way.
    clock = ManualClock()
    process = process_in(Phase.SHIFT, clock, shifted=(ALL_ROUTES,))
    sent = collections.Counter()
    for _ in range(2200):
        clock.advance(seconds(0.005))
        process.record_request("chat", "a")
        entry = process.allowed("chat", "a", OLD + NEW)[0]
        process.record_sent(entry, "a")
        sent[entry.version] += 1
    assert 100 < sent["v2"] < 0.1 * 2200 + 50


@pytest.mark.parametrize("count", [60, 420])
def test_the_parts_of_all_processes_in_a_shift_stay_within_the_bound(count):
    # Guards against half a request or a quarter of a second too much in each of many processes.
    rng = random.Random(4)
    clocks = [ManualClock() for _ in range(count)]
    processes = [process_in(Phase.TRIAL, each, seed) for seed, each in enumerate(clocks)]
    begun = clocks[0].now() - seconds(4)
    requests = sent = 0
    totals = [{}]
    for tick in range(1, 220):
        for clock in clocks:
            clock.advance(seconds(0.05))
        if tick == 192:
            shift = RolloutState(ORDER, Phase.SHIFT, begun, begun, shifted=(ALL_ROUTES,))
            for process in processes:
                process.set_state("chat", shift)
        for process in processes:
            if rng.random() < 0.3:
                process.record_request("chat", "a")
                entry, *_ = process.allowed("chat", "a", [OLD[0], NEW[0]])
                process.record_sent(entry, "a")
                requests += 1
                sent += entry.version == "v2"
        totals.append(add_totals(process.reported() for process in processes))
        if tick % 5 == 0:
            for process in processes:
                process.apply("z", totals[max(0, tick - 6)])
    assert 0.09 * requests < sent <= 0.1 * requests + 50


def test_a_process_that_has_heard_of_no_other_gets_none_of_the_tolerance_in_a_shift():
    # Guards against exposure by processes that all restart right before the shift.
    sent = 0
    for number in range(60):
        clock = ManualClock()
        begun = clock.now() - seconds(10)
        process = process_in(Phase.SHIFT, clock, number, begun, shifted=(ALL_ROUTES,))
        for _ in range(6):
            process.record_request("chat", "a")
            entry = process.allowed("chat", "a", OLD + NEW)[0]
            process.record_sent(entry, "a")
            sent += entry.version == "v2"
    assert 0 < sent < 0.1 * 60 * 6 + 50


def test_rare_routes_have_a_larger_share():
    clock = ManualClock()
    process = process_in(Phase.TRIAL, clock)
    sent = collections.Counter()
    for number in range(4400):
        route = "b" if number % 11 == 0 else "a"
        clock.advance(seconds(0.002))
        process.record_request("chat", route)
        entry = process.allowed("chat", route, OLD + NEW)[0]
        process.record_sent(entry, route)
        sent[entry.version, route] += 1
    assert sent["v2", "b"] / 400 > 3 * sent["v2", "a"] / 4000
    assert sent["v2", "a"] + sent["v2", "b"] < 0.06 * 4400


@pytest.mark.parametrize(("requests", "verdict"), [(30, Verdict.GOOD), (300, Verdict.CONTINUE)])
def test_a_version_is_not_good_while_a_route_has_no_outcomes(requests, verdict):
    # Guards against a version that refuses all requests of one route.
    clock = ManualClock()
    process = process_in(Phase.TRIAL, clock)
    for number in range(40):
        clock.advance(seconds(0.3))
        observe(process, "v1", 50)
        observe(process, "v2", 5, name=f"engine {number % 4}")
        for _ in range(50):
            process.record_request("chat", "a")
    for _ in range(requests):
        process.record_request("chat", "b")
    clock.advance(seconds(1.1))
    assert process.judgement("chat").verdict is verdict


@pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.SHIFT])
def test_a_process_stops_on_its_own_evidence_and_stays_stopped(phase):
    clock = ManualClock()
    process = process_in(phase, clock, shifted=(ALL_ROUTES,) * (phase is Phase.SHIFT))
    for _ in range(16):
        clock.advance(seconds(0.3))
        observe(process, "v1", 20)
        observe(process, "v2", 2, is_bad=True)
    assert process.judgement("chat").verdict is Verdict.BAD
    assert process.is_stopped(NEW[0]) and versions(process, NEW) == set()
    for _ in range(16):
        clock.advance(seconds(0.3))
        observe(process, "v2", 50)
    assert process.is_stopped(NEW[0])


def test_a_process_stops_on_what_others_saw():
    clock = ManualClock()
    begun = clock.now()
    others = [process_in(Phase.TRIAL, clock, number, begun) for number in range(9)]
    process = process_in(Phase.TRIAL, clock, begun=begun)
    for number in range(9):
        clock.advance(seconds(0.3))
        observe(others[number], "v1", 20)
        observe(others[number], "v2", 2, is_bad=True, name=f"new-{number}")
        process.apply("z", add_totals(other.reported() for other in others))
    assert process.judgement("chat").verdict is Verdict.BAD
    process.apply("z", {"garbage": (1,), "chat\tx\tn": ()})


def test_a_crash_of_one_engine_does_not_stop_the_version():
    # Guards against blaming a version for the requests that an engine ran when it crashed.
    clock = ManualClock()
    process = process_in(Phase.TRIAL, clock)
    for number in range(10):
        clock.advance(seconds(0.3))
        observe(process, "v1", 20)
        observe(process, "v2", 4)
        observe(process, "v2", 30 * (number == 5), is_bad=True, name="crashed")
    assert process.judgement("chat").verdict is not Verdict.BAD


def test_a_version_whose_engine_has_just_begun_to_fail_is_not_good_yet():
    # Guards against the completion of a version that turns bad in the second before it.
    clock = ManualClock()
    process = process_in(Phase.SHIFT, clock, shifted=(ALL_ROUTES,))
    for _ in range(25):
        observe(process, "v1", 23)
        observe(process, "v2", 2)
        clock.advance(seconds(0.1))
    assert process.judgement("chat").verdict is Verdict.GOOD
    observe(process, "v2", 15, is_bad=True)
    observe(process, "v2", 10)
    clock.advance(seconds(0.26))
    assert process.judgement("chat").verdict is Verdict.CONTINUE
    # A crash ends; what it failed does not keep the version from being good for long.
    for _ in range(10):
        observe(process, "v2", 2)
        clock.advance(seconds(0.26))
    assert process.judgement("chat").verdict is Verdict.GOOD


def test_slow_responses_of_the_new_version_only_count_against_it():
    clock = ManualClock()
    process, other = (process_in(Phase.TRIAL, clock, seed=number) for number in (1, 2))
    for number in range(16):
        clock.advance(seconds(0.3))
        for seen, factor in ((process, 1.0), (other, 4.0)):
            observe(seen, "v1", 20, slowness=4.0 / factor)
            observe(seen, "v2", 4, slowness=4.0, name=f"new-{number % 2}")
    assert process.judgement("chat").verdict is not Verdict.BAD
    assert other.judgement("chat").verdict is Verdict.BAD
    assert other.state()["chat"]["is_stopped"]


def test_a_request_waits_that_would_run_on_the_old_version_when_its_servers_stop():
    # Guards against streams that are cut at the completion (3 of 369 in a run of CI).
    clock = ManualClock()
    process = process_in(Phase.TRIAL, clock)
    observe(process, "v1", 30)
    stops_at = clock.now() + seconds(1)
    began_at = clock.now() - seconds(4)
    state = RolloutState(ORDER, Phase.SHIFT, began_at, clock.now(), completes_at=stops_at)
    process.set_state("chat", state)
    old = process.allowed("chat", "a", OLD + NEW)
    assert {entry.version for entry in old} == {"v1"}

    def waits(chosen=old, left=10):
        return process.must_wait("chat", "a", chosen, seconds(left))

    assert not waits(), "it ends in time"
    clock.advance(seconds(0.95))
    assert waits() and not waits(NEW)
    assert not waits(left=0.01), "its own time ends before"
    process.allowed("chat", "a", OLD)
    assert not waits(), "the version has no server"
    process.allowed("chat", "a", OLD + NEW)
    clock.advance(ORDER.duration)
    assert not waits(), "the time limit has passed without an outcome"
