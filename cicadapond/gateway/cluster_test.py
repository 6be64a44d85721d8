"""Tests of the digest intervals, and of the share of quotas that a process may spend."""

import asyncio
import random
import types

import attrs
import pytest

from cicadapond.continuation import StreamOrigins
from cicadapond.data import Endpoint
from cicadapond.gateway._candidates import IDLE_POLL_INTERVAL, MIXED_POLL_INTERVAL
from cicadapond.gateway._cluster import (
    HUB_CHANGE_DELAY,
    SILENCE_THRESHOLD,
    SUMMARY_DELAY,
    Cluster,
)
from cicadapond.gateway._digest_pace import digest_intervals, update_rate
from cicadapond.gateway._reports import Report
from cicadapond.gateway._rollout_gate import NoRollouts
from cicadapond.kernel import ManualClock, seconds
from cicadapond.peer import Digest, Member, MemberState
from cicadapond.usage import StoredCounts


@pytest.mark.parametrize("processes", [1, 2, 6, 30, 61, 78, 420])
def test_digests_received_by_one_hub_are_bounded(processes):
    shortest, longest = digest_intervals(processes)
    assert shortest < longest
    assert processes / longest.total_seconds() <= 80
    assert processes / shortest.total_seconds() <= 1000


def test_few_processes_publish_often():
    assert digest_intervals(6) == (seconds(0.018), seconds(0.4))


def test_updates_leave_most_of_a_link_to_requests():
    assert update_rate(10.0) == 0.25 * 10e6 / 8
    assert update_rate(0.0) == 0.0


class Log:
    def write(self, event, **fields):
        return None


class Peers:
    """Membership as a test sets it."""

    incarnation = 1 << 16

    def __init__(self, names):
        self.names = names

    def members(self):
        return tuple(
            Member(name, name[0], "entry", 1 << 16, MemberState.ALIVE, seconds(0), 1, Digest())
            for name in self.names
        )


def cluster(clock, is_first_start):
    """Returns the cluster of process a0, which has not joined the others."""
    quiet = types.SimpleNamespace(
        apply_spending=lambda *args, **kwargs: None,
        apply_others_work=lambda *args, **kwargs: None,
        apply=lambda *args, **kwargs: None,
    )
    cfg = types.SimpleNamespace(
        name="a0",
        zone="a",
        peers=(Endpoint("::1", 1),),
        bounds=types.SimpleNamespace(drain=seconds(2)),
        is_first_start=is_first_start,
    )
    parts = types.SimpleNamespace(
        cfg=cfg,
        log=Log(),
        metrics=None,
        quotas=quiet,
        placer=quiet,
        origins=quiet,
        crashes=quiet,
        rollouts=NoRollouts(),
        engine_watch=None,
        stored_usage=StoredCounts(),
    )
    return Cluster(parts, None, clock, None, random.Random(1))


def join(joined, names, rows):
    joined._peer = Peers(names)
    joined._joined_at = joined._clock.monotonic()
    joined._registered = rows


def hear(joined, zone, processes, hub="0", usage=0, restore_followers=0):
    usage = {7: {"acme": usage}}
    report = Report(
        processes=processes, lineage="x/1", usage=usage, restore_followers=restore_followers
    )
    joined._apply_summary(f"{zone}{hub}", zone, report)


def run(check):
    async def main():
        check()

    asyncio.run(main())


def test_after_a_stop_of_all_processes_each_spends_only_its_own_part_at_first():
    """All restart with a part of the burst, and do not know at first what the others spend."""

    def check():
        clock = ManualClock()
        joined = cluster(clock, is_first_start=False)
        assert joined.quota_share() <= 0.1
        join(joined, names=(), rows=6)
        assert joined.quota_share() == pytest.approx(1 / 6)
        clock.advance(SUMMARY_DELAY / 2)
        joined._peer.names = ("a1", "b0", "b1", "c0", "c1")
        assert joined.quota_share() == pytest.approx(1 / 6)
        clock.advance(SUMMARY_DELAY)
        for zone in "abc":
            hear(joined, zone, 2)
        assert joined.quota_share() == 1.0

    run(check)


