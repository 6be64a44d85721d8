"""Scaling: plans from demand how many servers of which kind each data centre orders.

The gateway uses this planner, the controller the one in `capacity`.
"""

from cicadapond.scaling._demand import Demand, DemandMeter
from cicadapond.scaling._planner import CapacityPlanner

__all__ = ["CapacityPlanner", "Demand", "DemandMeter"]
