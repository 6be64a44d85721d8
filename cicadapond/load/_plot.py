"""Plots latency by percentile for each histogram of load reports, as PNG or SVG."""

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt

from cicadapond.load._report import LoadReportFile

PERCENTILE_SHARES = (0.0, 0.5, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999)
MICROSECONDS_PER_MILLISECOND = 1000


def plot_reports(reports: dict[str, LoadReportFile], path: str) -> None:
    """Draws the percentiles of every histogram of every report.

    Args:
      reports: Reports by their label in the legend.
      path: The file to write; its extension selects the format.
    """
    figure, axes = plt.subplots(figsize=(9, 5))
    for label, report in reports.items():
        for name, histogram in sorted(report.histograms.items()):
            values = [
                histogram.get_value_at_percentile(100 * share) / MICROSECONDS_PER_MILLISECOND
                for share in PERCENTILE_SHARES
            ]
            axes.plot(
                range(len(PERCENTILE_SHARES)), values, marker="o", label=f"{label} {name}".strip()
            )
    axes.set_xticks(
        range(len(PERCENTILE_SHARES)), [f"{100 * share:g}" for share in PERCENTILE_SHARES]
    )
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds")
    axes.set_yscale("log")
    axes.grid(True, alpha=0.3)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
