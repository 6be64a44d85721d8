"""Plans how many servers of which kind are ordered in each data centre."""

from cicadapond.scaling._demand import DemandMeter
from cicadapond.scaling._planner import CapacityPlanner

__all__ = ["CapacityPlanner", "DemandMeter"]
