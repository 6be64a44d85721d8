"""The rollouts of this process: orders and states as heard, and their effect on its requests.

It answers the load of a service whose traffic moves from one version of its servers to another.
The decisions are those of `cicadapond.rollout`; this module feeds them.
"""

import collections
import datetime
import typing

import attrs

from cicadapond.eventlog import EventLog
from cicadapond.gateway._rollout_baseline import Baseline
from cicadapond.gateway._rollout_gate import RolloutGate
from cicadapond.gateway._rollout_holds import VersionHolds
from cicadapond.gateway._rollout_observer import VersionObserver
from cicadapond.gateway._servers import ServerRegistry
from cicadapond.kernel import Clock, Metrics
from cicadapond.placing import Placer
from cicadapond.provider import era_of
from cicadapond.rollout import Observation, Phase, RolloutOrder, Rollouts, RolloutState, Verdict

# After a restore of the store, the orders known from before it are kept for so long if the operator
# has not written them again.
REWRITE_TIME = datetime.timedelta(seconds=15)


@attrs.frozen
class StateRow:
    """The row of a service's rollout.

    Attributes:
      version: The row's version, 0 if it is absent.
      state: The newest known state; None if there is none or it is unreadable.
      is_stored: Whether the row holds it.  It does not after a restore from an older copy.
    """

    version: int = 0
    state: RolloutState | None = None
    is_stored: bool = True


