"""Tests of the rows that tell a process after its start which versions began the streams."""

import datetime

from cicadapond.continuation import (
    BucketRows,
    VersionHistory,
    bucket_key,
    read_rows,
    versions_row,
)
from cicadapond.kernel import ManualClock, seconds

NOW = datetime.datetime.fromtimestamp(1_000_000, datetime.UTC)


def test_what_several_writers_stored_is_joined():
    rows = {
        "a-1/1": versions_row({"s": {"v1"}}, NOW),
        "b-1/1": versions_row({"s": {"v2"}, "t": set()}, NOW + seconds(3)),
        bucket_key("a-1/1", 7): {"v1": b"aaaaaa"},
        bucket_key("b-1/1", 7): {"v1": b"bbbbbb", "v2": b"cccccc"},
    }
    found = read_rows(rows.items())
    assert found.versions == {"s": {"v1", "v2"}, "t": set()}
    assert found.buckets == {7: {"v1": b"aaaaaabbbbbb", "v2": b"cccccc"}}
    assert set(found.expiring.values()) == {7} and found.expired == ()


def test_versions_of_a_writer_that_ended_long_before_the_others_do_not_count():
    rows = {
        "a-1/1": versions_row({"s": {"v0"}}, NOW),
        "a-1/2": versions_row({"s": {"v1"}}, NOW + seconds(60)),
    }
    found = read_rows(rows.items())
    assert found.versions == {"s": {"v1"}} and found.expired == ("a-1/1",)


def test_rows_that_another_build_wrote_otherwise_are_ignored():
    rows = {"x": 7, "y": {"at_ms": "z"}, "x 1": [1], "x y": {}, "x 2": {"v1": 3}, "z": None}
    found = read_rows(rows.items())
    assert found.versions == {} and found.buckets == {}


def test_versions_from_before_the_start_count_while_their_streams_may_be_taken_up():
    clock = ManualClock()
    history = VersionHistory(clock)
    assert not history.is_loaded
    history.load({"s": {"v1"}})
    clock.advance(seconds(19))
    assert history.is_loaded and history.versions("s") == {"v1"} and not history.versions("t")
    clock.advance(seconds(1))
    assert history.versions("s") == set()


def test_a_bucket_is_written_again_only_if_it_has_grown():
    rows = BucketRows("a/1")
    buckets = {number: {"v1": b"aaaaaa"} for number in (5, 6, 7)}
    assert set(rows.changed(buckets, 2)) == {6, 7}, "the newest come first"
    rows.record_written(rows.changed(buckets, 9))
    assert rows.changed(buckets, 9) == {}
    buckets[6] = {"v1": b"aaaaaabbbbbb"}
    assert set(rows.changed(buckets, 9)) == {6}


def test_rows_are_removed_when_nobody_takes_their_streams_up_any_more():
    rows = BucketRows("a/1")
    number = int(NOW.timestamp() * 4)
    rows.expire({"b/1 7": 7})
    rows.record_written({number: {"v1": b"aaaaaa"}})
    assert rows.expired(NOW + seconds(20), 9) == ["b/1 7"]
    rows.record_removed(["b/1 7"])
    assert rows.expired(NOW + seconds(20.5), 9) == [f"a/1 {number}"]
