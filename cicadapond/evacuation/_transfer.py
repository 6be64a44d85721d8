"""Estimates how long the memory of a request takes from one engine to another; no I/O.

It handles the load on the links of engines when many processes move streams at the same time: the
time that moves take, with the wait behind those of other processes, is learned from own moves.
"""

import datetime

from cicadapond.serving import MemoryMoves

# Between data centres memory takes this many times as long (platform protocol).
OTHER_ZONE_FACTOR = 2.0
# The time of the call itself, beside the transfer.
CALL_TIME = datetime.timedelta(milliseconds=5)
# The weight of each measured move, and the bounds on the ratio of measured to nominal time.  The
# upper bound is a queue of about that many transfers of other processes.
RATIO_GAIN = 0.3
MIN_RATIO, MAX_RATIO = 0.1, 20.0
_BITS = 8
_MEGA = 1e6


class TransferTimes:
    """The transfer times of one service's engines."""

    def __init__(self):
        self._ratio = 1.0

    def nominal(self, moves: MemoryMoves, tokens: int, same_zone: bool) -> datetime.timedelta:
        """Returns the time of a transfer on idle links.

        Args:
          moves: The size of a token and the bandwidth.
          tokens: How many tokens are copied.
          same_zone: Whether both engines are in one data centre.
        """
        seconds = tokens * moves.token_bytes * _BITS / (moves.bandwidth_mbps * _MEGA)
        return datetime.timedelta(seconds=seconds * (1.0 if same_zone else OTHER_ZONE_FACTOR))

    def expected(self, nominal: datetime.timedelta) -> datetime.timedelta:
        """Returns the expected duration of a move with the given nominal transfer time."""
        return CALL_TIME + self._ratio * nominal

    def observe(self, nominal: datetime.timedelta, took: datetime.timedelta) -> None:
        """Learns from a move that succeeded."""
        transfer = max(datetime.timedelta(), took - CALL_TIME)
        if nominal > datetime.timedelta():
            ratio = min(MAX_RATIO, max(MIN_RATIO, transfer / nominal))
            self._ratio += RATIO_GAIN * (ratio - self._ratio)
