"""Errors in settings and documents, collected with their positions and reported together."""

import attrs


@attrs.frozen
class Place:
    """A position in a text; lines and columns count from 1, 0 means unknown."""

    source: str
    line: int = 0
    column: int = 0

    def __str__(self):
        return f"{self.source}:{self.line}:{self.column}"


@attrs.frozen
class Finding:
    """One error: its position and a message that says what was expected."""

    place: Place
    message: str

    def __str__(self):
        return f"{self.place}: {self.message}"


class Findings:
    """Collects findings, so that all errors are reported at once; iterates in source order."""

    def __init__(self):
        self._findings = []

    def add(self, place: Place, message: str) -> None:
        """Adds one finding."""
        self._findings.append(Finding(place, message))

    def extend(self, findings) -> None:
        """Adds all findings of another collection."""
        self._findings.extend(findings)

    def __iter__(self):
        return iter(sorted(self._findings, key=_source_order))

    def __len__(self):
        return len(self._findings)

    def __bool__(self):
        return bool(self._findings)


def _source_order(finding):
    place = finding.place
    return (place.source, place.line, place.column, finding.message)
