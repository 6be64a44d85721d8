"""Checks the recorded history of a soak against the product's guarantees, without I/O."""

import collections

import attrs

from cicadapond.soak._records import PLAIN, CallRecord, History

# Limits of the deployment under test (platform.standin).
REVOCATION_S = 5.0
DRAIN_S = 2.0
RECOVERY_S = 12.0
# Longest time from sending a request until it is read at the other end.
DELIVERY_SLACK_S = 0.2
# An unplanned fault excuses a violation if it was active at any time from this long before the
# request, or before the server's drain, until the request ended or ran. Planned stops excuse
# nothing.
EXCUSE_LOOKBACK_S = 3.0
# A stated limit binds the processes that have passed on an answer with it for a while: this long
# after it was first stated they may not exceed it in any window.
CONTACT_S = 3.0
TOLD_AFTER_S = 0.7
LIMIT_WINDOW_S = 4.0
MAX_LIMIT_RATIO, MAX_EXTRA_REQUESTS = 1.5, 5
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_SERVED_SHARE = 0.9


@attrs.frozen
class Violation:
    """A guarantee that was not met."""

    guarantee: str
    subject: str
    detail: str

    def __str__(self):
        return f"{self.guarantee}: {self.subject}: {self.detail}"


def check(history: History) -> list[Violation]:
    """Returns all violations found."""
    checks = (
        _at_most_once,
        _reported_not_run,
        _correct_answers,
        _removed_keys,
        _drained_servers,
        _stated_limits,
        _one_version,
        _consistent_usage,
        _single_holders,
        _planned_stops,
        _unexpected_exits,
        _recovery,
    )
    return [violation for find in checks for violation in find(history)]


def _at_most_once(history):
    plain = {call.id for call in history.calls if call.kind == PLAIN}
    counts = collections.Counter(run.id for run in history.runs)
    for request in sorted(plain):
        if counts[request] > 1:
            yield Violation("runs at most once", request, f"{counts[request]} runs")


def _reported_not_run(history):
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run.server)
    for call in history.calls:
        if call.status in NOT_RUN_STATUSES and call.id in runs:
            yield Violation("said not to have run", call.id, f"{call.status}, on {runs[call.id]}")


def _correct_answers(history):
    for call in history.calls:
        if not call.is_correct:
            yield Violation("own answers, in order", call.id, f"status {call.status}")


def _removed_keys(history):
    keys = {call.id: call.key for call in history.calls}
    for run in history.runs:
        removed = history.keys_removed.get(keys.get(run.id))
        if removed is not None and run.at > removed + REVOCATION_S:
            late = run.at - removed
            yield Violation("removed keys", run.id, f"runs {late:.2f} s after its key was removed")


def _drained_servers(history):
    for run in history.runs:
        drained = history.drained.get(run.server)
        if drained is None or run.at <= drained + DRAIN_S + DELIVERY_SLACK_S:
            continue
        if not _overlaps(history.fault_spans, drained - EXCUSE_LOOKBACK_S, run.at):
            late = run.at - drained
            yield Violation("leaving servers", run.id, f"runs {late:.2f} s after {run.server} left")


def _stated_limits(history):
    processes = {call.id: call.process for call in history.calls}
    for limit in history.limits:
        if _overlaps(history.fault_spans, limit.begin - EXCUSE_LOOKBACK_S, limit.end):
            continue
        times, told = [], {}
        for run in sorted(history.runs, key=lambda run: run.at):
            if run.server != limit.server or not limit.begin <= run.at <= limit.end:
                continue
            process = processes.get(run.id)
            if run.at >= told.setdefault(process, run.at) + TOLD_AFTER_S:
                times.append(run.at)
        allowed = MAX_LIMIT_RATIO * limit.rate * LIMIT_WINDOW_S + MAX_EXTRA_REQUESTS
        for begin in times:
            end = begin + LIMIT_WINDOW_S
            count = sum(begin <= at <= end for at in times)
            if count > allowed and end >= limit.begin + CONTACT_S:
                detail = f"{count} in {LIMIT_WINDOW_S:g} s, limit {limit.rate:g}"
                yield Violation("stated limits", limit.server, detail)
                break


def _one_version(history):
    versions = collections.defaultdict(set)
    for call in history.calls:
        versions[call.resumes or call.id] |= call.versions
    for request, seen in versions.items():
        if len(seen) > 1:
            yield Violation("one software version", request, f"events of {sorted(seen)}")


def _consistent_usage(history):
    for window, reports in sorted(history.reports.items()):
        if any(report != reports[0] for report in reports):
            yield Violation("usage once", str(window), f"reports differ: {reports}")


def _single_holders(history):
    for (subject, fencing), holders in history.holders.items():
        if len(holders) > 1:
            yield Violation("one holder", f"{subject} {fencing}", f"{sorted(holders)}")


def _planned_stops(history):
    ran = {run.id for run in history.runs}
    for call in history.calls:
        if call.is_complete or call.timed_out or not _overlaps_planned_stop(call, history):
            continue
        if call.id not in ran and call.ended_at <= call.sent_at + DELIVERY_SLACK_S:
            continue  # sent as the connection was being closed, and never read
        if not _overlaps(history.fault_spans, call.sent_at - EXCUSE_LOOKBACK_S, call.ended_at):
            yield Violation("planned stops", call.id, f"cut off at process {call.process}")


def _overlaps_planned_stop(call: CallRecord, history: History):
    return any(
        process == call.process and begin <= call.ended_at and call.sent_at <= end
        for process, begin, end in history.planned_stops
    )


def _unexpected_exits(history):
    for process, status in history.unexpected_exits:
        yield Violation("runs until it is stopped", f"process {process}", f"status {status}")


def _recovery(history):
    late = [
        call
        for call in history.calls
        if call.sent_at > history.faults_ended_at + RECOVERY_S
        and call.key not in history.keys_removed
    ]
    served = sum(call.status == 200 and call.is_complete for call in late)
    if late and served < MIN_SERVED_SHARE * len(late):
        yield Violation("recovery", "all", f"{served} of {len(late)} requests served")


def _overlaps(spans, begin, end):
    return any(first <= end and begin <= last for first, last in spans)
