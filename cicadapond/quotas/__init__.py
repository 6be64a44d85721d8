"""Quotas of client accounts, enforced jointly by all processes that admit requests."""

from cicadapond.quotas._shares import QuotaShares

__all__ = ["QuotaShares"]
