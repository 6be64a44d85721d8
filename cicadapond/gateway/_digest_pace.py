"""How often a process tells the others of itself, and how much of its link that may take."""

import datetime
import math

# Digests are published at the maximum interval, and sooner after a change, but never below the
# minimum interval.  Both grow with the number of processes of the data centre, so that its hubs
# receive at most about 80 digests a second while nothing changes.
MAX_DIGEST_INTERVAL = datetime.timedelta(milliseconds=400)
MIN_DIGEST_INTERVAL = datetime.timedelta(milliseconds=10)
MAX_DIGEST_INTERVAL_PER_PROCESS = datetime.timedelta(milliseconds=13)
MIN_DIGEST_INTERVAL_PER_PROCESS = datetime.timedelta(milliseconds=3)
# The share of the machine's link for updates to the other processes; requests need the rest, also
# on the hubs, which send each update to all processes of their data centre.
UPDATE_LINK_SHARE = 0.25
BYTES_PER_MEGABIT = 125_000
# The shares of a hub's updates that may tell what engines keep, and which prompt parts requests
# share.  Both change all the time under load; on a slow link the rest would wait for them.
HELD_PARTS_SHARE = 0.2
SHARED_PARTS_SHARE = 0.1


def digest_intervals(neighbours: int) -> tuple[datetime.timedelta, datetime.timedelta]:
    """Returns the minimum and the maximum time between two digests of a process.

    Args:
      neighbours: How many processes of a data centre send digests to its hubs.
    """
    shortest = max(MIN_DIGEST_INTERVAL, neighbours * MIN_DIGEST_INTERVAL_PER_PROCESS)
    longest = max(MAX_DIGEST_INTERVAL, neighbours * MAX_DIGEST_INTERVAL_PER_PROCESS)
    return shortest, longest


def update_rate(link_mbps: float) -> float:
    """Returns the bytes of updates that a process may send in a second, 0 for no limit.

    Args:
      link_mbps: The bandwidth of its link in megabits per second, 0 if it is not known.
    """
    return UPDATE_LINK_SHARE * BYTES_PER_MEGABIT * link_mbps


def held_parts_rate(link_mbps: float, neighbours: int) -> float:
    """Returns the bytes a second in which a process may be told what engines keep.

    Args:
      link_mbps: The bandwidth of a hub's link in megabits per second, 0 if it is not known.
      neighbours: How many processes a hub sends them to.
    """
    return HELD_PARTS_SHARE * _rate_per_process(link_mbps, neighbours)


def shared_parts_rate(link_mbps: float, neighbours: int, zones: int) -> float:
    """Returns the bytes a second in which a data centre may tell of shared prompt parts.

    Args:
      link_mbps: The bandwidth of a hub's link in megabits per second, 0 if it is not known.
      neighbours: How many processes a hub sends them to.
      zones: How many data centres tell of them.
    """
    return SHARED_PARTS_SHARE * _rate_per_process(link_mbps, neighbours) / max(1, zones)


def _rate_per_process(link_mbps, neighbours):
    return update_rate(link_mbps) / max(1, neighbours) if link_mbps else math.inf
