"""Containment of requests that crash the backend servers that run them."""

from cicadapond.containment._crashes import CrashTracker, fingerprint_of

__all__ = ["CrashTracker", "fingerprint_of"]
