"""Findings: errors as data, collected with their place and reported together."""

import attrs


@attrs.frozen
class Place:
    """Where in a text a finding stands; lines and columns count from 1, 0 is unknown."""

    source: str
    line: int = 0
    column: int = 0

    def __str__(self):
        return f"{self.source}:{self.line}:{self.column}"


@attrs.frozen
class Finding:
    """One thing that is wrong, where, and what was expected instead."""

    place: Place
    message: str

    def __str__(self):
        return f"{self.place}: {self.message}"


class Findings:
    """Gathers findings beside a result, so that all are reported at once."""

    def __init__(self):
        self._found = []

    def add(self, place: Place, message: str) -> None:
        """Records one finding."""
        self._found.append(Finding(place, message))

    def extend(self, findings) -> None:
        """Records every finding of another collection."""
        self._found.extend(findings)

    def __iter__(self):
        return iter(sorted(self._found, key=_reading_order))

    def __len__(self):
        return len(self._found)

    def __bool__(self):
        return bool(self._found)


def _reading_order(finding):
    place = finding.place
    return (place.source, place.line, place.column, finding.message)
