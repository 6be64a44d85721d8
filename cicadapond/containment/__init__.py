"""Containment of requests that crash the backend servers that run them.

Used by the gateway.  Requests that have crashed CRASH_LIMIT servers are not sent any more.  The
entry processes use `quarantine`, which isolates suspects to find the cause.
"""

from cicadapond.containment._crashes import CrashTracker, fingerprint_of

__all__ = ["CrashTracker", "fingerprint_of"]
