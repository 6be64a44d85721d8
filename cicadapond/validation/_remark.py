"""What a check says of one entry of a configuration."""

import enum

import attrs


class Severity(enum.Enum):
    """Whether an entry cannot work as written, or probably is not what was meant."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Remark:
    """A remark on one entry; `place` is its path in the configuration, such as `routes[2]`."""

    severity: Severity
    place: str
    message: str

    def __str__(self):
        return f"{self.place}: {self.severity.value}: {self.message}"


def error(place: str, message: str) -> Remark:
    """Returns a remark on an entry that cannot work as written."""
    return Remark(Severity.ERROR, place, message)


def warning(place: str, message: str) -> Remark:
    """Returns a remark on an entry that probably is not what was meant."""
    return Remark(Severity.WARNING, place, message)
