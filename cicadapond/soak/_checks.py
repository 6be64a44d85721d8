"""Checks the recorded history of a soak against the product's guarantees, without I/O."""

import collections

import attrs

from cicadapond.soak._compared_times import disturbed_times
from cicadapond.soak._configuration_checks import handled_as_configured, unchanged_requests
from cicadapond.soak._lost import is_excused, late_answers, lost_requests, memory_excesses
from cicadapond.soak._records import LONG, PROBE, RUN_ONCE, CallRecord, History, Violation, overlaps
from cicadapond.soak._resumed import lost_streams
from cicadapond.soak._rollouts import check_rollouts

# Limits of the deployment under test (platform.standin).
REVOCATION_S = 5.0
DRAIN_S = 2.0
RECOVERY_S = 12.0
# How long a fault may have effects after its end: calls and probes that still time out.
RESIDUAL_EFFECT_S = 2.0
# Longest time from sending a request until it is read at the other end.
DELIVERY_SLACK_S = 0.2
# An unplanned fault excuses a violation if it was active at any time from this long before the
# request, or before the server's drain, until the request ended or ran. Planned stops excuse
# nothing.
EXCUSE_LOOKBACK_S = 3.0
# A stated limit binds the processes that have passed on an answer with it for a while: this long
# after it was first stated they may not exceed it in any window.
CONTACT_S = 3.0
# For so long an engine may work on a request after another one began it.
OVERLAP_S = 0.4
TOLD_AFTER_S = 0.7
LIMIT_WINDOW_S = 4.0
MAX_LIMIT_RATIO, MAX_EXTRA_REQUESTS = 1.5, 5
# So many prompts that crash engines may be sent later than CONTACT_S after this many crashes.
MAX_CRASHES, MAX_PROMPTS_AFTER_CRASHES = 5, 3
# Callers of a process without links are served at least this often, relative to the others; with
# fewer calls than this, chance decides.
MIN_SERVED_WITHOUT_LINKS = 2 / 3
MIN_CALLS_COMPARED = 15
# In one time in which they are brittle, servers may crash this often, and a share of their number.
MAX_BRITTLE_CRASHES, MAX_BRITTLE_CRASH_SHARE = 2, 0.1
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_SERVED_SHARE = 0.9


def check(history: History) -> list[Violation]:
    """Returns all violations found."""
    checks = (
        _at_most_once,
        _one_engine_at_a_time,
        _reported_not_run,
        _correct_answers,
        _removed_keys,
        _drained_servers,
        _stated_limits,
        _contained_prompts,
        _served_without_links,
        _silent_servers,
        _brittle_servers,
        _one_version,
        _rollouts,
        _consistent_usage,
        _single_holders,
        _planned_stops,
        _unexpected_exits,
        _recovery,
        lost_requests,
        late_answers,
        memory_excesses,
        unchanged_requests,
        disturbed_times,
    )
    busy = [(first, last + RESIDUAL_EFFECT_S) for first, last in history.busy_spans]
    excused = attrs.evolve(history, fault_spans=history.fault_spans + busy)
    found = list(lost_streams(history))
    spans = [
        (each.begin, each.end + RESIDUAL_EFFECT_S) for each in history.partitions if each.is_excused
    ]
    history = attrs.evolve(history, fault_spans=history.fault_spans + spans)
    excused = attrs.evolve(excused, fault_spans=excused.fault_spans + spans)
    found += [violation for find in checks for violation in find(excused)]
    # Here a busy machine is given more time, and excuses nothing.
    return found + list(handled_as_configured(history))


def _at_most_once(history):
    kinds = {call.id: call.kind for call in history.calls if call.kind in RUN_ONCE}
    counts = collections.Counter(run.id for run in history.runs if not run.is_moved)
    for request in sorted(kinds):
        if counts[request] > 1:
            yield Violation("runs at most once", request, f"{counts[request]} runs")
    for run in history.runs:
        if run.is_resumed and not run.is_moved and kinds.get(run.id) == LONG:
            yield Violation("runs at most once", run.id, "resumed, though its route forbids it")


def _one_engine_at_a_time(history):
    for at, request in history.double_runs:
        # Without a path to an engine it cannot be told to stop.
        if not overlaps(history.fault_spans, at - EXCUSE_LOOKBACK_S, at + OVERLAP_S):
            yield Violation("one engine at a time", request, "two engines worked on it")


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
        if not overlaps(history.fault_spans, drained - EXCUSE_LOOKBACK_S, run.at):
            late = run.at - drained
            yield Violation("leaving servers", run.id, f"runs {late:.2f} s after {run.server} left")


