"""How many servers of a service are ordered in each data centre; no I/O.

On-demand servers stay when a data centre takes its reclaimable ones away, so a base of them
carries what must go on; reclaimable ones are cheap and carry the rest.
"""

import typing

from cicadapond.gateway import ServerOrder
from cicadapond.gateway.data import Service

BASE_PER_ZONE = 1
RECLAIMABLE_PER_ZONE = 2


def plan_orders(service: Service, zones: typing.Sequence[str]) -> list[ServerOrder]:
    """Returns the orders that should be in force for a service.

    Args:
      service: The service, with its bounds.
      zones: The data centres where it runs.
    """
    scaling = service.scaling
    if scaling is None:
        return []
    orders = []
    for zone in zones:
        base = min(scaling.maximum, max(scaling.minimum, BASE_PER_ZONE))
        cheap = min(scaling.maximum - base, RECLAIMABLE_PER_ZONE)
        orders.append(ServerOrder(service.name, zone, True, cheap))
        orders.append(ServerOrder(service.name, zone, False, base))
    return orders
