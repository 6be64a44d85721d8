"""Quarantine of requests that crash the backend servers on which they run.

Used by the entry processes.  After a crash, each suspect runs isolated from the others to find the
cause; the gateway uses `containment`.
"""

from cicadapond.quarantine._quarantine import Quarantine, QuarantineSettings, Ticket
from cicadapond.quarantine._table import QuarantineTable

__all__ = ["QuarantineTable", "Quarantine", "QuarantineSettings", "Ticket"]
