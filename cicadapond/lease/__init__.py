"""Leases: one active holder per name, kept in the platform's table service."""

from cicadapond.lease._state import Grant, LeaseSettings, LeaseState
from cicadapond.lease._task import LeaseTask

__all__ = ["Grant", "LeaseSettings", "LeaseState", "LeaseTask"]
