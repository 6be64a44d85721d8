"""Containment of requests that crash the backend servers that run them."""

from cicadapond.containment._crashes import CrashBook, fingerprint_of

__all__ = ["CrashBook", "fingerprint_of"]
