"""Checks that streams which callers take up again go on as often as new ones begin.

Neither cuts between processes nor those that wait for processors excuse anything.
"""

import collections
import typing

import attrs

from cicadapond.soak._records import STREAM, History, Violation, overlaps

# For so long a process counts as disturbed after it had no path to the store, or did not run.
CONTACT_S = 3.0
# Streams that are taken up so long after a partition are compared apart from later ones.
AFTER_PARTITION_S = 6.0
MIN_RESUMED, MIN_RESUMED_SHARE = 12, 0.5
MIN_SERVING = 2
POOL = "pool"  # the service of the streams that may be taken up


@attrs.frozen
class _Stream:
    """A stream that was taken up at a process, in one try or several."""

    process: int
    begin: float
    end: float
    goes_on: bool


@attrs.frozen
class _Group:
    """Streams taken up at some processes in a time, which are compared with all that begin then."""

    what: str
    processes: frozenset[int]
    begin: float
    end: float

    def holds(self, stream):
        return stream.process in self.processes and self.begin <= stream.begin < self.end


def lost_streams(history: History) -> typing.Iterator[Violation]:
    """Returns where too few of the streams that were taken up went on."""
    streams = _resumed(history)
    begun = [
        call
        for call in history.calls
        if call.kind == STREAM
        and not call.resumes
        and _is_unlimited(call, history)
        and _is_sound(history, call.process, call.sent_at, call.ended_at)
    ]
    for group in _groups(history):
        resumed = [each for each in streams if group.holds(each)]
        new = [call.status == 200 for call in begun if group.begin <= call.sent_at < group.end]
        if len(resumed) < MIN_RESUMED or not new:
            continue
        going_on = sum(each.goes_on for each in resumed)
        share = MIN_RESUMED_SHARE * sum(new) / len(new)
        if going_on < share * len(resumed):
            detail = (
                f"{going_on} of {len(resumed)} went on, {sum(new)} of {len(new)} new ones began"
            )
            yield Violation("resumed streams", group.what, detail)


def resumed_streams(history: History) -> str:
    """Returns how many streams were taken up and how many went on, "" if there were none."""
    streams = _resumed(history)
    going_on = sum(each.goes_on for each in streams)
    return f"{going_on} of {len(streams)} streams went on, " if streams else ""


def _groups(history):
    processes = frozenset(call.process for call in history.calls)
    last = max((call.ended_at for call in history.calls), default=0.0)
    yield _Group("all", processes, 0.0, last + 1.0)
    for each in history.partitions:
        if not each.processes:
            continue
        what = f"{each.what} of {sorted(each.processes)} at {each.begin:.1f}"
        others = processes - each.processes
        yield _Group(f"{what}, during it", each.processes, each.begin, each.end)
        yield _Group(f"{what}, at the others", others, each.begin, each.end)
        begin = each.end + (CONTACT_S if each.is_excused else 0.0)
        yield _Group(f"{what}, after it", each.processes, begin, begin + AFTER_PARTITION_S)


def _resumed(history):
    """Returns the sound streams that were taken up while two engines of their version served."""
    versions = {call.id: call.versions for call in history.calls if call.kind == STREAM}
    tries = collections.defaultdict(list)
    for call in history.calls:
        if call.kind == STREAM and call.resumes and _is_unlimited(call, history):
            tries[call.resumes, call.process].append(call)
    found = []
    for (request, process), calls in tries.items():
        begin, end = min(call.sent_at for call in calls), max(call.ended_at for call in calls)
        goes_on = any(call.status == 200 for call in calls)
        serving = _serving(history, versions.get(request, ()), begin, end)
        if serving >= MIN_SERVING and _is_sound(history, process, begin, end):
            found.append(_Stream(process, begin, end, goes_on))
    return found


def _serving(history, versions, begin, end):
    return sum(
        each.service == POOL
        and each.version in versions
        and each.begin <= begin
        and each.end >= end
        for each in history.serving_times
    )


def _is_unlimited(call, history):
    return call.key not in history.keys_removed and call.key not in history.limited_keys


def _is_sound(history, process, begin, end):
    """Returns whether a process was undisturbed from `CONTACT_S` before a time to its end."""
    disturbed = [
        (each.begin, each.end)
        for each in history.partitions
        if each.is_excused and process in each.processes
    ]
    disturbed += [(at, at) for number, at in history.starts if number == process]
    disturbed += [
        (first, last) for number, first, last in history.planned_stops if number == process
    ]
    spans = history.fault_spans + history.own_pauses + disturbed
    return not overlaps(spans, begin - CONTACT_S, end)
