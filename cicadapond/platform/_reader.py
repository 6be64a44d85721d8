"""Reads fields of decoded JSON with type checks; errors are recorded as findings."""

import datetime
import ipaddress

from cicadapond.data import Endpoint
from cicadapond.kernel import Findings, Place

_MISSING = object()
# Larger numbers are no count, size or time of anything, and cannot be calculated with safely.
MAX_NUMBER = 2**53
MAX_DURATION = datetime.timedelta(days=36500)


class UnreadableError(Exception):
    """A field is missing or has the wrong type; the finding has been recorded."""


class Reader:
    """A JSON object and its source.

    Args:
      value: The decoded value.
      source: The location that findings name, such as a row's name and the path in it.
      findings: Receives the errors.
    """

    def __init__(self, value, source: str, findings: Findings):
        self._value = value
        self._source = source
        self._findings = findings
        if not isinstance(value, dict):
            self._fail("is not an object")

    def text(self, name: str, default=_MISSING) -> str:
        """Returns a string that can be encoded."""
        value = self._get(name, str, default)
        if value is not default and not is_encodable(value):
            self._fail(f"{name!r} cannot be encoded")
        return value

    def flag(self, name: str, default=_MISSING) -> bool:
        """Returns a Boolean."""
        return self._get(name, bool, default)

    def integer(self, name: str, default=_MISSING) -> int:
        """Returns an integer; accepts a float without a fraction."""
        value = self._number(name, default)
        if isinstance(value, float) and not value.is_integer():
            self._fail(f"{name!r} is not an integer")
        return value if value is default else int(value)

    def number(self, name: str, default=_MISSING) -> float:
        """Returns a number."""
        value = self._number(name, default)
        return value if value is default else float(value)

    def milliseconds(self, name: str, default=_MISSING) -> datetime.timedelta:
        """Returns a duration that is given in milliseconds."""
        return self._duration(name, datetime.timedelta(milliseconds=1), default)

    def seconds(self, name: str, default=_MISSING) -> datetime.timedelta:
        """Returns a duration that is given in seconds."""
        return self._duration(name, datetime.timedelta(seconds=1), default)

    def endpoint(self, name: str) -> Endpoint:
        """Returns an address of the form IP:PORT."""
        endpoint = parse_endpoint(self.text(name))
        if endpoint is None:
            self._fail(f"{name!r} is not of the form IP:PORT")
        return endpoint

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns a list of strings as a tuple."""
        values = self._get(name, list, _MISSING)
        if not all(isinstance(value, str) for value in values):
            self._fail(f"{name!r} has elements that are not strings")
        if not all(map(is_encodable, values)):
            self._fail(f"{name!r} has elements that cannot be encoded")
        return tuple(values)

    def numbers(self, name: str) -> dict[str, float]:
        """Returns an object whose values are numbers."""
        values = self._get(name, dict, _MISSING)
        if not all(_is_number(value) and _is_in_range(value) for value in values.values()):
            self._fail(f"{name!r} has values that are not numbers, or out of range")
        return {key: float(value) for key, value in values.items()}

    def inner(self, name: str) -> "Reader":
        """Returns a reader of a nested object."""
        self._get(name, dict, _MISSING)
        return Reader(self._value[name], f"{self._source}.{name}", self._findings)

    def list_of(self, name: str) -> list["Reader"]:
        """Returns a reader for each object of a list."""
        values = self._get(name, list, _MISSING)
        return [
            Reader(value, f"{self._source}.{name}[{index}]", self._findings)
            for index, value in enumerate(values)
        ]

    def has(self, name: str) -> bool:
        """Returns whether a field is present and not null."""
        return self._value.get(name) is not None

    def fail(self, message: str):
        """Records a finding about this object.

        Raises:
          UnreadableError: always.
        """
        self._fail(message)

    def _duration(self, name, unit, default):
        value = self._number(name, default)
        if value is default:
            return value
        if abs(value) > MAX_DURATION / unit:
            self._fail(f"{name!r} is out of range")
        return value * unit

    def _number(self, name, default):
        if name not in self._value and default is not _MISSING:
            return default
        value = self._get(name, (int, float), default)
        if not _is_number(value):
            self._fail(f"{name!r} is not a number")
        if not _is_in_range(value):
            self._fail(f"{name!r} is out of range")
        return value

    def _get(self, name, kind, default):
        value = self._value.get(name, default)
        if value is _MISSING:
            self._fail(f"{name!r} is missing")
        if value is not default and not isinstance(value, kind):
            self._fail(f"{name!r} has the wrong type, {type(value).__name__}")
        return value

    def _fail(self, message):
        self._findings.add(Place(self._source), message)
        raise UnreadableError(message)


def parse_endpoint(text: str) -> Endpoint | None:
    """Returns the address in a text of the form IP:PORT, or None if it has another form."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return Endpoint(host, int(port))


def is_encodable(text: str) -> bool:
    """Returns whether a text can be sent, which one with half a surrogate pair cannot."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_in_range(value):
    return abs(value) <= MAX_NUMBER  # false for NaN


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)
