"""Logs for how long servers want nothing of this process, and when that changes."""

from cicadapond.advisories import PauseChange, ServerAdvisories
from cicadapond.eventlog import EventLog
from cicadapond.gateway._request import milliseconds


def log_pauses(advisories: ServerAdvisories, log: EventLog) -> None:
    """Logs each change of a pause from now on."""

    def write(change: PauseChange) -> None:
        log.write(
            "server_pause_" + change.event.value,
            server=change.server,
            start=change.born,
            asked_ms=milliseconds(change.asked),
            left_before_ms=milliseconds(change.before),
            left_ms=milliseconds(change.after),
        )

    advisories.watch_pauses(write)
