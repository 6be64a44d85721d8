"""Whole answers: any mix of late, crossed, missing and repeated events gives the same tokens."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadapond.data import BreakKind, Broken, Finished, Priority, Token
from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.stream import AnswerState, Broke, Dropped, PauseWatch, SilenceLimits, Whole

WORDS = tuple(f"w{number} " for number in range(12))


def parse_events(text):
    """Reads events such as "1:0 1:1 other/1:5 end1:2 cut1", an epoch and a sequence each."""
    events = []
    for item in text.split():
        stream, _, rest = item.rpartition("/")
        if rest.startswith("cut"):
            events.append(Broken(int(rest[3:]), BreakKind.CRASHED))
            continue
        epoch, number = map(int, rest.removeprefix("end").split(":"))
        if rest.startswith("end"):
            events.append(Finished(epoch, number, "length", stream_id=stream or "s"))
        else:
            events.append(Token(epoch, number, WORDS[number], stream or "s"))
    return tuple(events)


CASES = [
    ("1:0 1:1 1:2 end1:3", 3, "whole", ()),
    ("1:0 other/1:1 1:1 1:2 end1:3", 3, "whole", (Dropped.OTHER_REQUEST,)),
    ("0:0 1:0 1:1 0:2 1:2 end1:3", 3, "whole", (Dropped.OLD_EPOCH,) * 2),
    ("1:0 1:0 1:1 1:2 end1:3", 3, "whole", (Dropped.REPEATED,)),
    ("1:0 1:7 1:1 1:2 end1:3", 3, "whole", (Dropped.OUT_OF_SEQUENCE,)),
    ("1:0 1:2 end1:3", 1, "broke", (Dropped.OUT_OF_SEQUENCE,)),
    ("1:0 end1:3", 1, "broke", ()),
    ("1:0 other/end1:1 1:1 1:2 end1:3", 3, "whole", (Dropped.OTHER_REQUEST,)),
    ("1:0 cut1 1:1", 1, "broke", (Dropped.AFTER_END,)),
    ("1:0 cut0 1:1", 2, None, (Dropped.OLD_EPOCH,)),
    ("1:0 " + " ".join(f"1:{number}" for number in range(2, 11)), 1, "broke", None),
]


@pytest.mark.parametrize(("events", "delivered", "end", "dropped"), CASES)
def test_events_of_one_attempt(events, delivered, end, dropped):
    answer = AnswerState("s", 12)
    answer.begin()
    taken = answer.take(parse_events(events))
    assert [token.text for token in taken.tokens] == list(WORDS[:delivered])
    kinds = {Whole: "whole", Broke: "broke", type(None): None}
    assert kinds[type(taken.end)] == end
    if dropped is not None:
        assert taken.dropped == dropped


def test_a_restart_from_nothing_delivers_nothing_twice_and_compares():
    answer = AnswerState("s", 12, resume=WORDS[:2])
    answer.begin(from_nothing=True)
    taken = answer.take(parse_events("1:0 1:1 1:2"))
    assert [token.sequence for token in taken.tokens] == [2]
    answer.begin(from_nothing=True)
    assert isinstance(answer.take((Token(2, 0, "other ", "s"),)).end, Broke)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 11)), max_size=80), st.data())
def test_tokens_are_delivered_in_order_and_once(noise, data):
    answer = AnswerState("s", len(WORDS))
    delivered = []
    while len(delivered) < len(WORDS):
        epoch = answer.begin()
        reach = data.draw(st.integers(len(delivered) + 1, len(WORDS)))
        events = [Token(epoch, number, WORDS[number]) for number in range(len(delivered), reach)]
        for old, number in noise:
            place = data.draw(st.integers(0, len(events)))
            events.insert(place, Token(epoch - 1 - old, number, "noise "))
        delivered += [token.text for token in answer.take(tuple(events)).tokens]
    assert tuple(delivered) == WORDS


def test_silence_limits_grow_with_silent_attempts_and_patience():
    limits = SilenceLimits()
    assert limits.limit(Priority.INTERACTIVE, True, 0) == seconds(5)
    assert limits.limit(Priority.INTERACTIVE, False, 1) == seconds(20)
    assert limits.limit(Priority.BATCH, False, 0) == seconds(120)


def test_a_pause_is_seen_by_whoever_runs_first_after_it():
    async def main():
        watch = PauseWatch(VirtualClock())
        watch.start()
        await asyncio.sleep(10)
        assert not watch.paused()
        loop = asyncio.get_running_loop()
        loop._timers.elapsed_seconds += 30
        assert watch.paused()
        watch.refreshed()
        await asyncio.sleep(1)
        assert not watch.paused()
        watch.stop()

    run_virtual(main())
