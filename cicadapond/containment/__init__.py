"""Containment of requests that crash the backend servers that run them.

Used by the gateway.  What such requests have in common is found from the crashes and successes that
all processes observe, and requests with it are not sent any more.  The entry processes use
`quarantine`, which isolates suspects to find the cause.
"""

from cicadapond.containment._crashes import BLAME_RETENTION, CrashTracker
from cicadapond.containment._culprits import CRASH_LIMIT, SEPARATOR, find_culprits
from cicadapond.containment._evidence import Crash, CrashEvidence, Successes, merge_evidence
from cicadapond.containment._traits import fingerprint_of, traits_of

__all__ = [
    "BLAME_RETENTION",
    "CRASH_LIMIT",
    "SEPARATOR",
    "Crash",
    "CrashEvidence",
    "CrashTracker",
    "Successes",
    "find_culprits",
    "fingerprint_of",
    "merge_evidence",
    "traits_of",
]
