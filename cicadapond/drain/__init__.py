"""Tracks which backend servers are leaving and decides when a drained one may stop."""

from cicadapond.drain._leaving import LeavingServers, drain_number, is_leaving_number
from cicadapond.drain._stop import DrainSettings, StopDecider, StopDecision

__all__ = [
    "DrainSettings",
    "StopDecider",
    "LeavingServers",
    "StopDecision",
    "drain_number",
    "is_leaving_number",
]
