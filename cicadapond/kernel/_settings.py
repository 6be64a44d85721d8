"""Validated settings: converts JSON with comments to attrs classes and locates every finding.

The same code reads the settings of a process and the sections of the configuration document.  A
class declares its fields with types and, through `setting`, with checks:

    @attrs.frozen
    class ServerSettings:
        port: int = setting(check=between(0, 65535))
        idle: datetime.timedelta = setting(default=datetime.timedelta(seconds=30))

Supported types: str, int, float, bool, `datetime.timedelta` (a number of seconds, or a string such
as "250ms", "7s", "5m", "1h"), enums by value, `X | None`, `tuple[X, ...]`, `dict[str, X]` and
other attrs classes.
"""

import datetime
import difflib
import enum
import pathlib
import re
import types
import typing

import attrs

from cicadapond.kernel._findings import Findings, Place
from cicadapond.kernel._jsonc import Node, parse_jsonc

_CHECK_KEY = "cicadapond.check"
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(us|ms|s|m|h|d)$")
_UNIT_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


class SettingsError(Exception):
    """The settings are invalid; `findings` lists all reasons."""

    def __init__(self, findings: Findings):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


def setting(*, default=attrs.NOTHING, factory=None, check=None):
    """Declares a field of a settings class.

    Args:
      default: The value if the key is absent; without a default the key is required.
      factory: Returns the default, for mutable or nested values.
      check: Called with the value; returns a message if the value is invalid, else None.
    """
    metadata = {_CHECK_KEY: check}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def between(low, high):
    """Returns a check that a value is between `low` and `high`, both included."""

    def check(value):
        return None if low <= value <= high else f"{value} is not between {low} and {high}"

    return check


def at_least(low):
    """Returns a check that a value is at least `low`."""

    def check(value):
        return None if value >= low else f"{value} is less than {low}"

    return check


def matches(pattern: str, meaning: str):
    """Returns a check that an entire string matches a pattern.

    Args:
      pattern: The regular expression.
      meaning: What the pattern describes, for the message: "<value> is not <meaning>".
    """
    compiled = re.compile(pattern)

    def check(value):
        return None if compiled.fullmatch(value) else f"{value!r} is not {meaning}"

    return check


def one_of(*allowed):
    """Returns a check that a value is one of `allowed`."""

    def check(value):
        if value in allowed:
            return None
        return f"{value!r} is not one of {', '.join(map(str, allowed))}"

    return check


def load_settings(path: str, cls):
    """Reads a settings file.

    Args:
      path: The file, JSON with comments.
      cls: The attrs class to build.

    Returns:
      An instance of `cls`.

    Raises:
      SettingsError: With all findings, if the file cannot be read or is invalid.
    """
    findings = Findings()
    settings = None
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        findings.add(Place(path), f"cannot be read: {exc}")
    else:
        node = parse_jsonc(text, path, findings)
        if node is not None:
            settings = structure(node, cls, findings)
    if findings:
        raise SettingsError(findings)
    return settings


def structure(node: Node, target_type, findings: Findings):
    """Converts a parsed node to a value of a type.

    Args:
      node: The parsed value.
      target_type: One of the types listed in the module's docstring.
      findings: Receives a finding for everything that is invalid.

    Returns:
      The value, or None if it is invalid (then there is a finding).
    """
    origin = typing.get_origin(target_type)
    if origin in (typing.Union, types.UnionType):
        return _structure_optional(node, target_type, findings)
    if origin is tuple:
        return _structure_tuple(node, target_type, findings)
    if origin is dict:
        return _structure_dict(node, target_type, findings)
    if attrs.has(target_type):
        return _structure_class(node, target_type, findings)
    if target_type is datetime.timedelta:
        return _structure_duration(node, findings)
    if isinstance(target_type, type) and issubclass(target_type, enum.Enum):
        return _structure_enum(node, target_type, findings)
    return _structure_scalar(node, target_type, findings)


def _structure_optional(node, target_type, findings):
    if node.value is None:
        return None
    member_types = [arg for arg in typing.get_args(target_type) if arg is not type(None)]
    return structure(node, member_types[0], findings)


def _structure_tuple(node, target_type, findings):
    if not isinstance(node.value, list):
        findings.add(node.place, f"expected a list, got {_describe(node)}")
        return None
    item_type = typing.get_args(target_type)[0]
    return tuple(structure(item, item_type, findings) for item in node.value)


def _structure_dict(node, target_type, findings):
    if not isinstance(node.value, dict):
        findings.add(node.place, f"expected an object, got {_describe(node)}")
        return None
    value_type = typing.get_args(target_type)[1]
    return {key: structure(item, value_type, findings) for key, item in node.value.items()}


def _structure_class(node, cls, findings):
    if not isinstance(node.value, dict):
        findings.add(node.place, f"expected an object, got {_describe(node)}")
        return None
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in attrs.fields(cls)}
    findings_before = len(findings)
    values = {}
    for key, item in node.value.items():
        if key not in fields:
            findings.add(node.key_places[key], _unknown_key(key, fields))
            continue
        values[key] = _structure_field(item, fields[key], hints[key], findings)
    for name, field in fields.items():
        if name not in node.value and field.default is attrs.NOTHING:
            findings.add(node.place, f"key {name!r} is missing")
    return cls(**values) if len(findings) == findings_before else None


def _structure_field(node, field, target_type, findings):
    findings_before = len(findings)
    value = structure(node, target_type, findings)
    check = field.metadata.get(_CHECK_KEY)
    if check is not None and value is not None and len(findings) == findings_before:
        message = check(value)
        if message is not None:
            findings.add(node.place, f"{field.name}: {message}")
    return value


def _structure_duration(node, findings):
    value = node.value
    if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0:
        return datetime.timedelta(seconds=value)
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        findings.add(node.place, f'expected a duration such as 7 or "250ms", got {value!r}')
        return None
    return datetime.timedelta(seconds=float(match[1]) * _UNIT_SECONDS[match[2]])


def _structure_enum(node, target_type, findings):
    allowed = {member.value: member for member in target_type}
    if node.value in allowed:
        return allowed[node.value]
    findings.add(node.place, f"{node.value!r} is not one of {', '.join(map(str, allowed))}")
    return None


def _structure_scalar(node, target_type, findings):
    value = node.value
    if target_type is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not target_type:
        findings.add(node.place, f"expected {target_type.__name__}, got {_describe(node)}")
        return None
    return value


def _unknown_key(key, fields):
    similar = difflib.get_close_matches(key, fields, n=1)
    hint = f"; did you mean {similar[0]!r}?" if similar else f"; known: {', '.join(fields)}"
    return f"unknown key {key!r}{hint}"


def _describe(node):
    names = {dict: "an object", list: "a list", str: "a string", type(None): "null"}
    return names.get(type(node.value), f"{type(node.value).__name__} {node.value!r}")
