"""The entry process: callers' HTTP API before engines and plain services."""

from cicadapond.entry._core import EntryCore
from cicadapond.entry._settings import EntrySettings
from cicadapond.entry._sink import CompletionSink

__all__ = ["CompletionSink", "EntryCore", "EntrySettings"]
