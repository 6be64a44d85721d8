"""Quotas of client accounts, enforced jointly by all processes that admit requests."""

from cicadapond.quotas._coordinators import coordinators, parts_of
from cicadapond.quotas._shares import SPENDING_WINDOW, WHOLE, GrantPart, QuotaShares, Use

__all__ = [
    "GrantPart",
    "QuotaShares",
    "SPENDING_WINDOW",
    "Use",
    "WHOLE",
    "coordinators",
    "parts_of",
]
