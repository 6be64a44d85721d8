"""Settings of the ledger."""

import datetime

import attrs

from cicadapond.kernel import at_least, setting

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class LedgerSettings:
    """Settings for keyed calls, that is calls with an idempotency key.

    Attributes:
      group_interval: How long rows are collected for one transaction.
      group_limit: Maximum number of rows in one transaction.
      call_limit: Time limit of a call without a deadline.
      first_wait: The first wait before a row is read again; it doubles each time.
      longest_wait: Upper bound of that wait, and the default Retry-After of a call that cannot be
        run or whose outcome cannot be read yet.
      grace: How long after an attempt's deadline its row still counts as in progress, to allow
        for clock differences between hosts.
      settle_limit: How long an attempt keeps trying to record its outcome.
      row_term: How long a row is kept after its outcome was recorded, else after the call's
        deadline.
      answer_limit: The largest body in bytes that is stored in the row itself.
      remembered: How many sent keys a process remembers, for use while the table service is
        unavailable.
      sweep_interval: Interval between scans for expired rows.
      sweep_page: Number of rows read per scan.
    """

    group_interval: datetime.timedelta = 5 * _MILLISECOND
    group_limit: int = setting(default=64, check=at_least(1))
    call_limit: datetime.timedelta = 10 * _SECOND
    first_wait: datetime.timedelta = 50 * _MILLISECOND
    longest_wait: datetime.timedelta = 1 * _SECOND
    grace: datetime.timedelta = 2 * _SECOND
    settle_limit: datetime.timedelta = 300 * _SECOND
    row_term: datetime.timedelta = datetime.timedelta(days=1)
    answer_limit: int = setting(default=16_384, check=at_least(0))
    remembered: int = setting(default=10_000, check=at_least(0))
    sweep_interval: datetime.timedelta = 60 * _SECOND
    sweep_page: int = setting(default=200, check=at_least(1))
