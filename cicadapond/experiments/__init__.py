"""Experiments: each module measures one decision against its baselines and prints one table.

A module registers its experiment by name; `cicadapond-load experiment NAME` runs it.
"""

from cicadapond.experiments._table import Experiment, Table, experiments

__all__ = ["Experiment", "Table", "experiments"]
