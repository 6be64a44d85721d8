"""Usage: how many requests of each client account began to run in each window."""

from cicadapond.usage._windows import EPOCH, UsageWindows, add_up

__all__ = ["EPOCH", "UsageWindows", "add_up"]
