"""Containment: what counts as a crash, and when a request is no longer sent."""

from cicadapond.containment import CrashBook, fingerprint_of
from cicadapond.gateway.data import CallerRequest
from cicadapond.kernel import ManualClock, seconds


def crash(book, server, *fingerprints):
    for fingerprint in fingerprints:
        book.broke(fingerprint, server)
    book.went_down(server)


def test_a_request_is_contained_after_its_third_crash():
    book = CrashBook(ManualClock())
    for number in range(3):
        assert not book.is_contained("poison")
        crash(book, f"s-{number}", "poison")
    assert book.is_contained("poison")
    assert not book.is_contained("other")


def test_broken_connection_to_a_running_server_is_no_crash():
    book = CrashBook(ManualClock())
    for _ in range(5):
        book.broke("innocent", "s")
        book.stayed_up("s")
    book.went_down("s")
    assert not book.counts()


def test_crashes_reported_by_other_processes_count():
    book = CrashBook(ManualClock())
    crash(book, "s", "poison")
    book.hear("p1", {"poison": 1})
    assert not book.is_contained("poison")
    book.hear("p2", {"poison": 1})
    assert book.is_contained("poison")


def test_complete_response_clears_a_request():
    book = CrashBook(ManualClock())
    crash(book, "s-0", "innocent", "poison")
    crash(book, "s-1", "innocent", "poison")
    book.answered("innocent")
    crash(book, "s-2", "innocent", "poison")
    assert book.is_contained("poison") and not book.is_contained("innocent")


def test_suspicion_expires():
    clock = ManualClock()
    book = CrashBook(clock)
    for number in range(3):
        crash(book, f"s-{number}", "poison")
    clock.advance(seconds(121))
    assert not book.is_contained("poison")


def test_connections_broken_long_before_a_crash_are_not_suspected():
    clock = ManualClock()
    book = CrashBook(clock)
    book.broke("early", "s")
    clock.advance(seconds(2))
    book.broke("late", "s")
    assert book.went_down("s") == ("late",)


def test_fingerprint_does_not_depend_on_the_id():
    def request(**changes):
        fields = {"id": "1", "method": "POST", "target": b"/a", "host": "h", "path": "/a"}
        return CallerRequest(**(fields | {"headers": (), "body": b"b"} | changes))

    assert fingerprint_of(request(), "a") == fingerprint_of(request(id="2"), "a")
    assert fingerprint_of(request(), "a") != fingerprint_of(request(), "b")
    assert fingerprint_of(request(), "a") != fingerprint_of(request(body=b"c"), "a")
