"""The structured log of a process."""

from cicadapond.eventlog._end import log_end
from cicadapond.eventlog._log import EventLog

__all__ = ["EventLog", "log_end"]
