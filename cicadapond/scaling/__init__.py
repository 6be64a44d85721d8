"""Scaling: how many servers of which kind are ordered where."""

from cicadapond.scaling._planner import plan_orders

__all__ = ["plan_orders"]
