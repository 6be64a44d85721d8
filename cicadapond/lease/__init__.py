"""Leases: one active holder per name, kept in the platform's table service."""

from cicadapond.lease._keeper import Grant, LeaseKeeper, LeaseSettings
from cicadapond.lease._task import LeaseTask

__all__ = ["Grant", "LeaseKeeper", "LeaseSettings", "LeaseTask"]
