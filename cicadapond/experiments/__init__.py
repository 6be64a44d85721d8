"""Experiments: each module compares one design decision with its baselines and returns tables.

A module registers its experiment by name; `cicadapond-load experiment NAME` runs it.
"""

from cicadapond.experiments._table import Experiment, Table, experiments

__all__ = ["Experiment", "Table", "experiments"]
