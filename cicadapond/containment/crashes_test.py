"""Containment: what counts as a crash, what it is blamed on, and when a request is not sent."""

import datetime
import itertools

import attrs

from cicadapond.containment import (
    Crash,
    CrashEvidence,
    CrashTracker,
    Successes,
    find_culprits,
    fingerprint_of,
)
from cicadapond.containment._crashes import (
    CRASH_RETENTION,
    EARLY_TRIAL_DELAY,
    EVALUATION_INTERVAL,
    FIRST_TRIAL_DELAY,
)
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import CallerRequest, Generation, PromptPart

SERVERS = (f"s-{number}/1" for number in itertools.count())


def crash(tracker, clock, *requests, server=None):
    """Lets a server crash that runs these requests, given by their traits."""
    clock.advance(seconds(0.2))
    server = server or next(SERVERS)
    for traits in requests:
        tracker.record_broken_connection(traits, server)
    tracker.record_server_down(server)


def succeed(tracker, clock, *traits):
    clock.advance(seconds(0.2))
    tracker.record_success(traits, clock.now())


def make():
    clock = ManualClock()
    return CrashTracker(clock, "z"), clock


def test_a_request_is_contained_after_its_third_crash():
    tracker, clock = make()
    for _ in range(3):
        assert tracker.find_cause(("request poison",)) is None
        crash(tracker, clock, ("request poison", "part own"), ("request other",))
        succeed(tracker, clock, "request other")
    assert tracker.find_cause(("request poison", "part own")) == "request poison"
    assert tracker.find_cause(("request other",)) is None
    assert tracker.find_cause(("request next", "part own")) is None


def test_prompts_that_share_a_crashing_part_are_contained_and_their_neighbours_are_not():
    tracker, clock = make()
    for number in range(3):
        neighbours = [(f"request n-{number}", f"part n-{number}", "part first")]
        crash(tracker, clock, (f"request p-{number}", "part bad", "part first"), *neighbours)
        succeed(tracker, clock, f"request s-{number}", "part other", "part first")
    assert tracker.find_cause(("request new", "part bad", "part first")) == "part bad"
    assert tracker.find_cause(("request new", "part other", "part first")) is None


def test_a_part_of_many_sound_prompts_is_not_blamed_for_a_burst_of_crashes():
    tracker, clock = make()
    for number in range(30):
        tracker.record_success((f"request s-{number}", "part first"), clock.now())
    for number in range(5):
        crash(tracker, clock, (f"request p-{number}", "part bad", "part first"))
    assert set(tracker.culprits()) == {"part bad"}


def make_shared_crashes(*neighbour):
    """Returns a tracker that tries, after crashes with no success of any request."""
    clock = ManualClock()
    tracker = CrashTracker(clock, "z", tries=lambda cause, count: True)
    for number in range(3):
        crash(tracker, clock, (f"request {number}", "part bad", "part aa"), neighbour)
    return tracker, clock


def test_a_part_that_all_prompts_share_is_not_blamed_by_its_name_after_a_quiet_time():
    tracker, clock = make_shared_crashes()
    poison, sound = ("request p", "part bad", "part aa"), ("request s", "part c", "part aa")
    (cause,) = tracker.culprits()
    assert tracker.convicts(cause, poison)
    assert tracker.find_cause(sound) == cause and not tracker.convicts(cause, sound)
    assert not tracker.begin_trial(cause, poison)
    assert tracker.begin_trial(cause, sound)
    assert not tracker.begin_trial(cause, sound)
    succeed(tracker, clock, *sound)
    clock.advance(EVALUATION_INTERVAL)
    assert tracker.find_cause(sound) is None
    assert tracker.find_cause(poison) == "part bad"


def test_a_trial_that_reached_no_server_is_made_again():
    tracker, _ = make_shared_crashes()
    (cause,) = tracker.culprits()
    assert tracker.begin_trial(cause, ("part aa",))
    tracker.cancel_trial(cause)
    assert tracker.begin_trial(cause, ("part aa",))


def test_crashes_of_trials_tell_the_part_that_crashes_servers_from_its_neighbours():
    tracker, clock = make_shared_crashes("part c")
    (cause,) = tracker.culprits()
    for _ in range(2):
        assert not tracker.convicts(cause, ("part bad", "part aa"))
        crash(tracker, clock, ("request p", "part bad"))
    assert tracker.find_cause(("part bad",)) == "part bad"
    assert tracker.find_cause(("part aa", "part c")) is None


def test_a_part_is_tried_within_seconds_if_nothing_tells_it_from_other_reasons():
    clock = ManualClock()
    tracker = CrashTracker(clock, "z", tries=lambda cause, count: True)
    sent = 0
    for _ in range(12):
        crash(tracker, clock, ("part aa",))
        for _ in range(6):
            blamed = tracker.find_cause(("part aa",)) is not None
            sent += blamed and tracker.begin_trial("part aa", ("part aa",))
            clock.advance(EARLY_TRIAL_DELAY / 5)
    assert sent == 1


