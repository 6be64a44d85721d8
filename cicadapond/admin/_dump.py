"""Converts a process's state to values that JSON can represent, for the state dump.

Durations become seconds, instants ISO 8601 strings, enum members their values, and instances of
attrs classes and dataclasses objects with their field names.
"""

import collections.abc
import dataclasses
import datetime
import enum

import attrs


def to_jsonable(value):
    """Converts a value to one that JSON can represent.

    Args:
      value: A number, string, container, attrs or dataclass instance, enum member, duration or
        instant.

    Returns:
      The value as dicts, lists, strings and numbers; anything else as its `repr`.
    """
    if value is None or isinstance(value, (bool, int, float, str)):
        return value.value if isinstance(value, enum.Enum) else value
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, datetime.timedelta):
        return round(value.total_seconds(), 6)
    if isinstance(value, datetime.datetime):
        return value.isoformat()
    if attrs.has(type(value)):
        return {
            field.name: to_jsonable(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_jsonable(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, collections.abc.Mapping):
        return {str(to_jsonable(key)): to_jsonable(item) for key, item in value.items()}
    if isinstance(value, (set, frozenset)):
        return sorted((to_jsonable(item) for item in value), key=str)
    if isinstance(value, (bytes, bytearray)):
        return value.hex()
    if isinstance(value, collections.abc.Iterable):
        return [to_jsonable(item) for item in value]
    return repr(value)
