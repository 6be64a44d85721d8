"""Building blocks of all other packages, independent of the serving domain.

Clock, plug-in registry, tasks with mailboxes, validated settings, call outcomes and metrics.
Nothing here imports a web framework, opens a socket or depends on what an engine is.
"""

from cicadapond.kernel._backoff import doubled
from cicadapond.kernel._clock import BootClock, Clock, LoopClock, ManualClock
from cicadapond.kernel._findings import Finding, Findings, Place
from cicadapond.kernel._jsonc import Node, parse_jsonc
from cicadapond.kernel._late_timeout import late_timeout
from cicadapond.kernel._metrics import Metrics
from cicadapond.kernel._outcome import (
    AnswerLost,
    Conflict,
    Failed,
    NotRun,
    Ok,
    Unavailable,
    Unknown,
)
from cicadapond.kernel._processor_share import FreeWork, ProcessorShare, WorkMeter
from cicadapond.kernel._registry import Registry, load_plugins
from cicadapond.kernel._settings import (
    SettingsError,
    at_least,
    between,
    load_settings,
    matches,
    one_of,
    setting,
    structure,
)
from cicadapond.kernel._task import Mailbox, Task, TaskGroup, raised_at
from cicadapond.kernel._turns import STEPS_PER_TURN, Turns
from cicadapond.kernel._virtual import (
    DeadlockError,
    VirtualClock,
    VirtualLoop,
    run_virtual,
    seconds,
)

__all__ = [
    "AnswerLost",
    "BootClock",
    "Clock",
    "Conflict",
    "DeadlockError",
    "Failed",
    "Finding",
    "Findings",
    "LoopClock",
    "Mailbox",
    "ManualClock",
    "Metrics",
    "Node",
    "NotRun",
    "Ok",
    "Place",
    "FreeWork",
    "ProcessorShare",
    "Registry",
    "STEPS_PER_TURN",
    "SettingsError",
    "Task",
    "TaskGroup",
    "Turns",
    "Unavailable",
    "Unknown",
    "VirtualClock",
    "VirtualLoop",
    "WorkMeter",
    "at_least",
    "between",
    "doubled",
    "load_plugins",
    "load_settings",
    "late_timeout",
    "matches",
    "one_of",
    "parse_jsonc",
    "raised_at",
    "run_virtual",
    "seconds",
    "setting",
    "structure",
]
