"""Tracks requests that crash the backend servers that run them; no I/O.

Callers retry such requests under new ids, so they are identified by a fingerprint of their content.
A broken connection alone is no crash: it counts only if the server is down afterwards, and then
for every request whose connection to it broke.  Each process counts the crashes that it observed
and reports them to the others.
"""

import datetime
import hashlib
import typing

import attrs

from cicadapond.gateway.data import CallerRequest
from cicadapond.kernel import Clock

# A request that has crashed this many servers is not sent to any other.
CRASH_LIMIT = 3
CRASH_RETENTION = datetime.timedelta(seconds=120)
# The connections that one crash breaks all break within this time.
SAME_CRASH_WINDOW = datetime.timedelta(milliseconds=1500)


@attrs.frozen
class _BrokenConnection:
    fingerprint: str
    at: datetime.timedelta


@attrs.define
class _Suspect:
    crashes: int
    until: datetime.timedelta


class CrashTracker:
    """Counts crashes by request fingerprint.

    Args:
      clock: The clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._broken_connections: dict[str, list[_BrokenConnection]] = {}
        self._suspects: dict[str, _Suspect] = {}
        self._peer_counts: dict[str, typing.Mapping[str, int]] = {}

    def is_contained(self, fingerprint: str) -> bool:
        """Returns whether requests with this fingerprint must not be sent any more."""
        if not self._suspects and not any(self._peer_counts.values()):
            return False
        self._expire()
        own = self._suspects.get(fingerprint)
        total = own.crashes if own is not None else 0
        total += sum(counts.get(fingerprint, 0) for counts in self._peer_counts.values())
        return total >= CRASH_LIMIT

    def record_broken_connection(self, fingerprint: str, server: str) -> None:
        """Records that a request's connection broke before its response was complete."""
        self._broken_connections.setdefault(server, []).append(
            _BrokenConnection(fingerprint, self._clock.monotonic())
        )

    def record_server_down(self, server: str) -> tuple[str, ...]:
        """Records that a server is down; returns the fingerprints suspected of crashing it."""
        now = self._clock.monotonic()
        broken = self._broken_connections.pop(server, [])
        recent = {entry.fingerprint for entry in broken if now - entry.at <= SAME_CRASH_WINDOW}
        for fingerprint in recent:
            crashes = self._suspects[fingerprint].crashes if fingerprint in self._suspects else 0
            self._suspects[fingerprint] = _Suspect(crashes + 1, now + CRASH_RETENTION)
        return tuple(sorted(recent))

    def record_server_up(self, server: str) -> None:
        """Records that a server accepts connections, so its broken connections were no crash."""
        self._broken_connections.pop(server, None)

    def record_response(self, fingerprint: str) -> None:
        """Records a complete response, which clears the suspicion of a request."""
        self._suspects.pop(fingerprint, None)

    def counts(self) -> dict[str, int]:
        """Returns the crashes that this process observed, to report to the others."""
        self._expire()
        return {fingerprint: suspect.crashes for fingerprint, suspect in self._suspects.items()}

    def record_peer_counts(self, process: str, counts: typing.Mapping[str, int]) -> None:
        """Replaces the crash counts reported by another process."""
        self._peer_counts[process] = counts

    def _expire(self):
        now = self._clock.monotonic()
        for fingerprint in [key for key, suspect in self._suspects.items() if suspect.until <= now]:
            del self._suspects[fingerprint]


def fingerprint_of(req: CallerRequest, account: str | None) -> str:
    """Returns a hash of a request's method, target, client account and body, but not its id."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method.encode(), req.target, (account or "").encode(), req.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
