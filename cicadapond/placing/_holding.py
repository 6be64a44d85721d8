"""Decides when a request that will miss its objective anyway is held back; no I/O.

This helps while the load exceeds the engines' prefill rate for some seconds, for example while
reclaimed engines are being replaced.  A prompt that is sent although its answer cannot begin within
its objective delays those queued behind it, so that they miss theirs too.  Holding it for a moment
costs it nothing more, and lets requests that can still meet their objective go first.  The longer a
request has been held, the longer a queue it accepts: held requests leave one after the other, the
oldest first, and none is held for more than MAX_HOLD, or more than a share of its time limit.
"""

import datetime

# The expected delay that a request accepts on arrival and at the end of the longest hold, as
# multiples of its objective.
INITIAL_ACCEPTED_DELAY = 1.0
FINAL_ACCEPTED_DELAY = 4.0
# The longest hold, as a share of the request's time limit and in absolute terms; callers give up
# streams that do not begin.
MAX_HOLD_SHARE = 0.3
MAX_HOLD = datetime.timedelta(milliseconds=1200)


def should_hold(
    expected: datetime.timedelta,
    objective: datetime.timedelta,
    held: datetime.timedelta,
    limit: datetime.timedelta,
) -> bool:
    """Returns whether a request should be held for another moment before it is sent.

    Args:
      expected: How long its answer would take to begin if it were sent now.
      objective: The target time from the request's arrival to the beginning of its answer.
      held: How long it has been held already.
      limit: The request's time limit.
    """
    max_hold = min(MAX_HOLD, MAX_HOLD_SHARE * limit)
    if held >= max_hold:
        return False
    accepted = INITIAL_ACCEPTED_DELAY + (FINAL_ACCEPTED_DELAY - INITIAL_ACCEPTED_DELAY) * (
        held / max_hold
    )
    return expected > accepted * objective
