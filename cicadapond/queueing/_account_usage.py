"""The engine work that each client account was given lately, for fairness among them; no I/O."""

import datetime

import attrs

# Work counts half after this time.  A process sees few requests a second, so that shares taken over
# a shorter time say little.
USAGE_HALF_LIFE = datetime.timedelta(seconds=3)
# An account with more than this multiple of a fair share is delayed first, by at most this factor.
FAIR_SHARE_SLACK = 1.5
MAX_EXCESS = 6.0
# Accounts with less recent work than this many milliseconds are forgotten.
MIN_USAGE_MS = 0.5


@attrs.define
class _Usage:
    work_ms: float
    at: datetime.timedelta


class AccountUsage:
    """Recent work by account; one that was given less comes first."""

    def __init__(self):
        self._usage: dict[str, _Usage] = {}

    def add(self, account: str, work_ms: float, now: datetime.timedelta) -> None:
        """Counts work that an account was given."""
        self._usage[account] = _Usage(self.recent_ms(account, now) + work_ms, now)
        if len(self._usage) > 64:
            self._forget(now)

    def recent_ms(self, account: str, now: datetime.timedelta) -> float:
        """Returns the recent work of an account in milliseconds, weighted by age."""
        found = self._usage.get(account)
        if found is None:
            return 0.0
        return found.work_ms * 0.5 ** ((now - found.at) / USAGE_HALF_LIFE)

    def excess(self, account: str, now: datetime.timedelta) -> float:
        """Returns by what factor an account was given more than its fair share, at least 1."""
        recent = [self.recent_ms(name, now) for name in self._usage]
        active = [work_ms for work_ms in recent if work_ms >= MIN_USAGE_MS]
        if len(active) < 2:
            return 1.0
        fair_ms = FAIR_SHARE_SLACK * sum(active) / len(active)
        return min(MAX_EXCESS, max(1.0, self.recent_ms(account, now) / fair_ms))

    def _forget(self, now):
        for account in [name for name in self._usage if self.recent_ms(name, now) < MIN_USAGE_MS]:
            del self._usage[account]