def test_what_all_processes_forgot_is_not_blamed_in_place_of_a_stored_cause():
    tracker, clock = make_shared_crashes()
    late = CrashTracker(clock, "z", tries=lambda cause, count: True)
    late.restore(tracker.culprits(), unconfirmed=tracker.culprits().keys())
    (cause,) = late.culprits()
    assert late.convicts(cause, ("part bad", "part aa"))
    assert late.begin_trial(cause, ("part aa",))
    succeed(late, clock, "part aa")
    clock.advance(EVALUATION_INTERVAL)
    assert set(late.culprits()) == {"part bad"}
    assert late.is_cleared(cause, tracker.culprits()[cause])


def test_a_cause_that_an_earlier_build_stored_is_tried_within_seconds():
    clock = ManualClock()
    tracker = CrashTracker(clock, "z", tries=lambda cause, count: True)
    tracker.restore({"part aa": clock.now(), "part bad": clock.now()}, unconfirmed=("part aa",))
    clock.advance(EARLY_TRIAL_DELAY)
    assert tracker.find_cause(("part aa",)) == "part aa"
    assert tracker.begin_trial("part aa", ("part aa",))
    assert not tracker.begin_trial("part bad", ("part bad",))


def test_servers_that_go_down_at_once_are_one_crash():
    tracker, clock = make()
    at = clock.now()
    for number in range(12):
        servers = {f"s-{number}/1": Crash(at + seconds(0.003 * number), frozenset(("part p",)))}
        tracker.apply("y", CrashEvidence(servers))
    assert tracker.find_cause(("part p",)) is None


def test_broken_connection_to_a_running_server_is_no_crash():
    tracker, _ = make()
    for _ in range(5):
        tracker.record_broken_connection(("request innocent",), "s/1")
        tracker.record_server_up("s/1")
    tracker.record_server_down("s/1")
    assert not tracker.known_crashes()


def test_a_crash_that_several_processes_observe_counts_once():
    tracker, clock = make()
    crash(tracker, clock, ("part bad", "part a"), server="s-a/1")
    observed = tracker.observed()
    late = Crash(clock.now() + seconds(0.3), frozenset(("part bad", "part b")))
    for zone in ("x", "y", "z"):
        tracker.apply(zone, CrashEvidence({"s-a/1": late}))
    assert tracker.known_crashes() == {
        "s-a/1": attrs.evolve(
            observed.crashes["s-a/1"], traits=frozenset(("part bad", "part a", "part b"))
        )
    }
    assert tracker.find_cause(("part bad",)) is None


def test_crashes_and_successes_of_other_processes_count():
    (here, clock), (there, other_clock) = make(), make()
    for _ in range(2):
        crash(here, clock, ("part bad", "part shared"))
    other_clock.advance(seconds(0.5))
    crash(there, other_clock, ("part bad", "part shared"))
    there.apply("z", here.observed())
    succeed(there, other_clock, "part shared")
    here.apply("y", there.observed())
    assert set(here.culprits()) == set(there.culprits()) == {"part bad"}


def test_a_success_that_began_before_the_crash_does_not_clear():
    tracker, clock = make()
    began_at = clock.now()
    for _ in range(3):
        crash(tracker, clock, ("part bad",))
    for _ in range(2):
        tracker.record_success(("part sound",), began_at)
    assert tracker.find_cause(("part bad",)) == "part bad"


def test_complete_response_clears_a_request():
    tracker, clock = make()
    for number in range(3):
        if number == 2:
            succeed(tracker, clock, "request innocent")
        crash(tracker, clock, ("request innocent",), ("request poison",))
    assert tracker.find_cause(("request poison",)) == "request poison"
    assert tracker.find_cause(("request innocent",)) is None


def test_connections_broken_long_before_a_crash_are_not_suspected():
    tracker, clock = make()
    tracker.record_broken_connection(("request early",), "s/1")
    clock.advance(seconds(2))
    tracker.record_broken_connection(("request late",), "s/1")
    assert tracker.record_server_down("s/1") == ("request late",)


def test_after_its_term_a_part_is_blamed_again_at_its_first_crash():
    tracker, clock = make()
    for _ in range(3):
        crash(tracker, clock, ("part bad",))
    assert tracker.find_cause(("part bad",)) == "part bad"
    clock.advance(CRASH_RETENTION + seconds(1))
    assert tracker.find_cause(("part bad",)) is None
    crash(tracker, clock, ("part bad", "part sound"))
    assert tracker.find_cause(("part bad",)) == "part bad"
    assert tracker.find_cause(("part sound",)) is None


