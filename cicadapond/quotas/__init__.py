"""Quotas of client accounts, shared by all processes that admit requests."""

from cicadapond.quotas._shares import QuotaShares

__all__ = ["QuotaShares"]
