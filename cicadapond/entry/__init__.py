"""The entry process: callers' HTTP API before engines and plain services."""

from cicadapond.entry._core import CompletionSink, EntryCore
from cicadapond.entry._settings import EntrySettings

__all__ = ["CompletionSink", "EntryCore", "EntrySettings"]
