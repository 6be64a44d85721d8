"""Tests of the decisions on virtual time: all engines of a data centre leave, with 16 streams each.

They guard against streams that are cut although there was time and room for them, against streams
that are moved without need, and against processes that all choose the same destination.
"""

import heapq
import random

import attrs
import pytest

from cicadapond.data import Endpoint
from cicadapond.evacuation import (
    EngineRoom,
    LeavingNotices,
    MovePlanner,
    RunningStream,
    TransferTimes,
)
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import MemoryMoves, ServerEntry

MOVES = MemoryMoves(token_bytes=100_000, bandwidth_mbps=800_000, event_tokens=7)
SLOTS, STREAMS_PER_ENGINE, TOKENS, SIZE = 64, 16, 12_000, 12_400
PROCESSES, STEP_S = 20, 0.015


def engine(name, zone="z1", version="v1"):
    return ServerEntry(name, "pool", Endpoint("127.0.0.1", 1), zone, SLOTS, version=version)


def stream(name="s", server=None, remaining_s=10.0, left_s=2.0, size=SIZE, resumable=False):
    return RunningStream(
        name,
        server or engine("source"),
        MOVES,
        TOKENS,
        size,
        seconds(remaining_s),
        seconds(left_s),
        resumable,
    )


def room(name="target", slots=10.0, tokens=900_000.0, **changes):
    return EngineRoom(engine(name, **changes), slots, tokens)


def planner(seed=1):
    return MovePlanner(TransferTimes(), random.Random(seed))


@attrs.define
class Wave:
    """Processes that move their streams at the same time, over links that take one at a time."""

    streams: dict[int, list[RunningStream]]
    free_slots: dict[str, int]
    zones: dict[str, str]
    notice_s: float
    believed: dict[str, int] = attrs.field(factory=dict)
    link_free: dict[str, float] = attrs.field(factory=dict)
    moved: dict[str, float] = attrs.field(factory=dict)
    declined: int = 0
    longest_silence: float = 0.0

    def run(self):
        planners = {}
        for process in self.streams:
            times = TransferTimes()
            planners[process] = (MovePlanner(times, random.Random(process)), times, [])
        ends, at, number = [], 0.0, 0
        while at < self.notice_s:
            while ends and ends[0][0] <= at:
                end, _, process, move, begun, has_room = heapq.heappop(ends)
                _, times, ongoing = planners[process]
                ongoing.remove(move)
                if has_room:
                    times.observe(move.nominal, seconds(end - begun))
                    self.moved[move.stream.id] = end
                    self.longest_silence = max(self.longest_silence, end - begun)
                else:
                    self.declined += 1
                    self.streams[process].append(move.stream)
            if round(at / STEP_S) % 20 == 0:  # what a process knows is up to 0.3 s old
                self.believed = dict(self.free_slots)
            rooms = [
                EngineRoom(engine(name, self.zones[name]), float(free), 900_000.0)
                for name, free in self.believed.items()
            ]
            for process, (plan, _, ongoing) in planners.items():
                left = seconds(self.notice_s - at)
                views = [attrs.evolve(each, notice_left=left) for each in self.streams[process]]
                for move in plan.choose(views, rooms, ongoing):
                    mine = self.streams[process]
                    mine[:] = [each for each in mine if each.id != move.stream.id]
                    ongoing.append(move)
                    target = move.destination.name
                    has_room = self.free_slots[target] > 0
                    self.free_slots[target] -= has_room
                    end = self._transfer(at, move)
                    number += 1
                    heapq.heappush(ends, (end, number, process, move, at, has_room))
            at += STEP_S

    def _transfer(self, at, move):
        links = (move.stream.server.name, move.destination.name)
        begin = max(at, *(self.link_free.get(link, 0.0) for link in links))
        end = begin + move.nominal.total_seconds()
        self.link_free.update(dict.fromkeys(links, end))
        return end


def wave(leaving, staying, free_slots, notice_s=2.0):
    streams = {process: [] for process in range(PROCESSES)}
    for number in range(leaving * STREAMS_PER_ENGINE):
        server = engine(f"l-{number % leaving}")
        streams[number % PROCESSES].append(stream(f"s-{number}", server))
    names = [f"t-{number}" for number in range(staying)]
    zones = {name: f"z{1 + number % 3}" for number, name in enumerate(names)}
    played = Wave(streams, dict.fromkeys(names, free_slots), zones, notice_s)
    played.run()
    return played


def test_all_streams_of_a_data_centre_are_moved_within_the_notice():
    played = wave(leaving=10, staying=20, free_slots=32)
    assert len(played.moved) == 10 * STREAMS_PER_ENGINE
    assert played.declined == 0
    assert played.longest_silence < 0.5
    near = [free for name, free in played.free_slots.items() if played.zones[name] == "z1"]
    assert max(near) - min(near) <= STREAMS_PER_ENGINE  # not all at the same engine
    far = [free for name, free in played.free_slots.items() if played.zones[name] != "z1"]
    assert sum(near) / len(near) < sum(far) / len(far)  # memory crosses data centres last


def test_in_a_wave_with_too_little_room_the_room_is_filled():
    played = wave(leaving=10, staying=10, free_slots=8)
    assert len(played.moved) >= 0.95 * 10 * 8
    assert min(played.free_slots.values()) >= 0


def test_streams_with_the_most_to_lose_go_first():
    streams = [
        stream("resumable", resumable=True, size=99_999),
        stream("small", size=2_000),
        stream("large"),
        stream("large and short", remaining_s=3.0),
    ]
    chosen = planner().choose(streams, [room("t-1"), room("t-2")], ())
    assert [move.stream.id for move in chosen] == ["large", "large and short"]


@pytest.mark.parametrize(
    "changes", [{"remaining_s": 1.0}, {"left_s": 0.1}, {"left_s": -0.5}, {"remaining_s": -1.0}]
)
def test_a_stream_that_ends_in_time_or_cannot_be_moved_in_time_stays(changes):
    assert planner().choose([stream(**changes)], [room()], ()) == []


@pytest.mark.parametrize(("remaining_s", "left_s", "moves"), [(1.7, 2.0, 0), (0.6, 0.8, 1)])
def test_a_stream_that_may_just_end_in_time_is_moved_late_if_at_all(remaining_s, left_s, moves):
    streams = [stream(remaining_s=remaining_s, left_s=left_s)]
    assert len(planner().choose(streams, [room()], ())) == moves


@pytest.mark.parametrize(
    "unfit",
    [room(version="v2"), room(slots=0.5), room(tokens=SIZE - 1), room("source")],
)
def test_an_engine_of_another_version_or_without_room_is_no_destination(unfit):
    assert planner().choose([stream()], [unfit], ()) == []


def test_the_planned_end_of_an_engine_counts_if_it_states_none():
    clock = ManualClock()
    notices = LeavingNotices(clock, planned=seconds(2))
    leaving = attrs.evolve(engine("e"), is_leaving=True)
    notices.record(leaving)
    clock.advance(seconds(0.5))
    assert notices.time_left(leaving) == seconds(1.5)
    notices.record(attrs.evolve(leaving, left=seconds(0.9)))
    assert notices.time_left(leaving) == seconds(0.9)
    notices.record(leaving)  # written again: the end stays
    assert notices.time_left(leaving) == seconds(0.9)
    notices.record(engine("e"))
    assert notices.time_left(leaving) is None
