"""Settings of the journal."""

import datetime

import attrs

from cicadapond.kernel import at_least, setting

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class JournalSettings:
    """How durable requests are kept.

    Attributes:
      group_interval: How long accepted requests are collected for one transaction.
      checkpoint_interval: The shortest time between two writes of progress.
      writes_per_second: What the progress of all processes together may cost.
      scans_per_second: What looking for dead owners may cost all processes together.
      adopt_interval: The shortest time between two looks for dead owners.
      silent_intervals: After how many of its intervals without a write an owner counts as dead.
      adopt_batch: How many requests a process takes over at a time.
      accept_limit: How long a caller waits until its request is durable.
      first_backoff: The first wait before a request that was not run is run again.
      longest_backoff: The longest such wait.
      max_running: How many durable requests a process runs at a time.
      max_open: How many durable requests a process has taken on at most.
      value_limit: The most bytes of tokens that are kept in a row.
      poll_interval: How often a stream of another process's request looks for tokens.
      sweep_interval: How often a process looks for expired requests.
      sweep_page: How many it looks at each time.
    """

    group_interval: datetime.timedelta = 5 * _MILLISECOND
    checkpoint_interval: datetime.timedelta = 1 * _SECOND
    writes_per_second: float = setting(default=100.0, check=at_least(0.1))
    scans_per_second: float = setting(default=50.0, check=at_least(0.1))
    adopt_interval: datetime.timedelta = 2 * _SECOND
    silent_intervals: int = setting(default=5, check=at_least(2))
    adopt_batch: int = setting(default=16, check=at_least(1))
    accept_limit: datetime.timedelta = 5 * _SECOND
    first_backoff: datetime.timedelta = 200 * _MILLISECOND
    longest_backoff: datetime.timedelta = 10 * _SECOND
    max_running: int = setting(default=64, check=at_least(1))
    max_open: int = setting(default=1024, check=at_least(1))
    value_limit: int = setting(default=65_536, check=at_least(1))
    poll_interval: datetime.timedelta = 500 * _MILLISECOND
    sweep_interval: datetime.timedelta = 300 * _SECOND
    sweep_page: int = setting(default=200, check=at_least(1))

    def interval(self, processes: int) -> datetime.timedelta:
        """Returns the time between a process's writes in a fleet of so many."""
        share = datetime.timedelta(seconds=processes / self.writes_per_second)
        return max(self.checkpoint_interval, share)

    def adopt_pause(self, processes: int) -> datetime.timedelta:
        """Returns the time between a process's looks for dead owners."""
        share = datetime.timedelta(seconds=processes / self.scans_per_second)
        return max(self.adopt_interval, share)
