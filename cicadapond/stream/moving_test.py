"""Migration policies: which streams are exported, stay or are replayed, and when."""

import random

from cicadapond.kernel import seconds
from cicadapond.stream import Movable, Move, MoveKind, MoveTarget, MovingSettings, moving_policies

CFG = MovingSettings(exports_at_once=2)


def make_stream(name, tokens=2000, remaining=600.0, **fields):
    return Movable(name, tokens, seconds(remaining), **fields)


def decide(streams, targets, time_left, policy="export"):
    return moving_policies.create(policy, CFG).next(streams, targets, seconds(time_left))


def test_baselines_move_all_streams_at_once():
    streams = [make_stream("a"), make_stream("b")]
    for policy, kind in (("restart", MoveKind.RESTART), ("replay", MoveKind.REPLAY)):
        moves = decide(streams, [MoveTarget("t", 8)], 30, policy)
        assert moves == [Move("a", kind), Move("b", kind)]


def test_longest_streams_are_exported_first_to_the_target_with_most_free_slots():
    streams = [make_stream("short", 50), make_stream("long", 4000), make_stream("mid", 900)]
    moves = decide(streams, [MoveTarget("full", 0), MoveTarget("free", 8)], 30)
    assert moves == [Move(name, MoveKind.EXPORT, "free") for name in ("long", "mid")]


def test_exports_in_progress_count_towards_the_limit():
    streams = [make_stream("a", exporting=True), make_stream("b"), make_stream("c")]
    assert [move.stream_id for move in decide(streams, [MoveTarget("t", 8)], 30)] == ["b"]


def test_stream_that_ends_in_time_stays_and_stream_without_cache_moves_at_once():
    streams = [make_stream("ending", remaining=5.0), make_stream("queued", started=False)]
    assert decide(streams, [MoveTarget("t", 8)], 30) == [Move("queued", MoveKind.REPLAY)]


def test_streams_that_cannot_be_exported_are_replayed_late_and_paced():
    streams = [make_stream(f"s{number}", 2000) for number in range(40)]
    full = [MoveTarget("t", 0), MoveTarget("u", 0)]
    assert decide(streams, full, 60) == []
    late = decide(streams, full, 5)
    assert [move.kind for move in late] == [MoveKind.REPLAY] * (2 * CFG.replays_at_once)
    assert len(decide(streams, [MoveTarget("t", 0)], 0.1)) == len(streams)


def test_stream_is_replayed_after_repeated_export_failures():
    failed = make_stream("a", failures=2)
    assert decide([failed], [MoveTarget("t", 8)], 60) == []
    assert decide([failed], [MoveTarget("t", 8)], 0.6) == [Move("a", MoveKind.REPLAY)]


def test_measured_slow_link_turns_export_into_replay():
    policy = moving_policies.create("export", CFG)
    stream = make_stream("a", 20_000)
    assert policy.next([stream], [MoveTarget("t", 8)], seconds(4))[0].kind is MoveKind.EXPORT
    for _ in range(50):
        policy.exported(1000, seconds(2))
    assert policy.next([stream], [MoveTarget("t", 8)], seconds(4))[0].kind is MoveKind.REPLAY


def test_no_stream_is_moved_twice_at_once():
    rng = random.Random(1)
    for _ in range(200):
        streams = [
            make_stream(
                f"s{number}",
                rng.randint(1, 9000),
                rng.uniform(0, 60),
                started=rng.random() < 0.8,
                exporting=rng.random() < 0.2,
                failures=rng.randint(0, 3),
            )
            for number in range(30)
        ]
        targets = [MoveTarget(f"t{number}", rng.randint(0, 9)) for number in range(3)]
        moves = decide(streams, targets, rng.uniform(0, 40))
        names = [move.stream_id for move in moves]
        assert len(names) == len(set(names))
