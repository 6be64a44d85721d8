"""Quarantine: requests that crash the backend servers that run them."""

from cicadapond.quarantine._quarantine import Quarantine, QuarantineSettings, Ticket
from cicadapond.quarantine._table import ConvictionTable

__all__ = ["ConvictionTable", "Quarantine", "QuarantineSettings", "Ticket"]
