"""The entry process: the HTTP API that callers use to reach engines and plain services."""

from cicadapond.entry._core import EntryCore
from cicadapond.entry._settings import EntrySettings
from cicadapond.entry._sink import CompletionSink

__all__ = ["CompletionSink", "EntryCore", "EntrySettings"]