def test_the_part_of_a_data_centre_that_is_not_heard_is_set_aside():
    def check():
        clock = ManualClock()
        joined = cluster(clock, is_first_start=False)
        join(joined, names=("a1", "b0", "b1"), rows=4)
        clock.advance(seconds(1))
        for zone in "ab":
            hear(joined, zone, 2)
        assert joined.quota_share() == 1.0
        clock.advance(SILENCE_THRESHOLD + seconds(0.1))
        hear(joined, "a", 2)
        assert joined.quota_share() == 0.5
        hear(joined, "b", 1)
        assert joined.quota_share() == 0.75

    run(check)


def test_at_the_first_start_nothing_is_set_aside():
    def check():
        clock = ManualClock()
        assert cluster(clock, is_first_start=True).quota_share() == 1.0

    run(check)


def test_one_hub_is_followed_while_two_tell_the_sums_of_a_data_centre():
    """Work at engines is derived from running totals, which those of another hub would upset."""

    def check():
        clock = ManualClock()
        joined = cluster(clock, is_first_start=False)
        reporters = []
        joined._parts.placer.apply_others_work = lambda zone, hub, work, includes_own: (
            reporters.append(hub)
        )
        for round_number in range(6):
            hear(joined, "b", 2, hub="0", usage=10 * round_number)
            hear(joined, "b", 2, hub="1", usage=10 * round_number + 5)
            clock.advance(seconds(0.5))
        assert set(reporters) == {"b0"}
        assert joined.usage.total(7) == {"acme": 55}  # counts are taken from both
        clock.advance(HUB_CHANGE_DELAY)
        hear(joined, "b", 2, hub="1")
        assert reporters[-1] == "b1"

    run(check)


def test_streams_are_learned_from_both_hubs_of_a_data_centre_that_is_split():
    """Guards against LOST: what the hub that is not followed told of streams was dropped."""

    def check():
        joined = cluster(ManualClock(), is_first_start=False)
        joined._parts.origins = StreamOrigins(joined._clock)
        for hub, stream in (("b0", "s-0"), ("b1", "s-1")):
            begun = StreamOrigins(joined._clock)
            begun.begin(stream, "v2")
            begun.break_off(stream)
            joined._apply_summary(hub, "b", Report(lineage="x/1", origins=begun.reported()))
        assert [joined._parts.origins.find(each) for each in ("s-0", "s-1")] == ["v2", "v2"]

    run(check)


def test_counts_that_a_holder_of_another_data_centre_stored_are_remembered():
    def check():
        joined = cluster(ManualClock(), is_first_start=False)
        told = Report(lineage="x/1", stored_usage={7: {"acme": 5}})
        joined._apply_summary("b0", "b", told)
        joined._apply_summary("b0", "b", attrs.evolve(told, stored_usage={}))
        assert joined._parts.stored_usage.find(7) == {"acme": 5}
        assert joined._parts.stored_usage.own() == {}  # each holder tells its own

    run(check)


def test_more_processes_check_for_a_duty_while_some_do_not_follow_restores():
    """Guards against ONE in an upgrade: only builds that forget after a restore are candidates."""

    def check():
        clock = ManualClock()
        joined = cluster(clock, is_first_start=False)
        join(joined, names=[f"a{number}" for number in range(1, 30)], rows=30)
        clock.advance(SUMMARY_DELAY * 2)
        assert joined.has_settled()
        duty = next(d for d in map(str, range(99)) if joined.poll_interval(d) == IDLE_POLL_INTERVAL)
        for followers, interval in ((3, MIXED_POLL_INTERVAL), (30, IDLE_POLL_INTERVAL)):
            hear(joined, "a", 30, restore_followers=followers)
            assert joined.poll_interval(duty) == interval

    run(check)
