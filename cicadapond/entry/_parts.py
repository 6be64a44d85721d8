"""The components that the modules of one entry process share."""

import random
import typing

import attrs

from cicadapond.document import Intent
from cicadapond.kernel import Clock, Metrics
from cicadapond.peer import Peers
from cicadapond.provider import ObjectStore, TableService


@attrs.define
class Parts:
    """The shared components; one object per entry process.

    `intent` returns the document in force.  `ledger_tables`, `journal_tables` and
    `statistics_tables` are the table service with the store classes AT_MOST_ONCE, JOURNAL and
    STATISTICS, None if the deployment has no table service.
    """

    cfg: typing.Any
    clock: Clock
    metrics: Metrics
    rng: random.Random
    intent: typing.Callable[[], Intent]
    fleet: typing.Any
    peers: Peers
    router: typing.Any = None
    quarantine: typing.Any = None
    retry_budget: typing.Any = None
    ledger_tables: TableService | None = None
    journal_tables: TableService | None = None
    statistics_tables: TableService | None = None
    objects: ObjectStore | None = None
