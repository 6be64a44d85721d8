"""Scenarios: load and faults written in a small language, run on virtual time with a seed."""

from cicadapond.scenario._invariants import INVARIANTS, check_invariants
from cicadapond.scenario._observation import Record
from cicadapond.scenario._parser import parse_scenario
from cicadapond.scenario._script import Script

__all__ = ["INVARIANTS", "Record", "Script", "check_invariants", "parse_scenario"]
