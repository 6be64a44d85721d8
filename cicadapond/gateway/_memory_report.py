"""Records the memory of this process, and what it holds of others' bytes."""

import datetime
import resource

from cicadapond.gateway._parts import Parts
from cicadapond.memory import CallerState

INTERVAL = datetime.timedelta(seconds=1)
STATM = "/proc/self/statm"


async def report_memory(parts: Parts) -> None:
    """Sets the gauges periodically until cancelled."""
    metrics, memory = parts.metrics, parts.memory
    metrics.gauge("held_bound_bytes", memory.bound_bytes)
    while True:
        for kind, held in memory.held_by_kind().items():
            metrics.gauge("held_bytes", held, kind=kind.value)
        metrics.gauge("held_is_full", int(memory.is_full))
        metrics.gauge("answer_groups_given_up", memory.groups_given_up)
        if parts.caller_slots is not None:
            _report_callers(metrics, parts.caller_slots)
        resident = resident_bytes()
        if resident is not None:
            metrics.gauge("resident_bytes", resident)
        await parts.clock.sleep(INTERVAL)


def _report_callers(metrics, slots):
    metrics.gauge("caller_slots", slots.limit)
    for state in CallerState:
        metrics.gauge("caller_connections_open", slots.count(state), state=state.value)
        metrics.gauge("caller_connections_given_up", slots.given_up[state], state=state.value)


def resident_bytes() -> int | None:
    """Returns the resident memory of this process, None if the system does not tell it."""
    try:
        with open(STATM, encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, IndexError, ValueError):
        return None
