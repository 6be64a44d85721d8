"""Counters, gauges and HDR histograms of one process, exposed in Prometheus's text format."""

import collections
import datetime

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES_PERCENT = (50, 90, 95, 99, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECOND = datetime.timedelta(microseconds=1)


class Metrics:
    """The metrics of one process.

    Names are in snake case; labels are keyword arguments, each with few distinct values.
    """

    def __init__(self):
        self._counters = collections.Counter()
        self._gauges = {}
        self._histograms = {}

    def count(self, name: str, amount: int = 1, **labels) -> None:
        """Adds to a counter."""
        self._counters[_series(name, labels)] += amount

    def counter(self, name: str, **labels) -> int:
        """Returns a counter's value, 0 if it was never incremented."""
        return self._counters[_series(name, labels)]

    def total(self, name: str) -> int:
        """Returns a counter's sum over all its labels."""
        return sum(
            value for (series_name, _), value in self._counters.items() if series_name == name
        )

    def gauge(self, name: str, value: float, **labels) -> None:
        """Sets a gauge."""
        self._gauges[_series(name, labels)] = value

    def record(self, name: str, duration: datetime.timedelta, **labels) -> None:
        """Records a duration in a histogram, in microseconds, limited to one hour."""
        self.histogram(name, **labels).record_value(
            min(max(duration // _MICROSECOND, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )

    def histogram(self, name: str, **labels) -> HdrHistogram:
        """Returns a histogram, in microseconds; it is created on first use."""
        series = _series(name, labels)
        if series not in self._histograms:
            self._histograms[series] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return self._histograms[series]

    def exposition(self) -> str:
        """Returns all series in the Prometheus text exposition format, durations in seconds."""
        lines = []
        for kind, series_values in (("counter", self._counters), ("gauge", self._gauges)):
            lines.extend(_value_lines(kind, series_values))
        previous = None
        for (name, labels), histogram in sorted(self._histograms.items()):
            if name != previous:
                lines.append(f"# TYPE cicadapond_{name}_seconds summary")
                previous = name
            lines.extend(_summary_lines(name, labels, histogram))
        return "\n".join(lines) + "\n"


def _series(name, labels):
    return (name, tuple(sorted(labels.items()))) if labels else (name, ())


def _labels_text(labels):
    pairs = ",".join(f'{key}="{value}"' for key, value in labels)
    return f"{{{pairs}}}" if pairs else ""


def _value_lines(kind, series_values):
    previous = None
    for (name, labels), value in sorted(series_values.items()):
        if name != previous:
            yield f"# TYPE cicadapond_{name} {kind}"
            previous = name
        yield f"cicadapond_{name}{_labels_text(labels)} {value}"


def _summary_lines(name, labels, histogram):
    for percent in QUANTILES_PERCENT:
        quantile = (*labels, ("quantile", percent / 100))
        seconds = histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_SECOND
        yield f"cicadapond_{name}_seconds{_labels_text(quantile)} {seconds}"
    yield f"cicadapond_{name}_seconds_count{_labels_text(labels)} {histogram.get_total_count()}"
