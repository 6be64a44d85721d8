"""Containment: what counts as a crash, and when a request is no longer sent."""

from cicadapond.containment import CrashTracker, fingerprint_of
from cicadapond.gateway.data import CallerRequest
from cicadapond.kernel import ManualClock, seconds


def crash(tracker, server, *fingerprints):
    for fingerprint in fingerprints:
        tracker.record_broken_connection(fingerprint, server)
    tracker.record_server_down(server)


def test_third_crash_contains_a_request():
    tracker = CrashTracker(ManualClock())
    for number in range(3):
        assert not tracker.is_contained("poison")
        crash(tracker, f"s-{number}", "poison")
    assert tracker.is_contained("poison")
    assert not tracker.is_contained("other")


def test_broken_connection_to_a_running_server_is_no_crash():
    tracker = CrashTracker(ManualClock())
    for _ in range(5):
        tracker.record_broken_connection("innocent", "s")
        tracker.record_server_up("s")
    tracker.record_server_down("s")
    assert not tracker.counts()


def test_crashes_reported_by_other_processes_count():
    tracker = CrashTracker(ManualClock())
    crash(tracker, "s", "poison")
    tracker.record_peer_counts("p1", {"poison": 1})
    assert not tracker.is_contained("poison")
    tracker.record_peer_counts("p2", {"poison": 1})
    assert tracker.is_contained("poison")


def test_complete_response_clears_a_request():
    tracker = CrashTracker(ManualClock())
    crash(tracker, "s-0", "innocent", "poison")
    crash(tracker, "s-1", "innocent", "poison")
    tracker.record_response("innocent")
    crash(tracker, "s-2", "innocent", "poison")
    assert tracker.is_contained("poison") and not tracker.is_contained("innocent")


def test_suspicion_expires():
    clock = ManualClock()
    tracker = CrashTracker(clock)
    for number in range(3):
        crash(tracker, f"s-{number}", "poison")
    clock.advance(seconds(121))
    assert not tracker.is_contained("poison")


def test_connections_broken_long_before_a_crash_are_not_suspected():
    clock = ManualClock()
    tracker = CrashTracker(clock)
    tracker.record_broken_connection("early", "s")
    clock.advance(seconds(2))
    tracker.record_broken_connection("late", "s")
    assert tracker.record_server_down("s") == ("late",)


def test_fingerprint_does_not_depend_on_the_id():
    def request(**changes):
        fields = {"id": "1", "method": "POST", "target": b"/a", "host": "h", "path": "/a"}
        return CallerRequest(**(fields | {"headers": (), "body": b"b"} | changes))

    assert fingerprint_of(request(), "a") == fingerprint_of(request(id="2"), "a")
    assert fingerprint_of(request(), "a") != fingerprint_of(request(), "b")
    assert fingerprint_of(request(), "a") != fingerprint_of(request(body=b"c"), "a")
