"""Checks of an operators' configuration before it is sent, and what it changes; no I/O."""

from cicadapond.validation._check import check_configuration
from cicadapond.validation._differences import Difference, differences
from cicadapond.validation._remark import Remark, Severity

__all__ = ["Difference", "Remark", "Severity", "check_configuration", "differences"]
