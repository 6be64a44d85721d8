"""What one gateway process is made of, handed whole to those who use several of its parts."""

import datetime
import typing

import attrs

from cicadapond.containment import CrashBook
from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Attempt, ConnectionPool, RepeatBudget
from cicadapond.gateway._dialect import Dialect
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway.data import GatewaySettings, ServerEntry
from cicadapond.kernel import Clock, Metrics
from cicadapond.placing import Placer, ServerHealth
from cicadapond.quotas import QuotaShares
from cicadapond.routes import Directory
from cicadapond.scaling import DemandMeter
from cicadapond.usage import UsageWindows


@attrs.define
class Parts:
    """The parts of one process.

    `processes` tells how many share limits with it, itself too; `quota_part` which part of
    quotas it and those that it hears of may spend; `check_server` has a server looked at whose
    connection broke; `tell_readings` has the other processes told of a long prompt.
    """

    cfg: GatewaySettings
    clock: Clock
    log: EventLog
    metrics: Metrics
    dialect: Dialect
    directory: Directory
    registry: ServerRegistry
    placer: Placer
    health: ServerHealth
    pool: ConnectionPool
    attempt: Attempt
    repeats: RepeatBudget
    quotas: QuotaShares
    usage: UsageWindows
    crashes: CrashBook
    demand: DemandMeter
    processes: typing.Callable[[], int] = lambda: 1
    quota_share: typing.Callable[[], float] = lambda: 1.0
    check_server: typing.Callable[[ServerEntry], None] = lambda entry: None
    publish_readings: typing.Callable[[], None] = lambda: None
    stopping_since: datetime.timedelta | None = None
