"""Scaling: plans from demand how many servers of which kind each data centre orders.

The gateway uses this planner, the controller the one in `capacity`.
"""

from cicadapond.scaling._demand import Demand, DemandMeter, PromptTimes, total
from cicadapond.scaling._history import DemandHistory
from cicadapond.scaling._order_book import Due, Listed, OrderBook, Outcome
from cicadapond.scaling._planner import Basis, CapacityPlanner, PlanInputs
from cicadapond.scaling._sizing import Waiting

__all__ = [
    "Basis",
    "CapacityPlanner",
    "Demand",
    "DemandHistory",
    "DemandMeter",
    "Due",
    "Listed",
    "OrderBook",
    "Outcome",
    "PlanInputs",
    "PromptTimes",
    "Waiting",
    "total",
]
