"""Settings of the journal."""

import datetime

import attrs

from cicadapond.kernel import at_least, setting

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class JournalSettings:
    """How durable requests are written, adopted and removed.

    The rates are budgets for all processes together, which share them equally.

    Attributes:
      group_interval: How long accepted requests are collected into one transaction.
      checkpoint_interval: The time between two writes of progress by one process, longer if
        `writes_per_second` requires it; a batch for a new request is written earlier and includes
        the progress so far.
      writes_per_second: The maximum rate of progress writes of all processes together.
      scans_per_second: The maximum rate of scans for dead owners by all processes together.
      adopt_interval: The minimum time between two scans for dead owners by one process.
      silent_intervals: An owner is considered dead after this many of its own write intervals
        without a write.
      adopt_batch: The maximum number of requests that a process adopts per scan.
      accept_limit: How long a caller waits at most for its request to become durable.
      first_backoff: The initial delay before a request that was not run is tried again.
      longest_backoff: The maximum delay before such a retry.
      max_running: The maximum number of durable requests that a process runs at a time.
      max_open: The maximum number of unfinished durable requests that a process owns.
      value_limit: The maximum size of the tokens in a row, in characters; longer lists go to the
        object store, if there is one.
      poll_interval: The time between two reads of a request that another process runs, while its
        tokens are streamed from here.
      sweep_interval: The time between two sweeps for expired requests by one process.
      sweep_page: The number of rows read per sweep.
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

    def write_interval(self, process_count: int) -> datetime.timedelta:
        """Returns the time between two writes of one process.

        Args:
          process_count: The number of processes that share `writes_per_second`.
        """
        share = datetime.timedelta(seconds=process_count / self.writes_per_second)
        return max(self.checkpoint_interval, share)

    def scan_interval(self, process_count: int) -> datetime.timedelta:
        """Returns the time between two scans for dead owners by one process.

        Args:
          process_count: The number of processes that share `scans_per_second`.
        """
        share = datetime.timedelta(seconds=process_count / self.scans_per_second)
        return max(self.adopt_interval, share)
