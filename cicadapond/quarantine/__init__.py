"""Quarantine of requests that crash the backend servers on which they run."""

from cicadapond.quarantine._quarantine import Quarantine, QuarantineSettings, Ticket
from cicadapond.quarantine._table import QuarantineTable

__all__ = ["QuarantineTable", "Quarantine", "QuarantineSettings", "Ticket"]
