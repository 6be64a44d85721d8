"""The components of one gateway process, passed as one object to modules that use several."""

import datetime
import random
import typing

import attrs

from cicadapond.advisories import ServerAdvisories
from cicadapond.containment import CrashTracker
from cicadapond.continuation import StreamOrigins, VersionHistory
from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Attempt, ConnectionPool, HeaderCodec, RetryLimiter
from cicadapond.gateway._costly_servers import CostlyServers
from cicadapond.gateway._links import ServerLinks
from cicadapond.gateway._malformed_answers import MalformedAnswers
from cicadapond.gateway._relay import Relay
from cicadapond.gateway._rollout_gate import NoRollouts, RolloutGate
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway._starts import ServerStarts
from cicadapond.gateway._stream_moves import StreamMoves
from cicadapond.gateway.settings import GatewaySettings
from cicadapond.kernel import Clock, Metrics, ProcessorShare
from cicadapond.memory import CallerSlots, MemoryBudget
from cicadapond.placing import Placer, ServerHealth
from cicadapond.quotas import QuotaShares
from cicadapond.routes import ActiveConfiguration
from cicadapond.scaling import DemandMeter
from cicadapond.serving import ServerEntry
from cicadapond.usage import StoredCounts, UsageWindows

if typing.TYPE_CHECKING:
    from cicadapond.gateway._origin_lookup import OriginLookup
    from cicadapond.gateway._queues import ServiceQueues
    from cicadapond.gateway._quota_grants import QuotaAdmission
    from cicadapond.gateway._residency import EngineWatch
    from cicadapond.gateway._start_check import StartCheck


class RefreshServers(typing.Protocol):
    """Reads the changes of the server table, unless they are known as of a monotonic time."""

    async def __call__(
        self, since: datetime.timedelta, until: datetime.timedelta | None = None
    ) -> None:
        """Reads them.

        Args:
          since: The time as of which they are needed.
          until: The time up to which to wait, None to wait for one call, if that is permitted.
        """


async def _refresh_nothing(since, until=None):
    """Stands for a table that is not followed."""


@attrs.define
class Parts:
    """The components of one process.

    `processes` returns how many processes share limits, this one included; `quota_share` the
    share of quotas available to this process and those it has heard from lately; `quota_admission`
    takes the quotas, None until the node is complete; `check_server`
    checks whether a server whose connection broke is down; `start_check` asks servers which start
    they are, None to ask none; `refresh_servers` reads the changes of the server table up to now,
    unless they are known as of a time; `publish_soon` sends the other processes this one's report
    (prefill totals, statements of servers, streams) as soon as the minimum digest interval allows;
    `relay` leads to servers that this process does not reach, None if there are no other processes;
    `evacuation` moves streams off leaving engines, None to move none; `queues` are those in front
    of the engines; `engine_watch` follows which prompt parts the engines keep, None to guess it;
    `stored_usage` are the counts of usage that lease holders have stored; `version_history` tells
    which versions were in service before this process started, None if that is not kept;
    `origin_lookup` reads the stored streams, None if there are none;
    `memory` bounds what the process holds of others' bytes, `processor` the time that it spends on
    costly ones, and `caller_slots` its connections with callers, None for any number of them.
    """

    cfg: GatewaySettings
    clock: Clock
    log: EventLog
    metrics: Metrics
    header_codec: HeaderCodec
    active_configuration: ActiveConfiguration
    registry: ServerRegistry
    placer: Placer
    health: ServerHealth
    advisories: ServerAdvisories
    origins: StreamOrigins
    pool: ConnectionPool
    attempt: Attempt
    retry_limiter: RetryLimiter
    quotas: QuotaShares
    usage: UsageWindows
    crashes: CrashTracker
    demand: DemandMeter
    links: ServerLinks
    starts: ServerStarts
    memory: MemoryBudget = attrs.field(factory=MemoryBudget)
    processor: ProcessorShare = attrs.field(factory=ProcessorShare)
    caller_slots: CallerSlots | None = None
    rollouts: RolloutGate = attrs.field(factory=NoRollouts)
    stored_usage: StoredCounts = attrs.field(factory=StoredCounts)
    processes: typing.Callable[[], int] = lambda: 1
    quota_share: typing.Callable[[], float] = lambda: 1.0
    quota_admission: "QuotaAdmission | None" = None
    check_server: typing.Callable[[ServerEntry], None] = lambda entry: None
    refresh_servers: RefreshServers = _refresh_nothing
    start_check: "StartCheck | None" = None
    publish_soon: typing.Callable[[], None] = lambda: None
    relay: Relay | None = None
    evacuation: StreamMoves | None = None
    queues: "ServiceQueues | None" = None
    engine_watch: "EngineWatch | None" = None
    version_history: VersionHistory | None = None
    origin_lookup: "OriginLookup | None" = None
    stopping_since: datetime.timedelta | None = None
    costly_servers: CostlyServers = attrs.field(
        default=attrs.Factory(
            lambda self: CostlyServers(
                self.health, self.clock, self.log, self.metrics, random.Random()
            ),
            takes_self=True,
        )
    )
    malformed_answers: MalformedAnswers = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: MalformedAnswers(self.clock, self.log, self.metrics), takes_self=True
        ),
    )

    def software_versions(self, service: str) -> set[str]:
        """Returns the versions of a service that may have begun streams which callers take up."""
        versions = self.registry.software_versions(service)
        if self.version_history is not None:
            versions |= self.version_history.versions(service)
        return versions
