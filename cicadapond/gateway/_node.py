"""One gateway process: builds and connects its components and runs its tasks."""

import asyncio
import datetime
import random

import attrs

from cicadapond.advisories import ServerAdvisories
from cicadapond.containment import CrashTracker
from cicadapond.continuation import StreamOrigins, VersionHistory
from cicadapond.eventlog import EventLog
from cicadapond.forwarding import Attempt, ConnectionPool, RetryLimiter
from cicadapond.gateway._adapters import PlatformAdapters
from cicadapond.gateway._cluster import Cluster
from cicadapond.gateway._configuration_keeper import ConfigurationKeeper
from cicadapond.gateway._costly_servers import CostlyServers
from cicadapond.gateway._crash_causes import CrashCauses
from cicadapond.gateway._crash_check import CrashCheck
from cicadapond.gateway._duties import DutyTask, UsageReporter, settle_time
from cicadapond.gateway._evacuation import Evacuation
from cicadapond.gateway._follow import FEED_DELAY_ALLOWANCE, FollowTask, feed_wait
from cicadapond.gateway._front import ANSWER_SHARE, BALANCER_DELAY, GRACE_SHARE, Frontend
from cicadapond.gateway._links import ServerLinks
from cicadapond.gateway._loop_watch import watch_loop
from cicadapond.gateway._memory_report import report_memory
from cicadapond.gateway._orders import ServerOrderer, ServiceOrders
from cicadapond.gateway._origin_lookup import OriginLookup
from cicadapond.gateway._origin_store import OriginStore
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._pause_log import log_pauses
from cicadapond.gateway._permits import TOPIC, ClusterCalls, PermitExchange
from cicadapond.gateway._queues import ServiceQueues
from cicadapond.gateway._quota_grants import TOPIC as QUOTA_TOPIC
from cicadapond.gateway._quota_grants import ClusterQuotaCalls, QuotaAdmission
from cicadapond.gateway._read_budget import ReadBudget
from cicadapond.gateway._relay import Relay
from cicadapond.gateway._residency import EngineWatch
from cicadapond.gateway._rollout_gate import NoRollouts
from cicadapond.gateway._rollout_tables import STATE_TABLE, OperatorTable, StateTable
from cicadapond.gateway._rollout_task import RolloutTask
from cicadapond.gateway._rollouts import ServiceRollouts
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.gateway._start_check import StartCheck
from cicadapond.gateway._starts import ServerStarts
from cicadapond.gateway._tables import ConfigurationTable, ServerTable
from cicadapond.gateway._time import TrueClock
from cicadapond.gateway._zone_flows import ZoneFlowTask
from cicadapond.gateway.settings import GatewaySettings, ResidencyUse, ZoneCostUse
from cicadapond.kernel import Metrics, TaskGroup, raised_at
from cicadapond.lease import LeaseSettings, LeaseTask
from cicadapond.memory import Kind
from cicadapond.peer import rank
from cicadapond.placing import Placer, ServerHealth
from cicadapond.quotas import QuotaShares
from cicadapond.rollout import ExposureBounds, Rollouts
from cicadapond.routes import ActiveConfiguration
from cicadapond.scaling import DemandMeter
from cicadapond.usage import UsageWindows
from cicadapond.zones import ZoneCosts

