"""Usage: how many requests of each client account began to run in each window."""

from cicadapond.usage._windows import EPOCH, UsageLedger, UsageWindows

__all__ = ["EPOCH", "UsageLedger", "UsageWindows"]
