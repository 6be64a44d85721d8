"""Tracks which backend servers are leaving and decides when a drained one may stop."""

from cicadapond.drain._leaving import LeavingBook, drain_number, says_leaving
from cicadapond.drain._stop import DrainSettings, DrainView, StopDecision

__all__ = [
    "DrainSettings",
    "DrainView",
    "LeavingBook",
    "StopDecision",
    "drain_number",
    "says_leaving",
]