def test_one_process_tries_a_blamed_part_once_and_then_more_seldom():
    clock = ManualClock()
    tracker = CrashTracker(clock, "z", tries=lambda cause, count: cause == "part bad")
    idle = CrashTracker(clock, "z")
    for _ in range(3):
        crash(tracker, clock, ("part bad", "part first"))
    succeed(tracker, clock, "part first")
    idle.apply("z", tracker.observed())
    sent = []
    for second in range(200):
        clock.advance(seconds(1))
        for each in (idle, tracker):
            if each.find_cause(("part bad",)) == "part bad" and each.begin_trial(
                "part bad", ("part bad",)
            ):
                sent.append((second, each))
        if second == 100:  # the trial of another process, say
            crash(tracker, clock, ("part bad",))
            idle.apply("z", tracker.observed())
    assert sent == [(FIRST_TRIAL_DELAY.total_seconds() - 1, tracker)]


def test_a_successful_trial_clears_a_part_that_was_blamed_wrongly():
    clock = ManualClock()
    tracker = CrashTracker(clock, "z", tries=lambda cause, count: True)
    for _ in range(3):
        crash(tracker, clock, ("part sound",))
    clock.advance(FIRST_TRIAL_DELAY)
    assert tracker.find_cause(("part sound",)) == "part sound"
    assert tracker.begin_trial("part sound", ("part sound",))
    assert not tracker.begin_trial("part sound", ("part sound",))
    assert tracker.find_cause(("part sound",)) == "part sound"
    succeed(tracker, clock, "part sound")
    clock.advance(EVALUATION_INTERVAL)
    assert tracker.find_cause(("part sound",)) is None


def test_a_process_that_starts_later_learns_of_crashes_that_were_heard_of():
    tracker, clock = make()
    for _ in range(3):
        crash(tracker, clock, ("part bad",))
    late, _ = make()
    late.apply("z", CrashEvidence(tracker.known_crashes()))
    assert late.find_cause(("part bad",)) == "part bad"


def test_a_shared_part_is_not_blamed_once_the_process_that_saw_its_success_has_ended():
    """Guards against LOST: all prompts were refused after restarts of processes."""
    observer, clock = make()
    hub, late = CrashTracker(clock, "z"), CrashTracker(clock, "z")
    for number in range(6):
        crash(observer, clock, ("part shared", f"part own-{number}"))
    succeed(observer, clock, "part shared")
    hub.apply("z", observer.observed())
    clock.advance(EVALUATION_INTERVAL)
    hub.apply("z", CrashEvidence())
    late.apply("z", hub.known())
    for tracker in (hub, late):
        assert tracker.find_cause(("part shared", "part next")) is None


def test_a_success_in_the_future_outlives_its_process_as_one_of_now():
    tracker, clock = make()
    ahead = Successes(1, clock.now() + datetime.timedelta(hours=1))
    tracker.apply("z", CrashEvidence({}, {"part bad": ahead}))
    tracker.apply("z", CrashEvidence())
    for number in range(3):
        crash(tracker, clock, ("part bad", f"part own-{number}"))
    assert tracker.find_cause(("part bad",)) == "part bad"


def test_a_restored_cause_is_contained_until_its_term_ends_or_it_succeeds():
    tracker, clock = make()
    tracker.restore({"part bad": clock.now(), "part sound": clock.now()})
    assert tracker.find_cause(("part bad",)) == "part bad"
    succeed(tracker, clock, "part sound")
    clock.advance(seconds(1))
    assert tracker.find_cause(("part sound",)) is None
    clock.advance(CRASH_RETENTION)
    assert tracker.find_cause(("part bad",)) is None
    crash(tracker, clock, ("part bad",))
    assert tracker.find_cause(("part bad",)) == "part bad"


def test_a_cause_explains_away_what_its_requests_have_besides():
    at = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    seen = [("bad", "b", "c"), ("bad", "b", "c"), ("bad", "b", "c"), ("bad", "d"), ("bad", "e")]
    crashes = [
        Crash(at + seconds(number), frozenset(f"part {name}" for name in names))
        for number, names in enumerate(seen)
    ]
    assert set(find_culprits(crashes, lambda trait: Successes())) == {"part bad"}


def test_the_fingerprint_depends_on_content_and_account_only():
    first = CallerRequest("1", "POST", b"/a", "h", "/a", (), body=b"x")
    again = CallerRequest("2", "POST", b"/a", "h", "/a", (), body=b"x")
    other = CallerRequest("3", "POST", b"/a", "h", "/a", (), body=b"y")
    assert fingerprint_of(first, "acme") == fingerprint_of(again, "acme")
    assert fingerprint_of(first, "acme") != fingerprint_of(other, "acme")
    assert fingerprint_of(first, "acme") != fingerprint_of(first, "else")


def test_sound_prompts_with_the_body_of_a_crashing_one_are_not_taken_for_the_same_request():
    prompts = [
        CallerRequest(
            name, "POST", b"/a", "h", "/a", (), body=b"x", generation=Generation(9, 1, parts)
        )
        for name, parts in (
            ("1", (PromptPart("aa", 8), PromptPart("bad", 1))),
            ("2", (PromptPart("aa", 8), PromptPart("good", 1))),
        )
    ]
    assert fingerprint_of(prompts[0], "acme") != fingerprint_of(prompts[1], "acme")
