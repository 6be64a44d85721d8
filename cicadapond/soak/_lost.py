"""Checks that no request is cut off or left without an answer around planned changes."""

import typing

from cicadapond.soak._records import CallRecord, History, Violation, overlaps

# An unplanned fault excuses a violation if it was active at any time from this long before the
# request until it ended. Planned changes excuse nothing.
EXCUSE_LOOKBACK_S = 3.0
# A connection that is closed so long after the last byte of a request was not closed by chance.
LOSS_SLACK_S = 0.2
# Beside a configuration, a request that has used so much of its time does not count.
TIME_USED_SHARE = 0.7
# Of the requests that last longer than their time, so many may end so much later.
LATE_S, MIN_LATE, MAX_LATE_SHARE = 0.5, 8, 0.25
# How long after a configuration an earlier one may still be in force.
CONFIGURATION_S = 2.0


def time_allowed(call: CallRecord, history: History) -> float:
    """Returns the shortest time that a request has, of its own and by its route, in seconds."""
    limits = [call.time_limit]
    begin = call.sent_at - CONFIGURATION_S
    for each in history.configurations_between(begin, call.ended_at):
        limits.append(each.timeouts.get(call.prefix, call.time_limit))
    return min(limits)


def is_excused(call: CallRecord, history: History, time_share: float = 1.0) -> bool:
    """Returns whether a request may have been cut off.

    Args:
      call: The request.
      history: What else happened.
      time_share: It may once it has used this share of its time.
    """
    if call.was_given_up or call.id in history.broken_off or call.id in history.crashing_ids:
        return True
    if call.ended_at - call.sent_at >= time_share * time_allowed(call, history):
        return True
    return overlaps(history.fault_spans, call.sent_at - EXCUSE_LOOKBACK_S, call.ended_at)


def lost_requests(history: History) -> typing.Iterator[Violation]:
    """Returns the requests that were cut off around planned changes."""
    ran = {run.id for run in history.runs}
    for call in history.calls:
        if call.is_complete or call.sent_whole_at is None or is_excused(call, history):
            continue
        if call.id not in ran and call.ended_at <= call.sent_whole_at + LOSS_SLACK_S:
            continue  # it crossed the close of its connection, and was never read
        around = [
            change.what
            for change in history.changes
            if change.process in (None, call.process)
            and change.begin <= call.ended_at <= change.end
            and not (change.process is None and is_excused(call, history, TIME_USED_SHARE))
        ]
        detail = f"status {call.status}, cut off at process {call.process} around {around}"
        if around:
            yield Violation("no request lost", call.id, detail)


def late_answers(history: History) -> typing.Iterator[Violation]:
    """Returns the requests that had no end when their callers gave up, long after their time.

    Besides, of those that last longer than their time, no more than a quarter may end so late.
    """
    late, lasting = 0, 0
    for call in history.calls:
        if call.has_left or call.id in history.broken_off:
            continue
        if overlaps(history.fault_spans, call.sent_at - EXCUSE_LOOKBACK_S, call.ended_at):
            continue
        began_at = call.sent_at if call.sent_whole_at is None else call.sent_whole_at
        took_s, allowed_s = call.ended_at - began_at, time_allowed(call, history)
        lasting += took_s >= allowed_s
        late += took_s >= allowed_s + LATE_S
        if call.timed_out:
            detail = f"status {call.status}, no end after {took_s:.1f} s, process {call.process}"
            yield Violation("an end in time", call.id, detail)
    if late >= MIN_LATE and late > MAX_LATE_SHARE * lasting:
        yield Violation("an end in time", "all", f"{late} of {lasting} that lasted too long")


def memory_excesses(history: History) -> typing.Iterator[Violation]:
    """Returns the processes that were killed as they held too much memory."""
    for each in history.memory_excesses:
        detail = f"{each.resident_mb:.0f} MB resident, limit {each.limit_mb} MB"
        yield Violation("memory", f"process {each.process} at {each.at:.1f}", detail)
