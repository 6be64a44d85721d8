"""Usage accounting: the requests of each client account that started in each time window."""

from cicadapond.usage._stored import StoredCounts
from cicadapond.usage._windows import EPOCH, UsageLedger, UsageWindows

__all__ = ["EPOCH", "StoredCounts", "UsageLedger", "UsageWindows"]
