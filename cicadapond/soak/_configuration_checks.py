"""Checks that requests are handled as the configurations in force say."""

import collections
import typing

from cicadapond.soak._lost import CONFIGURATION_S, EXCUSE_LOOKBACK_S
from cicadapond.soak._records import PROBE, History, Violation, overlaps

# Longest time from sending a request until it is read at the other end.
DELIVERY_SLACK_S = 0.2
# So long after a configuration's effect was seen, a process may not go back to an earlier one; as
# much as is allowed to slow processes, as most have a share of a processor.
BACK_S = 2.0
NO_ROUTE, NO_KEY = 404, 401


def handled_as_configured(history: History) -> typing.Iterator[Violation]:
    """Returns requests that no configuration explains, or only one that is out of date."""
    if not history.configurations:
        return
    runs: dict[str, list] = {}
    for run in history.runs:
        runs.setdefault(run.id, []).append(run)
    seen: dict[tuple, list] = {}
    starts = collections.defaultdict(list)
    for process, at in history.starts:
        starts[process].append(at)
    for call in sorted(history.calls, key=lambda call: call.sent_at):
        indices = _explaining(call, runs.get(call.id, ()), history)
        if indices is None:
            continue
        detail = f"{call.target}, status {call.status}, process {call.process}"
        if not indices:
            yield Violation("configurations", call.id, f"{detail}: as none of them says")
            continue
        newest, excused = max(indices), _is_excused(call, history)
        following = history.configurations[newest + 1 :]
        late = call.sent_at - following[0].at if following else 0.0
        allowed = CONFIGURATION_S + DELIVERY_SLACK_S
        if following and not excused:
            allowed += history.busy_s(following[0].at, call.sent_at)
        if late > allowed and not excused:
            yield Violation("configurations", call.id, f"{detail}: {late:.1f} s out of date")
        lifetime = max((at for at in starts[call.process] if at <= call.sent_at), default=0.0)
        before = seen.setdefault((call.process, lifetime), [])
        newer = [
            version
            for ended_at, version in before
            if version > newest
            and ended_at + BACK_S + history.busy_s(ended_at, call.sent_at) < call.sent_at
        ]
        if newer and not _is_restored(call, history):
            versions = (history.configurations[each].version for each in (max(newer), newest))
            told = "after {}, {} or before".format(*versions)
            yield Violation("configurations go back", call.id, f"{detail}: {told}")
        before.append((call.ended_at, min(indices)))


def _explaining(call, runs, history):
    """Returns the indices of the configurations that explain an outcome, None if all may."""
    known = [
        (index, each)
        for index, each in enumerate(history.configurations)
        if each.at <= call.ended_at
    ]
    if call.status == NO_ROUTE:
        return [index for index, each in known if call.prefix not in each.services]
    if call.status == NO_KEY:
        return [index for index, each in known if call.key not in each.keys]
    services = {run.service for run in runs if not run.is_moved}
    if len(services) != 1:
        return None  # not run, or run again after a change
    service = services.pop()
    return [index for index, each in known if service in each.services.get(call.prefix, ())]


def _is_excused(call, history):
    begin = call.sent_at - CONFIGURATION_S - EXCUSE_LOOKBACK_S
    return overlaps(history.fault_spans, begin, call.ended_at)


def _is_restored(call, history):
    return any(first <= call.ended_at for first, _ in history.restored_spans)


def unchanged_requests(history: History) -> typing.Iterator[Violation]:
    """Returns requests that reached a server with another method, target or body."""
    calls = {call.id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.id)
        if call is None or call.digest is None or run.content is None:
            continue
        if run.content != (call.method, call.target, call.digest):
            detail = f"{run.content[:2]} at {run.server}, sent {call.method} {call.target}"
            yield Violation("unchanged requests", run.id, detail)


def probed_routes(history: History) -> tuple[int, int]:
    """Returns how many probes were served, and how many found no route."""
    probes = [call.status for call in history.calls if call.kind == PROBE]
    return probes.count(200), probes.count(NO_ROUTE)
