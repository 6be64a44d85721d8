"""Traffic between data centres: what it costs a request to leave its own, and how many may."""

from cicadapond.zones._costs import ZoneCosts
from cicadapond.zones._flows import ZoneLoad, plan_shares

__all__ = ["ZoneCosts", "ZoneLoad", "plan_shares"]
