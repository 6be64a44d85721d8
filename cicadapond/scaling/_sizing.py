"""How many engines serve a demand so that prompts begin within their objective; no I/O.

Load condition: a steady demand whose prompts arrive at random.  The utilisation that callers can
bear depends on how many engines share the work: at 0.9 a single engine has a long queue, while some
of ten engines are free at nearly any time.
"""

import datetime
import math

import attrs

from cicadapond.scaling._demand import Demand, PromptTimes

# The share of prompts that may wait longer than the objective leaves room for.
LATE_SHARE = 0.01
# Engines share their work as if this many of them had one queue: each of many processes compares a
# few engines, and by information that is some 100 ms old.  One queue for all would be too
# optimistic, as would four for services with few engines, which have a queue for all.
POOLED_ENGINES = 4
# The share of the objective that is left for the prompt's own prefill, transport and engine steps,
# if its prefill takes less.
RESERVED_SHARE = 0.25


@attrs.frozen
class Waiting:
    """What decides how long prompts wait for an engine.

    Attributes:
      objective: The shortest objective of the routes of the service.
      slots: The requests that an engine runs at once.
      prompts: The prefill times, None if few prompts were seen lately.
      stay_s: The mean time for which a request occupies a slot, in seconds, None if unknown.
    """

    objective: datetime.timedelta
    slots: int
    prompts: PromptTimes | None = None
    stay_s: float | None = None

    def servers_for(self, demand: Demand) -> int:
        """Returns how many engines begin nearly all prompts within the objective.

        These are the fewest at which at most the share LATE_SHARE waits longer, for the prefill of
        other prompts or for a slot.
        """
        count = max(1, math.ceil(demand.prefill), math.ceil(demand.batches))
        while not self._is_enough(count, demand):
            count += 1
        return count

    def _is_enough(self, count, demand):
        pooled = min(count, POOLED_ENGINES)
        share = pooled / count
        objective_s = self.objective.total_seconds()
        # Without any prompt, the times are those at which the objective is just sensible.
        prompts = self.prompts or PromptTimes(objective_s / 8, 1.0)
        room_s = objective_s - max(prompts.mean_s, RESERVED_SHARE * objective_s)
        # A single prompt that takes longer than the objective is late wherever it is sent.
        room_s = max(room_s, RESERVED_SHARE * objective_s)
        prefill = _late_share(pooled, demand.prefill * share, prompts, room_s)
        stays = PromptTimes(self.stay_s, 1.0) if self.stay_s else None
        slots = _late_share(pooled * self.slots, demand.batches * share * self.slots, stays, room_s)
        return max(prefill, slots) <= LATE_SHARE


def _late_share(servers, offered, times, room_s):
    """Returns the share of requests that wait for longer than there is room for.

    This is the approximation for a queue of several servers and any distribution of the times for
    which they are occupied: the wait is that with exponential times, scaled by the variation, and
    falls off exponentially.  Without the times, it is the share that waits at all.
    """
    if offered >= servers:
        return 1.0
    share = _waiting_share(servers, offered)
    if times is None:
        return share
    scale_s = times.mean_s * (1.0 + times.variation) / 2 / (servers - offered)
    return share * math.exp(-room_s / scale_s)


def _waiting_share(servers, offered):
    """Returns the share that waits at all for one of several servers (Erlang C)."""
    blocked = 1.0
    for count in range(1, servers + 1):
        blocked = offered * blocked / (count + offered * blocked)
    return blocked / (1.0 - offered / servers * (1.0 - blocked))
