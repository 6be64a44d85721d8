"""The structured log of a process."""

from cicadapond.eventlog._log import EventLog

__all__ = ["EventLog"]
