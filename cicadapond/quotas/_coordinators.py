"""Which processes grant an account's quota; no I/O.

Each process computes the same order from the same members, so nobody is elected.  Processes that
run for longer come first: one that has just started knows little of what was spent, and many that
are restarted one after the other would each begin with an empty bucket.
"""

import math
import typing

from cicadapond.peer import rank
from cicadapond.serving import ClientAccount

# A coordinator answers about so many processes.
PROCESSES_PER_PART = 40
# A part holds the burst of so many requests at least, so that chance does not empty it.
MIN_REQUESTS_PER_PART = 20
# The share of the processes, the oldest ones, that come before all others.
SENIOR_SHARE = 0.5


def parts_of(account: ClientAccount, processes: int) -> int:
    """Returns into how many parts an account's quota is divided.

    Args:
      account: The account.
      processes: How many processes admit its requests.
    """
    request_units = max(1, account.default_tokens) if account.counts_tokens else 1
    most = int(account.burst / (MIN_REQUESTS_PER_PART * request_units))
    return max(1, min(math.ceil(processes / PROCESSES_PER_PART), most))


def coordinators(account: str, part: int, by_age: typing.Sequence[str]) -> list[str]:
    """Returns the processes in the order in which they are to grant a part of a quota.

    Args:
      account: The name of the account.
      part: The number of the part.
      by_age: The names of the live processes, the one that runs for longest first.
    """
    seniors = math.ceil(len(by_age) * SENIOR_SHARE)
    key = f"quota {account} {part}"
    return rank(key, by_age[:seniors]) + rank(key, by_age[seniors:])
