"""Requests that crash the backend servers that run them; no I/O.

A caller sends such a request again under a new id, so it is known by what it asks.  A broken
connection alone is no crash: it counts only when the server is down afterwards, and then for
every request that broke there.  Each process counts the crashes that it saw and tells the others.
"""

import datetime
import hashlib
import typing

import attrs

from cicadapond.gateway.data import CallerRequest
from cicadapond.kernel import Clock

# No server gets a request any more that has crashed so many.
CRASH_LIMIT = 3
REMEMBERED = datetime.timedelta(seconds=120)
# Connections of one crash break within so long of each other.
SAME_CRASH = datetime.timedelta(milliseconds=1500)


@attrs.frozen
class _Break:
    fingerprint: str
    at: datetime.timedelta


@attrs.define
class _Suspect:
    crashes: int
    until: datetime.timedelta


class CrashBook:
    """Counts crashes by what was asked.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._breaks: dict[str, list[_Break]] = {}
        self._suspects: dict[str, _Suspect] = {}
        self._others: dict[str, typing.Mapping[str, int]] = {}

    def is_contained(self, fingerprint: str) -> bool:
        """Returns whether a request with this fingerprint is not to be sent any more."""
        if not self._suspects and not any(self._others.values()):
            return False
        self._expire()
        own = self._suspects.get(fingerprint)
        total = own.crashes if own is not None else 0
        total += sum(counts.get(fingerprint, 0) for counts in self._others.values())
        return total >= CRASH_LIMIT

    def broke(self, fingerprint: str, server: str) -> None:
        """Notes that a request's connection broke before its answer was whole."""
        self._breaks.setdefault(server, []).append(_Break(fingerprint, self._clock.monotonic()))

    def went_down(self, server: str) -> tuple[str, ...]:
        """Notes that a server is down; returns the requests that are suspected for it."""
        now = self._clock.monotonic()
        found = self._breaks.pop(server, [])
        recent = {entry.fingerprint for entry in found if now - entry.at <= SAME_CRASH}
        for fingerprint in recent:
            crashes = self._suspects[fingerprint].crashes if fingerprint in self._suspects else 0
            self._suspects[fingerprint] = _Suspect(crashes + 1, now + REMEMBERED)
        return tuple(sorted(recent))

    def stayed_up(self, server: str) -> None:
        """Notes that a server still accepts connections: what broke there was no crash."""
        self._breaks.pop(server, None)

    def answered(self, fingerprint: str) -> None:
        """Notes a whole answer, which clears a request."""
        self._suspects.pop(fingerprint, None)

    def counts(self) -> dict[str, int]:
        """Returns the crashes that this process saw, for the others."""
        self._expire()
        return {fingerprint: found.crashes for fingerprint, found in self._suspects.items()}

    def hear(self, process: str, counts: typing.Mapping[str, int]) -> None:
        """Takes the crashes that another process saw."""
        self._others[process] = counts

    def _expire(self):
        now = self._clock.monotonic()
        for fingerprint in [key for key, found in self._suspects.items() if found.until <= now]:
            del self._suspects[fingerprint]


def fingerprint_of(req: CallerRequest, account: str | None) -> str:
    """Returns what a request is known by under any id: its path, client account and body."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method.encode(), req.target, (account or "").encode(), req.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
