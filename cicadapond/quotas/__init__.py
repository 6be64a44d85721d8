"""Quotas of client accounts, enforced jointly by all processes that admit requests."""

from cicadapond.quotas._shares import SPENDING_WINDOW, QuotaShares

__all__ = ["SPENDING_WINDOW", "QuotaShares"]
