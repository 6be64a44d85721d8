"""A scenario as data: the fleet, timed load and faults, and what is expected."""

import datetime

import attrs

from cicadapond.kernel import Place


@attrs.frozen
class Option:
    """An argument of a statement; `key` is empty for one given by position."""

    key: str
    value: object
    place: Place


@attrs.frozen
class ZoneLine:
    """A data centre and what runs there."""

    name: str
    place: Place
    entries: int = 1
    engines: int = 2
    services: int = 1
    controllers: int = 0


@attrs.frozen
class AccountLine:
    """A client account and its share."""

    name: str
    place: Place
    share: float = 1.0


@attrs.frozen
class LoadLine:
    """Requests of a kind, from an instant, for a time, at a mean rate a second.

    `resend` is how often a caller sends again after an answer that is not final; `zone` and
    `account` empty mean any.
    """

    kind: str
    start: datetime.timedelta
    length: datetime.timedelta
    rate: float
    place: Place
    tokens: int = 50
    words: int = 40
    account: str = ""
    zone: str = ""
    resend: int = 0
    timeout: datetime.timedelta = datetime.timedelta(seconds=60)


@attrs.frozen
class FaultLine:
    """A fault or an operator's act at an instant, perhaps for a time."""

    at: datetime.timedelta
    verb: str
    arguments: tuple[Option, ...]
    length: datetime.timedelta | None
    place: Place

    def option(self, key: str, default=None):
        """Returns the value of an argument given by key."""
        return next((found.value for found in self.arguments if found.key == key), default)

    def names(self) -> tuple[str, ...]:
        """Returns the arguments given by position."""
        return tuple(found.value for found in self.arguments if not found.key)


@attrs.frozen
class ExpectLine:
    """A figure and its bound, or an invariant by name."""

    figure: str
    comparison: str | None
    bound: object
    place: Place


@attrs.frozen
class Script:
    """A whole scenario."""

    title: str
    seed: int
    length: datetime.timedelta
    zones: tuple[ZoneLine, ...]
    accounts: tuple[AccountLine, ...]
    loads: tuple[LoadLine, ...]
    faults: tuple[FaultLine, ...]
    expects: tuple[ExpectLine, ...]
