"""Open-loop load generator, and reports as mergeable HDR histograms."""

from cicadapond.load._arrivals import Arrivals, arrivals
from cicadapond.load._mix import CallSpec, Mix, mixes
from cicadapond.load._report import LoadReportFile, merge_reports

__all__ = ["Arrivals", "CallSpec", "LoadReportFile", "Mix", "arrivals", "merge_reports", "mixes"]
