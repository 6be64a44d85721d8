"""Assembling responses: late, misrouted, missing and repeated events never change the tokens."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadapond.data import Broken, FailureKind, Finished, Priority, Token
from cicadapond.kernel import VirtualClock, run_virtual, seconds
from cicadapond.stream import (
    AttemptBroken,
    DropReason,
    PauseDetector,
    ResponseState,
    SilenceLimits,
    Whole,
)

WORDS = tuple(f"w{number} " for number in range(12))


def parse_events(text):
    """Parses events such as "1:0 1:1 other/1:5 end1:2 cut1": [stream/]epoch:sequence each."""
    events = []
    for item in text.split():
        stream, _, spec = item.rpartition("/")
        if spec.startswith("cut"):
            events.append(Broken(int(spec[3:]), FailureKind.CRASHED))
            continue
        epoch, number = map(int, spec.removeprefix("end").split(":"))
        if spec.startswith("end"):
            events.append(Finished(epoch, number, "length", stream_id=stream or "s"))
        else:
            events.append(Token(epoch, number, WORDS[number], stream or "s"))
    return tuple(events)


CASES = [
    ("1:0 1:1 1:2 end1:3", 3, "whole", ()),
    ("1:0 other/1:1 1:1 1:2 end1:3", 3, "whole", (DropReason.OTHER_REQUEST,)),
    ("0:0 1:0 1:1 0:2 1:2 end1:3", 3, "whole", (DropReason.OLD_EPOCH,) * 2),
    ("1:0 1:0 1:1 1:2 end1:3", 3, "whole", (DropReason.REPEATED,)),
    ("1:0 1:7 1:1 1:2 end1:3", 3, "whole", (DropReason.OUT_OF_SEQUENCE,)),
    ("1:0 1:2 end1:3", 1, "broke", (DropReason.OUT_OF_SEQUENCE,)),
    ("1:0 end1:3", 1, "broke", ()),
    ("1:0 other/end1:1 1:1 1:2 end1:3", 3, "whole", (DropReason.OTHER_REQUEST,)),
    ("1:0 cut1 1:1", 1, "broke", (DropReason.AFTER_END,)),
    ("1:0 cut0 1:1", 2, None, (DropReason.OLD_EPOCH,)),
    ("1:0 " + " ".join(f"1:{number}" for number in range(2, 11)), 1, "broke", None),
]


@pytest.mark.parametrize(("events", "delivered", "end", "dropped"), CASES)
def test_events_of_one_attempt(events, delivered, end, dropped):
    answer = ResponseState("s", 12)
    answer.begin()
    result = answer.process(parse_events(events))
    assert [token.text for token in result.tokens] == list(WORDS[:delivered])
    kinds = {Whole: "whole", AttemptBroken: "broke", type(None): None}
    assert kinds[type(result.end)] == end
    if dropped is not None:
        assert result.dropped == dropped


def test_restart_from_start_compares_and_drops_delivered_tokens():
    answer = ResponseState("s", 12, resume=WORDS[:2])
    answer.begin(from_start=True)
    result = answer.process(parse_events("1:0 1:1 1:2"))
    assert [token.sequence for token in result.tokens] == [2]
    answer.begin(from_start=True)
    assert isinstance(answer.process((Token(2, 0, "other ", "s"),)).end, AttemptBroken)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 11)), max_size=80), st.data())
def test_tokens_are_delivered_once_and_in_order(noise, data):
    answer = ResponseState("s", len(WORDS))
    delivered = []
    while len(delivered) < len(WORDS):
        epoch = answer.begin()
        stop = data.draw(st.integers(len(delivered) + 1, len(WORDS)))
        events = [Token(epoch, number, WORDS[number]) for number in range(len(delivered), stop)]
        for epochs_back, number in noise:
            position = data.draw(st.integers(0, len(events)))
            events.insert(position, Token(epoch - 1 - epochs_back, number, "noise "))
        delivered += [token.text for token in answer.process(tuple(events)).tokens]
    assert tuple(delivered) == WORDS


def test_silence_limits_depend_on_priority_and_earlier_time_outs():
    limits = SilenceLimits()
    assert limits.limit(Priority.INTERACTIVE, True, 0) == seconds(5)
    assert limits.limit(Priority.INTERACTIVE, False, 1) == seconds(20)
    assert limits.limit(Priority.BATCH, False, 0) == seconds(120)


def test_pause_is_detected_before_the_next_tick():
    async def main():
        watch = PauseDetector(VirtualClock())
        watch.start()
        await asyncio.sleep(10)
        assert not watch.paused()
        loop = asyncio.get_running_loop()
        loop._timers.elapsed_seconds += 30
        assert watch.paused()
        watch.clear()
        await asyncio.sleep(1)
        assert not watch.paused()
        watch.stop()

    run_virtual(main())
