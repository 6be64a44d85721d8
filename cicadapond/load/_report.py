"""Load reports: outcome counts and HDR histograms by kind of call, stored as JSON.

Histograms from several processes can be merged without loss; averages of percentiles would be
wrong. The idea to merge histograms is from "A Price That Goes Backwards Is a Liability".
"""

import json
import pathlib

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)
MICROSECONDS_PER_MILLISECOND = 1000


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram in microseconds, from 1 us to one hour."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@attrs.define
class LoadReportFile:
    """Result of a load run: outcome counts and histograms in microseconds, by name.

    `outcomes` maps "kind outcome" to a count, `histograms` "kind measure" to a histogram;
    measures are "first" (time to the first byte), "gap" (between chunks of a stream) and "whole"
    (time to the end of a successful answer).
    """

    seconds: float = 0.0
    outcomes: dict[str, int] = attrs.field(factory=dict)
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)

    def count(self, name: str) -> None:
        """Increments the count of an outcome."""
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def record(self, name: str, elapsed_seconds: float) -> None:
        """Records one duration."""
        if name not in self.histograms:
            self.histograms[name] = new_histogram()
        microseconds = int(elapsed_seconds * 1_000_000)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self.histograms[name].record_value(bounded)

    def to_json(self) -> str:
        """Returns the report as JSON, with histograms in the encoding of hdrhistogram."""
        encoded = {name: histogram.encode().decode() for name, histogram in self.histograms.items()}
        fields = {"seconds": self.seconds, "outcomes": self.outcomes, "histograms": encoded}
        return json.dumps(fields, indent=1, sort_keys=True)

    @classmethod
    def from_file(cls, path: str) -> "LoadReportFile":
        """Reads a report.

        Raises:
          OSError, ValueError: If the file cannot be read or is not a report.
        """
        fields = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        decoded = {
            name: HdrHistogram.decode(text.encode()) for name, text in fields["histograms"].items()
        }
        return cls(fields["seconds"], fields["outcomes"], decoded)

    def lines(self) -> list[str]:
        """Returns the report as lines of text, durations in milliseconds."""
        lines = [f"{name:28} {count}" for name, count in sorted(self.outcomes.items())]
        headings = "".join(f"{f'p{percent:g}':>10}" for percent in PERCENTILES)
        lines.append(f"{'milliseconds':28} {'count':>8}{headings}")
        for name, histogram in sorted(self.histograms.items()):
            cells = "".join(f"{_milliseconds(histogram, percent):10.1f}" for percent in PERCENTILES)
            lines.append(f"{name:28} {histogram.get_total_count():8}{cells}")
        return lines


def merge_reports(reports: list[LoadReportFile]) -> LoadReportFile:
    """Returns the merged counts and histograms; `seconds` is that of the longest run."""
    merged = LoadReportFile(seconds=max((report.seconds for report in reports), default=0.0))
    for report in reports:
        for name, count in report.outcomes.items():
            merged.outcomes[name] = merged.outcomes.get(name, 0) + count
        for name, histogram in report.histograms.items():
            merged.histograms.setdefault(name, new_histogram()).add(histogram)
    return merged


def _milliseconds(histogram, percent):
    return histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_MILLISECOND
