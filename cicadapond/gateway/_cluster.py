"""Membership of the gateway processes and the state that they exchange."""

import asyncio
import contextlib
import datetime
import random
import typing

import attrs

from cicadapond.containment import merge_evidence
from cicadapond.data import Endpoint
from cicadapond.gateway._adapters import PlatformAdapters
from cicadapond.gateway._candidates import IDLE_POLL_INTERVAL, poll_interval
from cicadapond.gateway._copies import COPY_TOPIC, CopyExchange
from cicadapond.gateway._digest_pace import digest_intervals, shared_parts_rate, update_rate
from cicadapond.gateway._discovery import ProcessDiscovery
from cicadapond.gateway._own_report import own_report
from cicadapond.gateway._parts import Parts
from cicadapond.gateway._process_view import OwnProcess, ProcessView, next_view
from cicadapond.gateway._relay import RelayPeer
from cicadapond.gateway._reports import Report, ServiceDemand, ZoneReports, read_report
from cicadapond.gateway._rollout_holds import concerns_earlier_builds
from cicadapond.gateway._sharing import CopyGroup, copy_times
from cicadapond.gateway._time import TrueClock
from cicadapond.kernel import Ok, TaskGroup
from cicadapond.peer import (
    Digest,
    Member,
    MemberState,
    PeerSettings,
    PeerTask,
    start_time_ms,
)
from cicadapond.residency import PacedValues
from cicadapond.scaling import Demand
from cicadapond.usage import UsageLedger

HUBS_PER_ZONE = 2
MAX_SEED_DIALS = 6
PEER_BEAT_INTERVAL = datetime.timedelta(milliseconds=400)
# A process that is not alive keeps its share of limits for this long after it was last heard from.
SHARE_RETENTION = datetime.timedelta(seconds=20)
# The last report of a process reaches the hubs within this time; after it has left, it counts for
# nothing.
FINAL_REPORT_DELAY = datetime.timedelta(milliseconds=60)
# If a process has not been heard from for this long, its quota totals may miss a burst; an equal
# share is then reserved for it.
SILENCE_THRESHOLD = datetime.timedelta(seconds=3)
# A process that has just joined may not know an earlier hub's summary yet, which it must continue.
SUMMARY_DELAY = datetime.timedelta(milliseconds=700)
# Two hubs that do not reach each other both tell the sums of their data centre.  Their running
# totals cannot be compared, so another hub is followed only if nothing comes from the last one.
HUB_CHANGE_DELAY = datetime.timedelta(milliseconds=1500)
# The share of quotas of a process that restarted and does not know yet how many others there are.
SHARE_BEFORE_JOINING = 0.1
# The members are counted anew at this interval, as every request needs their number.
MEMBERSHIP_CACHE_TIME = datetime.timedelta(milliseconds=200)


@attrs.frozen
class _Summary:
    """The last summary of a data centre, from one of its hubs."""

    hub: str
    received_at: datetime.timedelta
    report: Report


