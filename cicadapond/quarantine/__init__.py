"""Quarantine: requests that crash the backend servers that run them."""

from cicadapond.quarantine._quarantine import Quarantine, QuarantineSettings, Ticket

__all__ = ["Quarantine", "QuarantineSettings", "Ticket"]
