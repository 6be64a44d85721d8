"""Randomised soak test: gateway processes on loopback, with faults injected from outside."""

from cicadapond.soak._checks import check
from cicadapond.soak._plan import Fault, Injection, SoakSettings, make_plan
from cicadapond.soak._records import CallRecord, History, Violation
from cicadapond.soak._run import run_soak

__all__ = [
    "CallRecord",
    "Fault",
    "History",
    "Injection",
    "SoakSettings",
    "Violation",
    "check",
    "make_plan",
    "run_soak",
]
