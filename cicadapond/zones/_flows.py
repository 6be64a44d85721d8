"""Which share of a data centre's requests is served in others; no I/O.

Load condition: demand is uneven between data centres and moves, or one has lost its servers.  The
shares follow from the callers' demand and from the servers, neither of which depends on where
requests are sent.  So a decision does not feed back into its own inputs, which could oscillate, and
all processes that know the same come to the same shares.
"""

import typing

import attrs

# A data centre whose callers use up more than the first share of its capacity sends requests
# elsewhere, until they use up less than the second.  Prompts wait for each other well below 1.
BEGIN_UTILISATION = 0.6
END_UTILISATION = 0.5
# The most that a data centre takes from others, as a share of its capacity.
MAX_TAKEN_SHARE = 0.5


@attrs.frozen
class ZoneLoad:
    """The load of a data centre, in servers that are fully busy.

    `demand` is what the requests of its callers need, wherever they are served; `capacity` is the
    number of its servers that take requests.
    """

    demand: float
    capacity: float


def plan_shares(
    loads: typing.Mapping[str, ZoneLoad], sending: typing.Container[str] = ()
) -> dict[tuple[str, str], float]:
    """Returns which share of the requests of one data centre is to be served in another.

    Args:
      loads: The load of each data centre.
      sending: The data centres that send requests elsewhere already.

    Returns:
      By data centre of the callers and of the servers, the share in (0, 1]; others are 0.
    """
    demand = sum(load.demand for load in loads.values())
    capacity = sum(load.capacity for load in loads.values())
    if demand <= 0.0 or capacity <= 0.0:
        return {}
    # If all are overloaded together, all are overloaded alike.
    level = demand / capacity
    excess, spare = {}, {}
    for zone, load in loads.items():
        kept = max(level, END_UTILISATION if zone in sending else BEGIN_UTILISATION)
        if load.demand > kept * load.capacity:
            excess[zone] = load.demand - max(level, END_UTILISATION) * load.capacity
        elif load.capacity:
            taken = max(level, BEGIN_UTILISATION) * load.capacity - load.demand
            spare[zone] = max(0.0, min(taken, MAX_TAKEN_SHARE * load.capacity))
    total_excess, total_spare = sum(excess.values()), sum(spare.values())
    if total_excess <= 0.0 or total_spare <= 0.0:
        return {}
    served = min(1.0, total_spare / total_excess)
    return {
        (zone, other): min(1.0, part / loads[zone].demand) * served * room / total_spare
        for zone, part in excess.items()
        for other, room in spare.items()
        if part > 0.0 and room > 0.0
    }