class Cluster:
    """The gateway processes that this process knows of.

    Args:
      parts: The components of this process.
      adapters: Has the store, which holds a row for each process, by which the processes discover
        each other, and the transport between them.
      clock: The clock of this process; corrected by the readings of the others.
      tasks: Runs the membership task.
      rng: Source of jitter.

    Attributes:
      usage: The usage of all processes.
      cut_off_services: Returns the services that this process does not reach, to report them.
      restore_state: Returns what to tell the others in spite of a restore of the store.
      receive_restore_state: Takes what another process tells of that.
    """

    def __init__(
        self,
        parts: Parts,
        adapters: PlatformAdapters,
        clock: TrueClock,
        tasks: TaskGroup,
        rng: random.Random,
    ):
        self._parts = parts
        self._cfg = parts.cfg
        self._adapters = adapters
        self._clock = clock
        self._tasks = tasks
        self._rng = rng
        self._peer: PeerTask | None = None
        self._joined_at: datetime.timedelta | None = None
        self._changed = asyncio.Event()
        self._copies = CopyExchange(
            self._cfg.name,
            self._cfg.zone,
            clock,
            parts.log,
            self.live_by_zone,
            self.publish_soon,
            copy_times(self._cfg.bounds.drain),
            self.query,
        )
        self._zone_reports: ZoneReports | None = None
        self._shared_parts = PacedValues(clock)
        self._summaries: dict[str, _Summary] = {}
        self._view: ProcessView | None = None
        self._sequence = 0
        self._registered = 1
        self._handlers: dict[str, typing.Callable] = {COPY_TOPIC: self._copies.answer}
        self.cut_off_services: typing.Callable[[], tuple[str, ...]] = tuple
        self.restore_state: typing.Callable[[], typing.Mapping[str, int]] = dict
        self.receive_restore_state: typing.Callable = lambda process, state: None
        self.usage = UsageLedger()

    @property
    def copies(self) -> CopyGroup:
        """The processes as a group that shares copies of tables."""
        return self._copies

    @property
    def zone(self) -> str:
        """The data centre of this process."""
        return self._cfg.zone

    async def run(self) -> None:
        """Joins the other processes and publishes digests until cancelled."""
        if self._peer is None:
            await self._join()
        await self._publish()

    async def _join(self):
        discovery = ProcessDiscovery(self._parts, self._adapters.tables, self._clock, self._rng)
        rows = await discovery.register()
        self._tasks.keep_running(lambda: discovery.keep_registered(self.count), "process row")
        self._registered = len(rows)
        cfg = PeerSettings(
            self._cfg.name,
            self._cfg.zone,
            self._cfg.peers[0],
            seeds=discovery.seeds(rows),
            beat=PEER_BEAT_INTERVAL,
            relay_beat=PEER_BEAT_INTERVAL,
            hubs=HUBS_PER_ZONE,
            seed_dials=MAX_SEED_DIALS,
            update_rate=update_rate(self._cfg.link_mbps),
        )
        metrics = self._parts.metrics
        transport = self._adapters.make_transport(metrics)
        peer = PeerTask(cfg, transport, self._clock, metrics, self._rng)
        peer.subscribe(self._receive)
        for topic, handler in self._handlers.items():
            peer.register_handler(topic, handler)
        peer.start()
        self._peer = peer
        self._tasks.keep_running(lambda: discovery.search(self.is_alone, peer.set_seeds), "search")
        self._joined_at = self._clock.monotonic()
        self._zone_reports = ZoneReports(self.own_run(), SILENCE_THRESHOLD, SHARE_RETENTION)
        self._tasks.start(peer)

    def register_handler(self, topic: str, handler: typing.Callable) -> None:
        """Sets what answers the queries of other processes about a topic, before they can come."""
        self._handlers[topic] = handler

    async def query(self, process: str, topic: str, payload, timeout: datetime.timedelta):
        """Returns another process's answer to a query; None if none comes in time."""
        if self._peer is None:
            return None
        outcome = await self._peer.query_often(process, topic, payload, timeout)
        return outcome.value if isinstance(outcome, Ok) else None

    async def report_last(self) -> None:
        """Reports what this process has done since its last report."""
        if self._peer is not None:
            self._peer.publish(self._digest(), at_once=True)
            await self._clock.sleep(FINAL_REPORT_DELAY)

    async def leave(self) -> None:
        """Announces that this process leaves."""
        if self._peer is not None:
            await self._peer.leave()

    def is_alone(self) -> bool:
        """Whether no other process is alive, which could report for this one after it has left."""
        return sum(map(len, self.live_by_zone().values())) == 1

    def has_settled(self) -> bool:
        """Whether this process has had time to learn of the others."""
        if self._joined_at is None:
            return False
        return self._clock.monotonic() - self._joined_at >= SUMMARY_DELAY

    def speaks_for_zone(self) -> bool:
        """Whether this process tells the sums of its data centre."""
        return self.has_settled() and self._peer.is_primary_hub()

    # Values derived from what was received

    def count(self) -> int:
        """Returns how many processes share limits, this one included."""
        return self._current_view().count

    def sharers(self) -> tuple[str, ...] | None:
        """Returns the sorted names of the processes that share the servers' limits.

        Processes that are not heard count for a while, as they may still serve callers.  None while
        this process has not had time to learn of the others.
        """
        return self._current_view().sharers if self.has_settled() else None

    def live_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Returns the names of the live processes by data centre, this one included."""
        return self._current_view().live_by_zone

    def live(self) -> tuple[str, ...]:
        """Returns the sorted names of the live processes, this one included."""
        return tuple(sorted(name for names in self.live_by_zone().values() for name in names))

    def live_by_age(self) -> tuple[str, ...]:
        """Returns the names of the live processes, the one that runs for longest first."""
        return self._current_view().live_by_age

    def live_since(self) -> datetime.timedelta:
        """Returns since when these are the same, and this process has not been suspended."""
        return self._current_view().unchanged_since

    def grant_share(self) -> float:
        """Returns the share of quotas that may be granted by the processes that hear each other."""
        count = self.count()
        if not self.has_settled():
            return 1.0 / count
        return min(self.quota_share(), len(self.live_by_age()) / count)

    def reports_age(self) -> datetime.timedelta:
        """Returns the age of the oldest summary of the data centres that have live processes."""
        now = self._clock.monotonic()
        zones = self.live_by_zone()
        if not self._summaries.keys() >= zones.keys():
            return datetime.timedelta.max
        return max(now - self._summaries[zone].received_at for zone in zones)

    def all_take_grants(self) -> bool:
        """Returns whether no process of an earlier build is heard, which takes quotas by itself."""
        return all(report.grant_takers >= report.processes for report in self._recent_summaries())

    def quota_share(self) -> float:
        """Returns the share of quotas available to this process and those heard from lately."""
        heard = sum(report.processes for report in self._recent_summaries())
        if self._cfg.is_first_start and not self.has_settled():
            return 1.0  # nobody has spent anything yet
        if self._joined_at is None:
            return SHARE_BEFORE_JOINING
        return min(1.0, max(1, heard) / self.count())

    def without_rollouts(self) -> int:
        """Returns how many processes heard from lately do not take part in rollouts."""
        return sum(
            max(0, report.processes - report.participants) for report in self._recent_summaries()
        )

    def _restore_followers(self):
        """Returns how many processes heard from lately follow restores; None if all of them do."""
        reports = self._recent_summaries()
        if all(report.restore_followers >= report.processes for report in reports):
            return None
        return sum(report.restore_followers for report in reports)

    def _recent_summaries(self):
        now = self._clock.monotonic()
        return [
            summary.report
            for summary in self._summaries.values()
            if now - summary.received_at <= SILENCE_THRESHOLD
        ]

    def relay_peers(self, service: str) -> tuple[RelayPeer, ...]:
        """Returns the live processes that do not say that a service is out of their reach."""
        if len(self._cfg.peers) < 2:
            return ()
        # Each process accepts requests of the others at the second of its addresses.
        offset = self._cfg.peers[1].port - self._cfg.peers[0].port
        cut_off = {
            process
            for summary in self._summaries.values()
            for process, services in summary.report.cut_off.items()
            if service in services
        }
        return tuple(
            RelayPeer(
                member.name,
                member.zone,
                Endpoint(member.endpoint.host, member.endpoint.port + offset),
            )
            for member in self._members()
            if member.state is MemberState.ALIVE and member.name not in cut_off
        )

    def demand_by_zone(
        self, service: str, slots: int
    ) -> dict[str, tuple[Demand, datetime.timedelta]]:
        """Returns what the callers of each data centre need of a service, and how old that is.

        `slots` are those of one of its servers.
        """
        now = self._clock.monotonic()
        # A data centre that is cut off keeps its callers, whose requests need servers of this
        # service too.
        reports = {
            zone: (summary.report, now - summary.received_at)
            for zone, summary in self._summaries.items()
            if now - summary.received_at < SHARE_RETENTION
        }
        if self._cfg.zone not in reports:
            reports[self._cfg.zone] = (
                own_report(self._parts, self._sequence, self._cfg.name, self.cut_off_services()),
                datetime.timedelta(),
            )
        found = {}
        for zone, (report, age) in reports.items():
            need = report.demand.get(service, ServiceDemand())
            found[zone] = (Demand(need.prefilling, need.in_progress / slots), age)
        return found

    def poll_interval(self, duty: str) -> datetime.timedelta:
        """Returns how often this process checks whether it can take over a duty."""
        if not self.has_settled():
            return IDLE_POLL_INTERVAL
        followers = self._restore_followers()
        return poll_interval(duty, self._cfg.name, self.live_by_zone(), followers)

    def merge_own_usage(self) -> None:
        """Adds this process's own counts where no hub tells those of its data centre."""
        if self._cfg.zone not in self._summaries and self._peer is not None:
            self.usage.merge(f"{self._cfg.zone} {self.own_run()}", self._parts.usage.counts())

    def publish_soon(self) -> None:
        """Publishes the next digest as soon as the minimum interval allows."""
        self._changed.set()

    def state(self) -> dict:
        """Returns what is known of the processes, for a dump."""
        now = self._clock.monotonic()
        return {
            "processes": self.count(),
            "quota_share": round(self.quota_share(), 3),
            "copies": self._copies.state(),
            "zones": {
                zone: {
                    "live": len(self.live_by_zone().get(zone, ())),
                    "hub": summary.hub,
                    "age_ms": round((now - summary.received_at).total_seconds() * 1000),
                    "heard": summary.report.processes,
                    "configuration": summary.report.configuration,
                    "lineage": summary.report.lineage,
                }
                for zone, summary in sorted(self._summaries.items())
            },
        }

    def _current_view(self):
        now = self._clock.monotonic()
        known = self._view
        if known is None or now - known.at >= MEMBERSHIP_CACHE_TIME:
            started_ms = start_time_ms(self._peer.incarnation) if self._peer is not None else 0
            own = OwnProcess(self._cfg.name, self._cfg.zone, started_ms)
            least = 0 if self.has_settled() else self._registered
            self._view = next_view(known, self._members(), own, now, SHARE_RETENTION, least)
        return self._view

    def _members(self) -> tuple[Member, ...]:
        return self._peer.members() if self._peer is not None else ()

    def own_run(self) -> str:
        """Returns what names this run of the process; only after it has joined the others."""
        return f"{self._cfg.name}/{start_time_ms(self._peer.incarnation)}"

    # Exchange of digests

    async def _publish(self):
        while True:
            self._changed.clear()
            self._peer.publish(self._digest())
            shortest, longest = digest_intervals(len(self.live_by_zone()[self._cfg.zone]))
            await self._clock.sleep(shortest)
            with contextlib.suppress(TimeoutError):  # no change within the maximum interval
                async with asyncio.timeout((longest - shortest).total_seconds()):
                    await self._changed.wait()

    def _digest(self):
        now = self._clock.monotonic()
        self._sequence += 1
        report = own_report(self._parts, self._sequence, self._cfg.name, self.cut_off_services())
        self._zone_reports.record(self.own_run(), report, now)
        summary = {}
        if self.speaks_for_zone():
            total = self._zone_total(now)
            self._apply_summary(self._cfg.name, self._cfg.zone, total)
            summary = total.as_items()
        return Digest(
            copies=self._copies.published(),
            restored_copies=self._copies.published_restored(),
            restore=self.restore_state(),
            report=report.as_items(),
            summary=summary,
        )

    def _zone_total(self, now):
        for member in self._members():
            if member.zone == self._cfg.zone:
                run = _run_of(member)
                self._zone_reports.record_heard(run, member.last_heard)
                if member.state in (MemberState.DEAD, MemberState.LEFT):
                    self._zone_reports.record_ended(run)
        lineage = self._zone_reports.lineage
        total = self._zone_reports.total(self.usage.counts(f"{self._cfg.zone} {lineage}"), now)
        # Also what was heard of, so that a process that starts later learns of it.
        evidence = merge_evidence((total.crash_evidence, self._parts.crashes.known()))
        zones = self.live_by_zone()
        rate = shared_parts_rate(self._cfg.link_mbps, len(zones[self._cfg.zone]), len(zones))
        shared = self._shared_parts.update(total.shared_parts, rate)
        return attrs.evolve(total, crash_evidence=evidence, shared_parts=shared)

    def _receive(self, member):
        digest = member.digest
        for copies in (digest.copies, digest.restored_copies):
            self._copies.receive(member.name, member.zone, copies)
        self.receive_restore_state(member.name, digest.restore)
        if member.zone == self._cfg.zone:
            report = read_report(digest.report)
            if report is not None:
                self._zone_reports.record(_run_of(member), report, self._clock.monotonic())
                self._parts.origins.apply(member.zone, report.origins)
                # Not left to the sums, which a hub that has just started does not tell yet.
                self._apply_advisories(report.advisories)
                if self._peer.is_primary_hub():
                    self.publish_soon()
        summary = read_report(digest.summary)
        if summary is not None and self._is_new(member, summary):
            if member.zone == self._cfg.zone:
                self._zone_reports.continue_from(summary)
            self._apply_summary(member.name, member.zone, summary)

    def _is_new(self, member, summary):
        known = self._summaries.get(member.zone)
        if known is None or known.hub != member.name:
            return True
        return known.report.sequence != summary.sequence

    def _apply_summary(self, hub, zone, summary):
        is_own_zone = zone == self._cfg.zone
        self._parts.quotas.apply_spending(zone, summary.spending, includes_own=is_own_zone)
        self.usage.merge(f"{zone} {summary.lineage}", summary.usage)
        self._parts.stored_usage.merge(summary.stored_usage)
        self._parts.crashes.apply(zone, summary.crash_evidence)
        self._parts.rollouts.apply(zone, summary.rollouts)
        if self._parts.engine_watch is not None:
            self._parts.engine_watch.apply(zone, summary.held, summary.shared_parts)
        # Facts, unlike sums, are merged from whichever hub tells them.
        self._parts.origins.apply(zone, summary.origins)
        for server, answers in summary.costly.items():
            entry = self._parts.registry.find(server)
            if entry is not None:
                self._parts.costly_servers.merge(entry, answers)
        self._apply_advisories(summary.advisories)
        known = self._summaries.get(zone)
        now = self._clock.monotonic()
        if known is not None and known.hub != hub and now - known.received_at < HUB_CHANGE_DELAY:
            return
        if known is None or known.hub != hub or known.report.lineage != summary.lineage:
            self._parts.log.write(
                "summary_source",
                zone=zone,
                hub=hub,
                lineage=summary.lineage,
                heard=summary.processes,
                last=known.hub if known is not None else None,
            )
        self._summaries[zone] = _Summary(hub, now, summary)
        self._parts.placer.apply_others_work(zone, hub, summary.engines, includes_own=is_own_zone)

    def _apply_advisories(self, advisories):
        for server, advisory in advisories.items():
            entry = self._parts.registry.find(server)
            if entry is not None and not concerns_earlier_builds(advisory):
                self._parts.advisories.merge(entry, advisory)
                if advisory.is_leaving and advisory.born == entry.born:
                    self._parts.registry.mark_closed(entry)


def _run_of(member):
    return f"{member.name}/{start_time_ms(member.incarnation)}"
