"""Which backend servers are leaving, and when one may stop: numbers, acknowledgements, counts."""

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
