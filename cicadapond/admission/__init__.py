"""Admission control: which requests get a slot of a pool, in which order, and which are refused.

The policies do no I/O: they take tickets and the time, and return decisions.  `AdmissionGate` is
the asyncio side, where requests wait for a slot.
"""

from cicadapond.admission._api import (
    AdmissionPolicy,
    Admitted,
    Decision,
    Refused,
    Ticket,
    admission_policies,
)
from cicadapond.admission._budget import RetryBudget, full_jitter
from cicadapond.admission._capacity import CapacitySettings, pool_slots
from cicadapond.admission._fair import FairAdmission
from cicadapond.admission._fifo import FifoAdmission
from cicadapond.admission._gate import AdmissionGate, Permit

__all__ = [
    "AdmissionGate",
    "AdmissionPolicy",
    "Admitted",
    "CapacitySettings",
    "Decision",
    "FairAdmission",
    "FifoAdmission",
    "Permit",
    "Refused",
    "RetryBudget",
    "Ticket",
    "admission_policies",
    "full_jitter",
    "pool_slots",
]
