"""Durable requests: accepted work that survives the failure of the process that accepted it.

The package can be embedded on its own; it needs only a table service and a clock.
"""

from cicadapond.journal._journal import Journal, durable_id
from cicadapond.journal._reader import RequestReader
from cicadapond.journal._rows import RequestRow, RequestState
from cicadapond.journal._settings import JournalSettings
from cicadapond.journal._sweep import journal_sweep_plan

__all__ = [
    "Journal",
    "JournalSettings",
    "RequestReader",
    "RequestRow",
    "RequestState",
    "durable_id",
    "journal_sweep_plan",
]