class ServiceRollouts(RolloutGate):
    """The rollouts of all services in one process.

    Args:
      rollouts: Splits the traffic and judges.
      registry: The known servers.
      placer: Knows what is in flight.
      clock: The clock.
      log: The event log.
      metrics: The metrics.

    Attributes:
      rollouts: The given one.
      is_loaded: Whether the states were read.  Before that no request is sent, as any version may
        have been rolled back.
      publish_soon: Called when the other processes should hear of the evidence at once.
      absent: Returns how many live processes do not take part in rollouts.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        registry: ServerRegistry,
        placer: Placer,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.rollouts = rollouts
        self.is_loaded = False
        self.publish_soon: typing.Callable[[], None] = lambda: None
        self.absent: typing.Callable[[], int] = lambda: 0
        self._registry = registry
        self._placer = placer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._baseline = Baseline(placer)
        # The orders as the store has them, and those in force.
        self._stored_orders: dict[str, RolloutOrder] = {}
        self._orders: dict[str, RolloutOrder] = {}
        # The version of the store up to which the orders are known.
        self._orders_version = 0
        self._orders_kept_until = datetime.timedelta()
        self._rows: dict[str, StateRow] = {}
        self._old_versions: dict[str, str] = {}
        self._pending: set[VersionObserver] = set()
        # By service, the version of the order's row of which this process has stopped.
        self._stopped: dict[str, int] = {}
        self._holds = VersionHolds(clock)
        self._floors: dict[tuple[str, str, bool], int] = {}

    # Orders and states as they are heard

    def services(self) -> list[str]:
        """Returns the services with an order or the state of one, sorted."""
        return sorted(self._orders.keys() | self._stored_orders.keys() | self._rows.keys())

    def order(self, service: str) -> RolloutOrder | None:
        """Returns the order in force for a service."""
        return self._orders.get(service)

    def row(self, service: str) -> StateRow:
        """Returns the row of a service's rollout as last heard."""
        return self._rows.get(service, StateRow())

    def set_order(self, service: str, order: RolloutOrder | None) -> None:
        """Applies an order that was read, None if it was withdrawn."""
        if order is None:
            self._stored_orders.pop(service, None)
        else:
            self._stored_orders[service] = order
        self._update_order(service)

    def _update_order(self, service):
        order, known = self._order_in_force(service), self._orders.get(service)
        if order == known:
            return
        if order is None:
            del self._orders[service]
            self._log.write("rollout_withdrawn", service=service)
        else:
            self._orders[service] = order
            if known is not None and order.repeats(known) and service in self._stopped:
                self._stopped[service] = order.row_version
            self._log.write(
                "rollout_ordered",
                service=service,
                to=order.to,
                duration_s=order.duration.total_seconds(),
                order=order.row_version,
            )
        self.rollouts.set_order(service, order)

    def _order_in_force(self, service):
        """Returns the stored order, or one from before a restore that takes its place."""
        stored, state = self._stored_orders.get(service), self.row(service).state
        if self._clock.monotonic() >= self._orders_kept_until:
            return stored
        known = self._orders.get(service)
        if known is not None and self._is_kept(known, stored):
            return known
        if state is None or not self._is_kept(state.order, stored):
            return stored
        repeats = stored is not None and stored.repeats(state.order)
        return state.order if repeats or not state.phase.has_ended else None

    def _is_kept(self, order, stored):
        """Returns whether a known order is the one that the operator has written last."""
        if era_of(order.row_version) >= era_of(self._orders_version):
            return False
        return stored is None or stored.was_replaced_by(order) or stored.repeats(order)

    def keep_orders(self, services: typing.Collection[str]) -> None:
        """Withdraws the orders of all other services, after a read of the whole table."""
        for service in self.services():
            if service not in services:
                self.set_order(service, None)

    def set_orders_version(self, version: int) -> None:
        """Records that the orders are complete up to a version of the store."""
        if era_of(version) > era_of(self._orders_version):
            self._orders_kept_until = self._clock.monotonic() + REWRITE_TIME
        self._orders_version = max(self._orders_version, version)

    def set_state(self, service: str, version: int, state: RolloutState | None) -> None:
        """Applies the row of a rollout that was read or written, unless a newer one is known."""
        known = self.row(service)
        if version <= known.version:
            return
        is_doubtful = era_of(version) > era_of(known.version) or not known.is_stored
        is_older = state is None or (known.state is not None and state.precedes(known.state))
        if is_doubtful and known.state is not None and is_older:
            self._set_lost(service, version)
            return
        self._rows[service] = StateRow(version, state)
        self.rollouts.set_state(service, state)
        self._update_order(service)
        if state is not None and _step(state) != _step(known.state):
            self._log.write(
                "rollout_phase",
                service=service,
                to=state.order.to,
                order=state.order.row_version,
                phase=state.phase.value,
                share=round(state.share, 4),
                shifted=list(state.shifted),
                reason=state.reason,
                evidence=dict(state.judged),
            )
            self._metrics.gauge("rollout_share", state.share, service=service)

    def keep_states(self, services: typing.Collection[str], version: int) -> None:
        """Notes which rows the store has, after a read of the whole table at a version."""
        for service, row in self._rows.items():
            if service not in services and era_of(version) > era_of(row.version):
                self._set_lost(service, 0)

    def _set_lost(self, service, version):
        """Notes that the store has lost the newest state; its row has this version now."""
        known = self.row(service)
        if known.is_stored and known.state is not None:
            phase = known.state.phase.value
            self._log.write("rollout_state_lost", service=service, phase=phase)
        self._rows[service] = StateRow(version, known.state, is_stored=known.state is None)

    def is_decidable(self, service: str) -> bool:
        """Returns whether enough is known to decide how a service's rollout goes on.

        Not if the order that the state is of has not been heard yet, nor if the state cannot be
        read: a verdict must not be forgotten.  A later order begins anew.
        """
        row, order = self.row(service), self._orders.get(service)
        if row.state is None:
            return row.version == 0 or (order is not None and order.row_version > row.version)
        return row.state.order.row_version <= self._orders_version

    # The way of a request

    def allowed(self, service, route, servers):
        if not self.is_loaded:
            return []
        return self.rollouts.allowed(service, route, servers)

    def must_wait(self, service, route, chosen, left):
        return self.rollouts.must_wait(service, route, chosen, left)

    def is_stopped(self, entry):
        return not self.is_loaded or self.rollouts.is_stopped(entry)

    def record_request(self, service, route):
        self.rollouts.record_request(service, route)

    def record_sent(self, entry, route):
        self.rollouts.record_sent(entry, route)
        if self.is_running(entry.service):
            self._metrics.count("rollout_sends", service=entry.service, version=entry.version)

    def observe(self, route, placement):
        entry = placement.server
        observer = VersionObserver(
            placement,
            route,
            self._expected_version(entry),
            self._baseline,
            self._clock,
            self._record,
            self._pending.discard,
        )
        self._pending.add(observer)
        return observer

    def step(self) -> None:
        """Notices what time brings: late responses, a verdict, and the version in service."""
        for observer in tuple(self._pending):
            observer.check_overdue()
        for service in self.services():
            self._update_order(service)
            self._find_old_version(service)
            if self.is_running(service):
                self._log_verdict(service)
            else:
                self._release_floors(service)
        self._holds.update(self._held_servers())

    def view(self, service: str):
        """Returns what the holder needs to know of a service."""
        to = self._newest(service)
        counts, in_flight = collections.Counter(), collections.Counter()
        for entry in self._registry.all():
            if entry.service == service:
                in_flight[entry.version == to] += self._placer.in_flight(entry.name)
        for entry in self._registry.usable(service):
            # Servers of a version that was rolled back serve nothing.
            if entry.version == to or not self.rollouts.is_stopped(entry):
                counts[entry.version == to] += 1
        view = self.rollouts.view(
            service, counts[False], counts[True], in_flight[False], in_flight[True]
        )
        return attrs.evolve(view, absent=self.absent())

    # Crashes, orders of servers

    def crashes_of_version(self, starts):
        blamed: set[str] = set()
        for service in self.services():
            state = self.row(service).state
            if not self.is_running(service) and (
                state is None or state.phase is not Phase.ROLLED_BACK
            ):
                continue
            to = self._newest(service)
            versions = {start: self._registry.software_of(start) for start in starts}
            crashed = {start: of[1] for start, of in versions.items() if of and of[0] == service}
            runs_old = any(entry.version != to for entry in self._registry.usable(service))
            if runs_old and set(crashed.values()) == {to}:
                blamed |= crashed.keys()
        return frozenset(blamed)

    def carrying(self, service, servers):
        to = self._newest(service)
        if to is None:
            return list(servers)
        state = self.row(service).state
        is_completed = state is not None and state.phase is Phase.COMPLETED
        runs_new = is_completed and not self.is_running(service)
        found = [entry for entry in servers if (entry.version == to) == runs_new]
        return found or list(servers)

    def hold_orders(self, orders, maxima):
        held = []
        on_demand: dict[tuple[str, str], int] = {}
        # On-demand servers first: reclaimable ones get the room that these leave.
        for order in sorted(orders, key=lambda order: order.reclaimable):
            target = (order.service, order.zone, order.reclaimable)
            place = (order.service, order.zone)
            if self.is_running(order.service):
                count = max(order.count, self._floor(target))
                if order.reclaimable and order.service in maxima:
                    count = min(count, maxima[order.service] - on_demand.get(place, 0))
                    count = max(count, 0)
                self._floors[target] = count
                order = attrs.evolve(order, count=count)
            if not order.reclaimable:
                on_demand[place] = order.count
            held.append(order)
        return sorted(held, key=lambda order: not order.reclaimable)

    def _floor(self, target):
        """Returns the least that is ordered; at first what runs, as another holder ordered it."""
        if target not in self._floors:
            service, zone, reclaimable = target
            self._floors[target] = sum(
                (entry.zone, entry.is_reclaimable) == (zone, reclaimable)
                for entry in self.carrying(service, self._registry.usable(service))
            )
        return self._floors[target]

    # Exchange with other processes

    def reported(self):
        return self.rollouts.reported()

    def announced(self):
        return self._holds.told()

    def apply(self, zone, totals):
        self.rollouts.apply(zone, totals)

    def state(self):
        return {
            service: {
                "to": self._newest(service),
                "order": getattr(self._orders.get(service), "row_version", None),
                "phase": state.phase.value if (state := self.row(service).state) else None,
                "phase_since": state.phase_since if state else None,
                "ends_at": state.ends_at if state else None,
                "share": state.share if state else None,
                "shifted": list(state.shifted) if state else [],
                "reason": state.reason if state else None,
                "is_stored": self.row(service).is_stored,
                "judged": dict(state.judged) if state else {},
                "verdict": (judgement := self.rollouts.judgement(service)).verdict.value,
                "verdict_reason": judgement.reason,
                "evidence": dict(judgement.evidence),
            }
            for service in self.services()
        }

    def _held_servers(self):
        """Returns the servers that processes of earlier builds should not send to."""
        if not self.is_loaded or not self.absent():
            return []
        found = []
        for service in self.services():
            usable = self._registry.usable(service)
            to = self._newest(service) if self.is_running(service) else None
            held = [each for each in usable if each.version == to or self.rollouts.is_stopped(each)]
            # Never all: the version in service may have been ordered again.
            if len(held) < len(usable):
                found += held
        return found

    def _newest(self, service):
        """Returns the version of the order in force, else of the last one; None without any."""
        order, state = self._orders.get(service), self.row(service).state
        known = order if order is not None else state.order if state is not None else None
        return known.to if known is not None else None

    def is_running(self, service):
        order, row = self._orders.get(service), self.row(service)
        if row.state is None:
            return order is not None
        is_later = order is not None and order.row_version > row.state.order.row_version
        if is_later and not order.repeats(row.state.order):
            return True
        return not row.state.phase.has_ended

    def _expected_version(self, entry):
        if entry.version == self._newest(entry.service):
            return self._old_versions.get(entry.service, entry.version)
        return entry.version

    def _find_old_version(self, service):
        """Notes the version that most servers of a service have beside the new one."""
        to = self._newest(service)
        counts = collections.Counter(
            entry.version for entry in self._registry.usable(service) if entry.version != to
        )
        if counts:
            self._old_versions[service] = counts.most_common(1)[0][0]

    def _record(self, seen: Observation):
        if not self.is_running(seen.service):
            return
        if seen.is_bad:
            self._metrics.count("rollout_bad", service=seen.service, version=seen.version)
        self.rollouts.record(seen)

    def _log_verdict(self, service):
        order = self._orders.get(service)
        if order is None or self._stopped.get(service) == order.row_version:
            return
        judgement = self.rollouts.judgement(service)
        if judgement.verdict is not Verdict.BAD:
            return
        self._stopped[service] = order.row_version
        self._metrics.count("rollouts_stopped", service=service)
        self._log.write(
            "rollout_stopped",
            service=service,
            to=order.to,
            order=order.row_version,
            reason=judgement.reason,
            evidence=dict(judgement.evidence),
        )
        self.publish_soon()

    def _release_floors(self, service):
        for target in [each for each in self._floors if each[0] == service]:
            del self._floors[target]


def _step(state: RolloutState | None):
    """Returns what tells one step of a rollout from the next."""
    if state is None:
        return None
    waits_for = state.reason if state.phase is Phase.WAITING else ""
    return (state.order.row_version, state.phase, state.share, state.shifted, waits_for)
