"""A parsed scenario: the data centres, the load and the faults over time, and the expectations."""

import datetime

import attrs

from cicadapond.kernel import Place


@attrs.frozen
class Option:
    """An argument of a statement; `key` is empty for a positional argument."""

    key: str
    value: object
    place: Place


@attrs.frozen
class ZoneLine:
    """A data centre and how many processes and backend servers of each kind run there."""

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
    """Requests of one kind, sent from `start` for `length` at a mean `rate` per second.

    `resend` is how many times a caller sends a request again after an answer that is not final.  An
    empty `zone` or `account` means any.
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
    """A fault or an operator's action, `at` a time after the start, with an optional duration."""

    at: datetime.timedelta
    verb: str
    arguments: tuple[Option, ...]
    length: datetime.timedelta | None
    place: Place

    def option(self, key: str, default=None):
        """Returns the value of the argument with this key, or the default."""
        return next((argument.value for argument in self.arguments if argument.key == key), default)

    def names(self) -> tuple[str, ...]:
        """Returns the values of the positional arguments."""
        return tuple(argument.value for argument in self.arguments if not argument.key)


@attrs.frozen
class ExpectLine:
    """A figure and its bound; without a bound, the figure only has to exist and have data."""

    figure: str
    comparison: str | None
    bound: object
    place: Place


@attrs.frozen
class Script:
    """A complete scenario."""

    title: str
    seed: int
    length: datetime.timedelta
    zones: tuple[ZoneLine, ...]
    accounts: tuple[AccountLine, ...]
    loads: tuple[LoadLine, ...]
    faults: tuple[FaultLine, ...]
    expects: tuple[ExpectLine, ...]
