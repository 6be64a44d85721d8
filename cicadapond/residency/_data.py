"""What engines tell of the prompt parts that they keep in memory."""

import typing

import attrs


@attrs.frozen
class PartChange:
    """A change of what an engine keeps of a prompt part.

    Attributes:
      part: The part's name.
      tokens: How many of its leading tokens the engine keeps now, 0 for none.
    """

    part: str
    tokens: int


@attrs.frozen
class PartEvents:
    """The changes since an earlier event, in their order.

    Attributes:
      epoch: Identifies the run of the engine that counts the events.
      next: The number from which to ask for further events.
      is_lost: Whether events are missing, so that only a list tells what the engine keeps.
      changes: The changes.
    """

    epoch: str
    next: int
    is_lost: bool
    changes: tuple[PartChange, ...]


@attrs.frozen
class PartList:
    """All prompt parts that an engine keeps.

    Attributes:
      epoch: Identifies the run of the engine that counts the events.
      next: The number of the first event that the list does not include.
      parts: The tokens that it keeps by part.
    """

    epoch: str
    next: int
    parts: typing.Mapping[str, int]


@attrs.frozen
class CallsExceeded:
    """The engine keeps no further call waiting, as it keeps as many as it is configured for."""


@attrs.frozen
class NoAnswer:
    """No readable answer came from the engine, and why."""

    reason: str
