"""Containment of requests that crash backend servers."""

from cicadapond.containment._crashes import CrashBook, fingerprint_of

__all__ = ["CrashBook", "fingerprint_of"]