def _stated_limits(history):
    processes = {call.id: call.process for call in history.calls}
    for limit in history.limits:
        if overlaps(history.fault_spans, limit.begin - EXCUSE_LOOKBACK_S, limit.end):
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


def _contained_prompts(history):
    crashes = sorted(history.prompt_crashes)
    if len(crashes) < MAX_CRASHES:
        return
    late = crashes[MAX_CRASHES - 1] + CONTACT_S
    sent = sorted(run.at for run in history.runs if run.id in history.crashing_ids)
    sent = [at for at in sent if at > late]
    # A crash is told by processes that may be killed, and reported by links that may be cut.
    if overlaps(history.fault_spans, crashes[0] - EXCUSE_LOOKBACK_S, late + CONTACT_S):
        return
    if len(sent) > MAX_PROMPTS_AFTER_CRASHES:
        yield Violation("crashing prompts", "all", f"{len(sent)} sent after {MAX_CRASHES} crashes")


def _served_without_links(history):
    for cut in history.cuts:
        begin = cut.begin + CONTACT_S
        others = [span for span in history.fault_spans if span[0] != cut.begin]
        if overlaps(others, begin - EXCUSE_LOOKBACK_S, cut.end):
            continue
        if any(first <= cut.end and begin <= last for _, first, last in history.planned_stops):
            continue
        calls = [
            call
            for call in history.calls
            if begin <= call.sent_at
            and call.ended_at <= cut.end
            and call.id not in history.crashing_ids
        ]
        here = [_is_served(call) for call in calls if call.process == cut.process]
        elsewhere = [_is_served(call) for call in calls if call.process != cut.process]
        if min(len(here), len(elsewhere)) < MIN_CALLS_COMPARED:
            continue
        expected = MIN_SERVED_WITHOUT_LINKS * sum(elsewhere) / len(elsewhere)
        if sum(here) < expected * len(here):
            detail = f"{sum(here)} of {len(here)} served, {sum(elsewhere)} of {len(elsewhere)}"
            yield Violation("served without links", f"process {cut.process}", detail)


def _silent_servers(history):
    calls = {call.id: call for call in history.calls}
    for hold in history.holds:
        for run in history.runs:
            call = calls.get(run.id)
            if run.server != hold.server or call is None or run.at > hold.end:
                continue
            if call.is_complete or call.ended_at < hold.begin or is_excused(call, history):
                continue
            begin = hold.begin - EXCUSE_LOOKBACK_S
            if not overlaps(history.fault_spans, begin, call.ended_at):
                yield Violation("silent servers", call.id, f"cut off, {hold.server} was silent")


def _brittle_servers(history):
    for time in history.brittle_times:
        begin = time.begin - EXCUSE_LOOKBACK_S
        if overlaps(history.fault_spans, begin, time.end):
            continue
        crashes = [at for at in time.crashes if time.begin <= at <= time.end]
        if len(crashes) > MAX_BRITTLE_CRASHES + MAX_BRITTLE_CRASH_SHARE * time.servers:
            detail = f"{len(crashes)} crashes of {time.servers} servers"
            yield Violation("brittle servers", f"at {time.begin:.1f}", detail)


def _is_served(call):
    return call.status == 200 and call.is_complete


def _one_version(history):
    versions = collections.defaultdict(set)
    for call in history.calls:
        versions[call.resumes or call.id] |= call.versions
    for request, seen in versions.items():
        if len(seen) > 1:
            yield Violation("one software version", request, f"events of {sorted(seen)}")


def _rollouts(history):
    for found in check_rollouts(history):
        record = found.record
        kind = "good" if record.is_good else "bad"
        yield Violation("rollouts", f"{record.to} of {record.service} ({kind})", found.detail)


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
        if call.is_complete or not _overlaps_planned_stop(call, history):
            continue
        if call.id not in ran and call.ended_at <= call.sent_at + DELIVERY_SLACK_S:
            continue  # sent as the connection was being closed, and never read
        if not is_excused(call, history):
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
        and call.id not in history.crashing_ids
        and call.key not in history.limited_keys
        and call.kind != PROBE
        and not call.has_left
    ]
    served = sum(map(_is_served, late))
    if late and served < MIN_SERVED_SHARE * len(late):
        yield Violation("recovery", "all", f"{served} of {len(late)} requests served")
    for process in history.not_ready:
        yield Violation("recovery", f"process {process}", "not ready at the end")
