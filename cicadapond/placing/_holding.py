"""When a request that will be late anyway lets others go first; no I/O.

For a load that is over what the engines read for some seconds, as while reclaimed engines are being
replaced.  A prompt that is sent although its answer cannot begin within its objective makes those
behind it late too.  Held for a moment it loses nothing more, and those that can still be in time
go first.  The longer it has been held, the longer a queue it accepts, so that held requests leave
one after the other, the oldest first, and none is held for more than a part of its time.
"""

import datetime

# The queue that a request accepts at once, and at the end of its longest hold, in objectives.
FIRST_ACCEPTED = 1.0
LAST_ACCEPTED = 4.0
# The longest hold, as a part of the request's time; callers give up streams that do not begin.
HOLD_SHARE = 0.3
LONGEST_HOLD = datetime.timedelta(milliseconds=1200)


def should_hold(
    expected: datetime.timedelta,
    objective: datetime.timedelta,
    held: datetime.timedelta,
    limit: datetime.timedelta,
) -> bool:
    """Returns whether a request should wait a moment before it is sent.

    Args:
      expected: How long its answer would take to begin if it were sent now.
      objective: The time within which its answer should have begun since it came.
      held: For how long it has been held already.
      limit: The whole time that the request has.
    """
    longest = min(LONGEST_HOLD, HOLD_SHARE * limit)
    if held >= longest:
        return False
    accepted = FIRST_ACCEPTED + (LAST_ACCEPTED - FIRST_ACCEPTED) * (held / longest)
    return expected > accepted * objective
