"""Durations that double with each failure in a row, up to a limit."""

import datetime


def doubled(
    first: datetime.timedelta, doublings: int, longest: datetime.timedelta
) -> datetime.timedelta:
    """Returns a duration that was doubled a number of times, at most `longest`.

    The number may be any count that grows: the power is bounded before it is computed, as a
    `datetime.timedelta` of more than 10**9 days raises OverflowError.

    Args:
      first: The duration before the first doubling; zero stays zero.
      doublings: How often it was doubled, 0 or more.
      longest: The upper limit.
    """
    if not first:
        return first
    enough = max(0, longest // first).bit_length()
    return min(longest, first * 2 ** min(doublings, enough))
