"""How often a process checks whether it can take over a duty; no I/O.

Few processes check often, chosen alike by all.  While processes of earlier builds are among them,
which forget after a restore of the store what they did before, any other process may be a candidate
beside, so that the duty does not pass to one of those.
"""

import datetime
import hashlib
import typing

from cicadapond.peer import rank

# By rank.  The candidates are ordered by rendezvous hash, one of each data centre first.
POLL_INTERVALS = tuple(datetime.timedelta(seconds=each) for each in (1, 2, 4, 6, 8))
IDLE_POLL_INTERVAL = datetime.timedelta(seconds=60)
# Shorter than the time for which earlier builds wait beyond the others.
MIXED_POLL_INTERVAL = datetime.timedelta(seconds=2)
# How many candidates there are beside, on average.
MIXED_CANDIDATES = 8


def poll_interval(
    duty: str,
    process: str,
    by_zone: typing.Mapping[str, typing.Sequence[str]],
    restore_followers: int | None,
) -> datetime.timedelta:
    """Returns how often a process checks whether it can take over a duty.

    Args:
      duty: The duty.
      process: The process.
      by_zone: The live processes by data centre.
      restore_followers: How many processes are known to follow restores of the store; None if all
        are.
    """
    first, others = [], []
    for zone in rank(duty, by_zone):
        ranked = rank(duty, by_zone[zone])
        first.append(ranked[0])
        others += ranked[1:]
    ranked = (first + others)[: len(POLL_INTERVALS)]
    interval = IDLE_POLL_INTERVAL
    if process in ranked:
        interval = POLL_INTERVALS[ranked.index(process)]
    if restore_followers is not None and _is_chosen(duty, process, restore_followers):
        interval = min(interval, MIXED_POLL_INTERVAL)
    return interval


def _is_chosen(duty, process, among):
    """Returns whether a process is one of `MIXED_CANDIDATES` in so many, by its hash."""
    score = hashlib.blake2b(f"{duty} {process}".encode(), digest_size=4).digest()
    return int.from_bytes(score) * among < MIXED_CANDIDATES * 2**32
