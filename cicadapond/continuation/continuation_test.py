"""Tests of what is remembered and told of the versions that began streams."""

from hypothesis import given
from hypothesis import strategies as st

from cicadapond.continuation import (
    UNKNOWN_VERSION,
    StreamOrigins,
    drop_old_buckets,
    merge_buckets,
)
from cicadapond.continuation._origins import HASH_BYTES
from cicadapond.kernel import ManualClock, seconds


def test_a_long_stream_is_told_and_a_short_one_is_not():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("short", "v1")
    here.begin("long", "v2")
    here.complete("short")
    assert here.reported() == {}
    clock.advance(seconds(0.1))
    there.apply("z", here.reported())
    assert there.find("long") == "v2" and there.find("short") is None
    assert here.find("short") == "v1"


def test_a_stream_is_told_from_its_first_event_on_while_there_are_other_versions():
    """Guards against streams that are not known after their process was killed."""
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1", has_other_versions=True)
    here.begin("complete", "v1", has_other_versions=True)
    here.complete("complete")
    assert here.is_due("s")
    there.apply("z", here.reported())
    assert there.find("s") == "v1" and there.find("complete") is None


def test_a_stream_that_cannot_be_resumed_is_not_told():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1", is_resumable=False, has_other_versions=True)
    clock.advance(seconds(0.1))
    here.break_off("s")
    there.apply("z", here.reported())
    assert there.find("s") is None and here.find("s") == "v1"


def test_what_was_told_since_a_search_is_found_without_what_was_told_before():
    """Guards against processors that are busy with the searches of streams that are waited for."""
    clock = ManualClock()
    streams = {name: StreamOrigins(clock) for name in ("early", "late", "here")}
    here = streams["here"]
    for name in ("early", "late"):
        streams[name].begin(name, "v1", has_other_versions=True)
        before = here.changes
        here.apply(name, streams[name].reported())
        here.apply(name, streams[name].reported())  # nothing new
        assert here.changes == before + 1
    assert here.find("late", since=before) == here.find("late") == "v1"
    assert here.find("early", since=before) is None and here.find("early") == "v1"
    assert here.find("late", since=here.changes) is None


@given(
    st.lists(
        st.tuples(st.sampled_from("yz"), st.sampled_from(("v1", "v2")), st.integers(0, 3)),
        max_size=12,
    )
)
def test_a_stream_is_found_by_searches_of_what_is_new_as_by_a_whole_one(told):
    clock = ManualClock()
    here, searched, found = StreamOrigins(clock), 0, None
    for zone, version, number in told:
        there = StreamOrigins(clock)
        there.begin(f"s-{number}", version, has_other_versions=True)
        here.apply(zone, there.reported())
        if found is None:
            found = here.find("s-0", since=searched)
            searched = here.changes
            assert found == here.find("s-0")


def test_a_broken_stream_is_told_at_once():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1")
    here.break_off("s")
    there.apply("z", here.reported())
    assert there.find("s") == "v1"


def test_a_stream_becomes_due_once():
    clock = ManualClock()
    origins = StreamOrigins(clock)
    origins.begin("s", "v1")
    assert not origins.is_due("s")
    clock.advance(seconds(0.1))
    assert origins.is_due("s") and not origins.is_due("s") and not origins.is_due("other")


def test_the_version_that_began_a_stream_stays():
    origins = StreamOrigins(ManualClock())
    origins.begin("s", "v1")
    origins.begin("s", "v2")
    assert origins.find("s") == "v1"


def test_a_stream_that_began_at_two_processes_is_continued_at_neither_version():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1")
    there.begin("s", "v2")
    clock.advance(seconds(0.1))
    here.apply("z", there.reported())
    assert here.find("s") == UNKNOWN_VERSION and here.find("s", is_in_progress=True) == "v1"


def test_streams_are_forgotten_after_their_callers_have_given_up():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1")
    here.break_off("s")
    there.apply("z", here.reported())
    assert there.versions() == here.versions() == {"v1"}
    clock.advance(seconds(21))
    assert there.versions() == here.versions() == set()
    assert here.reported() == {} and there.find("s") is None and here.find("s") is None


def test_what_a_data_centre_told_survives_a_hub_that_does_not_know_it():
    clock = ManualClock()
    here, there = StreamOrigins(clock), StreamOrigins(clock)
    here.begin("s", "v1")
    here.break_off("s")
    there.apply("z", here.reported())
    there.apply("z", {number: {"v1": b""} for number in here.reported()})
    there.apply("z", {})
    assert there.find("s") == "v1"


HASHES = st.lists(st.binary(min_size=HASH_BYTES, max_size=HASH_BYTES), unique=True, max_size=8)


def _split(joined):
    return {joined[at : at + HASH_BYTES] for at in range(0, len(joined), HASH_BYTES)}


@given(HASHES, HASHES)
def test_buckets_of_two_hubs_are_joined(one, other):
    known = {}
    merge_buckets(known, {7: {"v1": b"".join(one)}})
    merge_buckets(known, {7: {"v1": b"".join(other), "v2": b""}})
    assert _split(known[7]["v1"]) == set(one) | set(other)
    assert len(known[7]["v1"]) == HASH_BYTES * len(set(one) | set(other))


def test_old_buckets_are_dropped():
    buckets = {1: {"v1": b""}, 79: {"v1": b""}, 82: {"v1": b""}}
    drop_old_buckets(buckets)
    assert sorted(buckets) == [79, 82]
