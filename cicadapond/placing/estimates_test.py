"""Estimates count each wait once, and what others report only while it is true."""

import attrs

from cicadapond.data import Endpoint
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import EngineWork, Placer
from cicadapond.serving import Generation, LoadHeader, ServerEntry

ENGINE = ServerEntry("e-0", "pool", Endpoint("::1", 1), "a", 16)
PLAIN = ServerEntry("s-0", "calls", Endpoint("::1", 1), "a", 6)
SHORT, LONG = Generation(1800, 30), Generation(6600, 400)


def expected_ms(placer, generation, priority=0, server=ENGINE):
    return placer.estimate([server], generation, priority)[0][0]


def run(placer, clock, generation, priority, begins_s, lasts_s):
    request = placer.place([ENGINE], generation, priority).request
    clock.advance(seconds(begins_s))
    placer.mark_answer_begun(request)
    clock.advance(seconds(lasts_s))
    placer.mark_ended(request)


def test_an_urgent_request_waits_for_the_next_slot_only():
    """Counting all that wait, whatever their priority, gave over a second for a short prompt."""
    clock = ManualClock()
    placer = Placer(clock, "a")
    for _ in range(20):
        run(placer, clock, LONG, 1, 0.15, 1.2)
        run(placer, clock, SHORT, 0, 0.07, 0.06)
    for _ in range(40):
        placer.place([ENGINE], LONG, 1)
    clock.advance(seconds(2))
    assert expected_ms(placer, SHORT, 0) < 400
    assert expected_ms(placer, LONG, 1) > 800


def test_prefill_that_was_heard_of_late_was_done_while_the_engine_seemed_idle():
    clock = ManualClock()
    placer = Placer(clock, "a")
    placer.mark_ended(placer.place([ENGINE], SHORT).request)
    placer.apply_others_work("b", "hub", {"e-0": EngineWork(0, 0)}, includes_own=False)
    clock.advance(seconds(1))
    before = expected_ms(placer, SHORT)
    placer.apply_others_work("b", "hub", {"e-0": EngineWork(300, 0)}, includes_own=False)
    assert expected_ms(placer, SHORT) < before + 10


def test_a_slow_phase_of_a_host_is_not_learned_as_the_speed_of_its_engine():
    clock = ManualClock()
    placer = Placer(clock, "a")
    placer.mark_ended(placer.place([ENGINE], LONG).request)
    usual = expected_ms(placer, LONG)
    for _ in range(20):
        placer.update_load("e-0", LoadHeader(0, 0, 16, pace=2.5))
        run(placer, clock, LONG, 0, 2.5 * usual / 1000, 0.01)
    clock.advance(seconds(10))
    assert expected_ms(placer, LONG) < 1.3 * usual


def test_the_queue_of_a_plain_server_is_not_learned_as_its_speed():
    clock = ManualClock()
    placer = Placer(clock, "a")
    for _ in range(60):
        requests = [placer.place([PLAIN], None).request for _ in range(12)]
        clock.advance(seconds(0.03))
        for number, request in enumerate(requests):
            placer.mark_ended(request, seconds(0.03 if number < 6 else 0.06))
    assert expected_ms(placer, None, server=PLAIN) < 45


def test_an_urgent_request_avoids_an_engine_where_it_would_preempt_another():
    """Short requests at full engines preempted long ones, 302 of 2,343 in a day."""
    clock = ManualClock()
    placer = Placer(clock, "a")
    for _ in range(20):
        run(placer, clock, LONG, 1, 0.15, 1.2)
        run(placer, clock, SHORT, 0, 0.07, 0.06)
    other = attrs.evolve(ENGINE, name="e-1")
    placer.place([other], LONG, 1)
    for _ in range(16):
        placer.mark_answer_begun(placer.place([ENGINE], LONG, 1).request)
    for _ in range(7):
        placer.mark_answer_begun(placer.place([other], LONG, 1).request)
    clock.advance(seconds(1))
    placer.update_load("e-1", LoadHeader(8, 0, 16, pace=1.0))
    full, free = (placer.choose([entry], SHORT, 0) for entry in (ENGINE, other))
    assert full.cost_ms > 10.0
    assert free.cost_ms == 0.0
    assert placer.choose([ENGINE, other], SHORT, 0).entry == other
    assert full.expected_ms - full.cost_ms < 522.0, "it still goes there if there is no other"


def call(placer, clock, servers, times_s):
    """Makes one call after the other; returns how many each server got."""
    counts = dict.fromkeys(times_s, 0)
    for _ in range(300):
        placement = placer.place(servers, None)
        name = placement.server.name
        took = seconds(times_s[name])
        clock.advance(took)
        placer.mark_ended(placement.request, took)
        counts[name] += 1
        clock.advance(seconds(0.05))
    return counts


def test_a_plain_server_whose_first_call_was_slow_is_tried_again():
    """A first call of 31 ms beside a server that took 1.4 ms kept a server out for good."""
    clock = ManualClock()
    placer = Placer(clock, "a")
    other = attrs.evolve(PLAIN, name="s-1")
    placer.mark_ended(placer.place([other], None).request, seconds(0.031))
    counts = call(placer, clock, [PLAIN, other], {"s-0": 0.0014, "s-1": 0.0014})
    assert counts["s-1"] > 30, counts


def test_a_plain_server_that_stays_slow_gets_little():
    clock = ManualClock()
    placer = Placer(clock, "a")
    other = attrs.evolve(PLAIN, name="s-1")
    counts = call(placer, clock, [PLAIN, other], {"s-0": 0.0225, "s-1": 0.225})
    assert 1 <= counts["s-1"] <= 15, counts


def test_an_engine_whose_memory_is_full_is_avoided_although_it_has_slots():
    """Requests that exceeded the memory were preempted, 130 to 377 a day."""
    clock = ManualClock()
    placer = Placer(clock, "a", memory=lambda service: 16_000)
    run(placer, clock, LONG, 0, 0.1, 1.0)
    empty = expected_ms(placer, LONG)
    for _ in range(2):
        placer.mark_answer_begun(placer.place([ENGINE], LONG).request)
    clock.advance(seconds(1))
    assert expected_ms(placer, LONG) > empty + 200
    assert expected_ms(placer, SHORT) < empty + 50
    placer.update_memory("e-0", 1_000)
    assert expected_ms(placer, LONG) < empty + 50