LEASE_NAME = "duties"
# The shortest lease term; the margin covers the longest call that a duty makes.
MIN_LEASE_TERM = datetime.timedelta(seconds=3)
LEASE_SETTINGS = LeaseSettings(
    term=MIN_LEASE_TERM,
    margin=datetime.timedelta(milliseconds=900),
    order_limit=datetime.timedelta(milliseconds=800),
    renewal=datetime.timedelta(milliseconds=1000),
)
HOUSEKEEPING_INTERVAL = datetime.timedelta(seconds=1)
STOP_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class Node:
    """A gateway process.

    Args:
      cfg: Its settings.
      adapters: Its adapters to the platform.
      clock: Wall-clock time that does not jump, and monotonic time that also runs while
        the machine is suspended.
      log: The event log.
      metrics: The metrics.
      rng: Source of jitter and of random choices.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        adapters: PlatformAdapters,
        clock: TrueClock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._adapters = adapters
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._tasks = TaskGroup(self._log_failure)
        has_costs = cfg.zone_costs is not ZoneCostUse.OFF
        self._zone_costs = ZoneCosts(clock, cfg.zone) if has_costs else None
        self.parts = self._make_parts()
        self.parts.check_server = CrashCheck(self.parts, self._tasks).begin
        log_pauses(self.parts.advisories, log)
        self._cluster = Cluster(self.parts, adapters, clock, self._tasks, rng)
        self._permits = PermitExchange(
            cfg.name,
            self.parts.advisories,
            ClusterCalls(self._cluster),
            self._cluster.live,
            clock,
            log,
            metrics,
        )
        self._cluster.register_handler(TOPIC, self._permits.answer)
        decode = adapters.decode_configuration
        self._keeper = ConfigurationKeeper(self.parts, adapters.feed, decode, self._cluster, rng)
        self.parts.processes = self._cluster.count
        self.parts.quota_share = self._cluster.quota_share
        self.parts.quota_admission = QuotaAdmission(
            cfg.name,
            self.parts.quotas,
            self._cluster,
            ClusterQuotaCalls(self._cluster),
            self.parts.active_configuration.find_account,
            clock,
            log,
            metrics,
        )
        self._cluster.register_handler(QUOTA_TOPIC, self.parts.quota_admission.answer)
        self.parts.publish_soon = self._cluster.publish_soon
        if self.parts.engine_watch is not None:
            self.parts.engine_watch.live_by_zone = self._cluster.live_by_zone
        if adapters.engine_calls is not None:
            self.parts.evacuation = Evacuation(self.parts, adapters.engine_calls, self._tasks, rng)
            self.parts.start_check = StartCheck(self.parts, adapters.engine_calls, self._tasks)
            self.parts.attempt.has_restarted = self.parts.start_check.has_restarted
        self.parts.links.on_change = self._cluster.publish_soon
        self.parts.costly_servers.on_change = self._cluster.publish_soon
        if self._rollouts is not None:
            self._rollouts.publish_soon = self._cluster.publish_soon
            self._rollouts.absent = self._cluster.without_rollouts
        self._cluster.cut_off_services = self.parts.links.cut_off_services
        self._relay_pool = adapters.make_relay_pool(
            clock, metrics, adapters.memory, Kind.RELAYED, adapters.processor
        )
        self.parts.relay = Relay(
            adapters.header_codec, self._relay_pool, clock, cfg.zone, self._cluster.relay_peers
        )
        self._crash_causes = CrashCauses(
            self.parts.crashes, adapters.tables, self._cluster, cfg, clock, log
        )
        self._origin_store = OriginStore(self.parts, adapters.tables, self._cluster)
        self.parts.origin_lookup = OriginLookup(self.parts, adapters, self._cluster)
        self._servers = ServerTable(self.parts, clock, adapters.decode_server)
        self._frontend = Frontend(self.parts)
        self._lease = LeaseTask(
            attrs.evolve(LEASE_SETTINGS, term=max(MIN_LEASE_TERM, cfg.bounds.lease)),
            LEASE_NAME,
            cfg.name,
            adapters.tables,
            clock,
            metrics,
            rng,
            poll_interval=lambda: self._cluster.poll_interval(LEASE_NAME),
            extra_writes=self._extra_lease_writes,
        )
        self._reporter: UsageReporter | None = None
        self._lease_held = False
        self._lease_runner: asyncio.Task | None = None
        self._duties: DutyTask | None = None
        self._server_orders = ServiceOrders(
            self.parts, self._cluster, lambda: self._servers.is_loaded
        )

    def _make_parts(self):
        cfg, clock, bounds = self._cfg, self._clock, self._cfg.bounds
        memory, processor = self._adapters.memory, self._adapters.processor
        pool = ConnectionPool(clock, self._metrics, memory, processor=processor)
        registry, health = ServerRegistry(clock), ServerHealth(clock, cfg.zone)
        links = ServerLinks(registry, health, pool, clock, self._log, self._metrics)
        codec = self._adapters.header_codec
        costly_servers = CostlyServers(health, clock, self._log, self._metrics, self._rng)
        watch = self._make_engine_watch(registry)
        placer = Placer(
            clock,
            cfg.zone,
            self._rng,
            self._zone_costs,
            by_version=cfg.rolls_out,
            memory=self._engine_memory,
            cached_parts=watch.cached_parts if watch is not None else None,
        )
        if watch is not None:
            watch.reports_pace = placer.reports_pace
        queues = ServiceQueues(clock, placer, self._metrics)
        placer.on_change = queues.changed
        self._rollouts = self._make_rollouts(registry, placer)
        rollouts = self._rollouts or NoRollouts()
        current_for = feed_wait(bounds.max_revocation_delay) + FEED_DELAY_ALLOWANCE
        crashes = CrashTracker(clock, cfg.zone, self._tries_cause, rollouts.crashes_of_version)
        return Parts(
            cfg=cfg,
            clock=clock,
            log=self._log,
            metrics=self._metrics,
            header_codec=codec,
            active_configuration=ActiveConfiguration(
                clock, bounds.max_revocation_delay, current_for
            ),
            registry=registry,
            placer=placer,
            health=health,
            advisories=ServerAdvisories(
                clock, cfg.name, lambda: self._cluster.sharers(), placer.running, registry.usable
            ),
            origins=StreamOrigins(clock),
            pool=pool,
            attempt=Attempt(codec, pool, clock, links.reaches_others, costly_servers),
            retry_limiter=RetryLimiter(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window, clock
            ),
            quotas=QuotaShares(clock, cfg.is_first_start, bounds.quota_overage),
            usage=UsageWindows(bounds.usage_window),
            crashes=crashes,
            starts=ServerStarts(clock, registry, crashes, current_for),
            demand=DemandMeter(clock),
            costly_servers=costly_servers,
            memory=memory,
            processor=processor,
            caller_slots=self._adapters.caller_slots,
            links=links,
            queues=queues,
            rollouts=rollouts,
            engine_watch=watch,
            version_history=VersionHistory(clock),
        )

    def _make_engine_watch(self, registry):
        """Returns what follows the prompt parts of engines, None if that is off."""
        if self._cfg.residency is ResidencyUse.OFF or self._adapters.part_calls is None:
            return None
        watch = EngineWatch(
            self._cfg,
            self._adapters.part_calls,
            registry,
            self._clock,
            self._log,
            self._metrics,
            self._tasks,
            self._rng,
        )
        watch.engine_limits = self._engine_limits
        return watch

    def _engine_limits(self):
        """Returns the limits of the engines of each service that has some."""
        table = self.parts.active_configuration.table
        services = table.cfg.services.values() if table is not None else ()
        return {service.name: service.engine for service in services if service.engine}

    def _make_rollouts(self, registry, placer):
        """Returns the rollouts of this process, None if the deployment has none."""
        if not self._cfg.rolls_out:
            return None
        rollouts = Rollouts(self._clock, self._exposure_bounds(), self._rng)
        return ServiceRollouts(rollouts, registry, placer, self._clock, self._log, self._metrics)

    def _exposure_bounds(self):
        bounds = self._cfg.bounds
        return ExposureBounds(bounds.exposure_share, bounds.exposure_tolerance, bounds.rollback)

    def _engine_memory(self, service):
        """Returns how many tokens an engine of a service holds, None if it is not configured."""
        table = self.parts.active_configuration.table
        found = table.cfg.services.get(service) if table is not None else None
        return found.engine.tokens if found is not None and found.engine else None

    # Lifecycle

    async def start(self) -> None:
        """Starts listening and all tasks."""
        await self._frontend.listen()
        table, key = self._adapters.configuration_row
        decode = self._adapters.decode_configuration
        configuration = ConfigurationTable(self.parts, key, decode, self._keeper)
        self._tasks.start(self._keeper, restarts=True)
        if self._rollouts is not None:
            configuration = self._start_rollouts(configuration)
        self._follow(table, configuration)
        servers = self._follow(self._adapters.server_table, self._servers)
        self.parts.refresh_servers = servers.refresh
        self._tasks.keep_running(self._cluster.run, "cluster")
        self._tasks.start(self._permits, restarts=True)
        self._tasks.keep_running(self._housekeep, "housekeeping")
        self._tasks.keep_running(
            lambda: watch_loop(self._clock, self._log, self._metrics, self.parts.pool.record_pause),
            "loop watch",
        )
        self._tasks.keep_running(lambda: report_memory(self.parts), "memory report")
        self._tasks.keep_running(self.parts.links.probe, "link probes")
        self._tasks.keep_running(self._crash_causes.run, "crash causes")
        self._tasks.keep_running(self._origin_store.run, "origin store")
        self._tasks.keep_running(self.parts.origin_lookup.run, "origin lookup")
        if self.parts.engine_watch is not None:
            self._tasks.keep_running(self.parts.engine_watch.run, "engine watch")
        if self._zone_costs is not None:
            flows = ZoneFlowTask(self._zone_costs, self.parts, self._cluster)
            self.parts.pool.on_connect = flows.record_connect
            self._tasks.start(flows, restarts=True)
        if self._adapters.cloud is not None or self._rollouts is not None:
            self._lease_runner = self._tasks.keep_running(self._hold_lease, "lease")
        if self._adapters.cloud is not None:
            self._duties = self._duty_task()
            self._tasks.start(self._duties, restarts=True)

    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        active = self.parts.active_configuration
        is_loaded = self._servers.is_loaded and active.table is not None
        if self.parts.stopping_since is not None or not is_loaded:
            return False
        if self._rollouts is not None and not self._rollouts.is_loaded:
            return False
        return active.table.cfg.accounts is None or active.may_use_keys()

    async def stop(self, reason: str | None = None) -> None:
        """Shuts down gracefully: reports not ready, then finishes requests within the grace.

        `reason` is for the log.
        """
        begun = self.parts.stopping_since = self._clock.monotonic()
        self._log.write("stopping", reason=reason, busy=self._frontend.busy)
        releasing, grace = asyncio.ensure_future(self._release_duties()), self._cfg.bounds.grace
        while (waited := self._clock.monotonic() - begun) < GRACE_SHARE * grace:
            if waited >= BALANCER_DELAY and not self._frontend.busy:
                break
            if waited >= ANSWER_SHARE * grace:
                self._frontend.end_requests()
            await self._clock.sleep(STOP_POLL_INTERVAL)
        # No await between the last check of `busy` and the close, so that no request can begin.
        aborted = self._frontend.busy
        self._frontend.close()
        await releasing
        await self._cluster.report_last()
        writes = self._extra_lease_writes()
        if writes and self._cluster.is_alone():
            await self._adapters.tables.transact(writes)
        await self._cluster.leave()
        await self._tasks.stop()
        self.parts.pool.close()
        self._relay_pool.close()
        self._log.write("stopped", broken_off=aborted)

    async def _release_duties(self):
        if self._lease_runner is None:
            return
        self._lease_runner.cancel()
        self._lease.stop_acting()
        if self._duties is not None:
            await self._duties.finish()
        await self._lease.release()

    async def abort(self) -> None:
        """Stops at once, as a crash would."""
        self._frontend.close()
        await self._tasks.stop()
        self.parts.pool.close()
        self._relay_pool.close()

    def reload(self, cfg: GatewaySettings) -> None:
        """Logs whether the settings changed; the running process keeps those of its start."""
        self._log.write("reloaded", changed=cfg != self._cfg)

    def state(self) -> dict:
        """Returns the state of the process, for a dump."""
        age = self.parts.active_configuration.age()
        return {
            "name": self._cfg.name,
            "ready": self.is_ready(),
            "configuration": self.parts.active_configuration.version,
            "configuration_age": age,
            "servers": [attrs.asdict(entry) for entry in self.parts.registry.all()],
            "store_era": self._adapters.tables.era(),
            "lease": self._lease.state(),
            "advisories": self.parts.advisories.state(),
            "permits": self._permits.state(),
            "quotas": self.parts.quota_admission.state(),
            "cut_off": self.parts.links.cut_off_services(),
            "crash_causes": self.parts.crashes.culprits(),
            "rollouts": self.parts.rollouts.state(),
            "moves": self.parts.evacuation.state() if self.parts.evacuation is not None else {},
            "cluster": self._cluster.state(),
            "residency": self.parts.engine_watch.state() if self.parts.engine_watch else {},
            "zones": self._zone_costs.state() if self._zone_costs is not None else None,
        }

    def _follow(self, table, follower):
        task = FollowTask(
            table,
            self._adapters.feed,
            follower,
            feed_wait(self._cfg.bounds.max_revocation_delay),
            self._clock,
            self._log,
            self._metrics,
            self._cluster.copies,
            self._rng,
            ReadBudget(self._cfg.store_reads_per_second, self._cluster.count, self._clock),
        )
        self._tasks.start(task, restarts=True)
        return task

    def _start_rollouts(self, configuration):
        """Starts the rollouts; returns the follower of the operator's table, which has orders."""
        rollouts, codec = self._rollouts, self._adapters.rollout_codec
        self._follow(STATE_TABLE, StateTable(rollouts, codec, self._log))
        task = RolloutTask(
            rollouts,
            self._lease,
            self._adapters.tables,
            codec,
            self._exposure_bounds(),
            self._clock,
            self._log,
            lambda service: rank(service, self._cluster.live()).index(self._cfg.name),
        )
        self._tasks.keep_running(task.watch, "rollout watch")
        self._tasks.start(task, restarts=True)
        return OperatorTable(configuration, rollouts, codec, self._log)

    # Crashes of servers

    def _tries_cause(self, cause, count):
        """Returns whether this process is among those that try requests that crashed servers."""
        sharers = self._cluster.sharers()
        return sharers is not None and self._cfg.name in rank(cause, sharers)[:count]

    # Duties

    def _duty_task(self):
        cfg, cloud = self._cfg, self._adapters.cloud
        reporter = orderer = None
        if cfg.duties.reports_usage:
            reporter = UsageReporter(
                cloud,
                self._adapters.tables,
                self.parts.usage,
                self._cluster.usage,
                self.parts.stored_usage,
                self._clock,
                self._log,
                self._cluster.merge_own_usage,
                settle_time(cfg.bounds.usage_report_delay),
                self._cluster.publish_soon,
            )
            self._reporter = reporter
        if cfg.duties.orders_servers:
            orderer = ServerOrderer(
                cloud, self._server_orders, self._clock, self._log, self._metrics
            )
        return DutyTask(
            self._lease, cfg.name, reporter, orderer, self._clock, cfg.duties.checks_fencing
        )

    def _log_failure(self, name, exc):
        self._log.write("task_failed", task=name, reason=repr(exc), raised_at=raised_at(exc))

    async def _hold_lease(self):
        while not self._cluster.has_settled():
            await self._clock.sleep(STOP_POLL_INTERVAL)
        await self._lease.run()

    def _extra_lease_writes(self):
        return self._reporter.known_usage_writes() if self._reporter is not None else ()

    # Housekeeping

    async def _housekeep(self):
        while True:
            self.parts.pool.close_stale()
            self._relay_pool.close_stale()
            if self._duties is not None and self._cfg.duties.orders_servers:
                self._server_orders.observe()
            held = self._lease.grant()
            if (held is not None) != self._lease_held:
                self._lease_held = held is not None
                self._log.write(
                    "lease_held" if held else "lease_lost",
                    lease=LEASE_NAME,
                    fencing=held.fencing if held else None,
                    era=self._adapters.tables.era(),
                    holder=self._lease.lease.holder(),
                    instance=self._lease.lease.instance(),
                )
            await self._clock.sleep(HOUSEKEEPING_INTERVAL)
