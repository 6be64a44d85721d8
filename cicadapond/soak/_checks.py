"""The promises of the product, checked against what a soak has seen; no I/O."""

import collections

import attrs

from cicadapond.soak._records import PLAIN, CallRecord, History

# Bounds of the deployment that a soak runs (platform.standin), in seconds.
REVOCATION_S = 5.0
DRAIN_S = 2.0
RECOVERY_S = 12.0
# What a request may take from its caller to the one that reads it.
SLACK_S = 0.2
# A planned stop excuses nothing; other troubles do from so long before a request to its end.
CONTACT_S = 3.0
NOT_RUN = (408, 421, 429, 503)
LEAST_SERVED = 0.9


@attrs.frozen
class Violation:
    """A promise that was not kept."""

    promise: str
    subject: str
    detail: str

    def __str__(self):
        return f"{self.promise}: {self.subject}: {self.detail}"


def check(history: History) -> list[Violation]:
    """Returns every violation of a promise."""
    checks = (
        _once,
        _said_not_run,
        _own_answers,
        _removed_keys,
        _drained_servers,
        _usage_once,
        _fences,
        _planned_stops,
        _ends,
        _recovery,
    )
    return [violation for find in checks for violation in find(history)]


def _once(history):
    plain = {call.id for call in history.calls if call.kind == PLAIN}
    counts = collections.Counter(run.id for run in history.runs)
    for request in sorted(plain):
        if counts[request] > 1:
            yield Violation("runs at most once", request, f"{counts[request]} runs")


def _said_not_run(history):
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.id].append(run.server)
    for call in history.calls:
        if call.status in NOT_RUN and call.id in runs:
            yield Violation("said not to have run", call.id, f"{call.status}, on {runs[call.id]}")


def _own_answers(history):
    for call in history.calls:
        if not call.is_own:
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
        if drained is None or run.at <= drained + DRAIN_S + SLACK_S:
            continue
        if not _overlaps(history.troubles, drained - CONTACT_S, run.at):
            late = run.at - drained
            yield Violation("leaving servers", run.id, f"runs {late:.2f} s after {run.server} left")


def _usage_once(history):
    for window, reports in sorted(history.reports.items()):
        if any(report != reports[0] for report in reports):
            yield Violation("usage once", str(window), f"reports differ: {reports}")


def _fences(history):
    for (subject, fencing), holders in history.holders.items():
        if len(holders) > 1:
            yield Violation("one holder", f"{subject} {fencing}", f"{sorted(holders)}")


def _planned_stops(history):
    ran = {run.id for run in history.runs}
    for call in history.calls:
        if call.is_whole or call.gave_up or not _is_of_a_stop(call, history):
            continue
        if call.id not in ran and call.ended_at <= call.sent_at + SLACK_S:
            continue  # it crossed the end of its connection, and nobody read it
        if not _overlaps(history.troubles, call.sent_at - CONTACT_S, call.ended_at):
            yield Violation("planned stops", call.id, f"cut off at process {call.process}")


def _is_of_a_stop(call: CallRecord, history: History):
    return any(
        process == call.process and begin <= call.ended_at and call.sent_at <= end
        for process, begin, end in history.stops
    )


def _ends(history):
    for process, status in history.ends:
        yield Violation("runs until it is stopped", f"process {process}", f"status {status}")


def _recovery(history):
    late = [
        call
        for call in history.calls
        if call.sent_at > history.quiet_from + RECOVERY_S and call.key not in history.keys_removed
    ]
    served = sum(call.status == 200 and call.is_whole for call in late)
    if late and served < LEAST_SERVED * len(late):
        yield Violation("recovery", "all", f"{served} of {len(late)} requests served")


def _overlaps(spans, begin, end):
    return any(first <= end and begin <= last for first, last in spans)
