"""The traffic split and the evidence of rollouts, in one process.

It answers the load of a service while a new version of its servers takes over its traffic: a
decision for a request uses only figures that are renewed a few times a second.
"""

import collections
import datetime
import random
import typing
from collections.abc import Mapping, Sequence

from cicadapond.kernel import Clock
from cicadapond.rollout._data import (
    ExposureBounds,
    Judgement,
    Observation,
    RolloutOrder,
    RolloutState,
    RolloutView,
    Verdict,
)
from cicadapond.rollout._evidence import Evidence, readable_counts, rollout_of
from cicadapond.rollout._rollout import Rollout
from cicadapond.rollout._split import KnownVersions, barred_versions
from cicadapond.serving import ServerEntry


class Rollouts:
    """The rollouts of all services, as one process takes part in them.

    Args:
      clock: The clock.
      bounds: What a bad version may receive.
      rng: Draws the initial credits.
    """

    def __init__(self, clock: Clock, bounds: ExposureBounds, rng: random.Random):
        self._clock = clock
        self._bounds = bounds
        self._rng = rng
        self._orders: dict[str, RolloutOrder] = {}
        self._seen_at: dict[str, datetime.datetime] = {}
        self._rollouts: dict[str, Rollout] = {}
        self._barred: dict[str, frozenset[str]] = {}
        # The rollouts whose state can't be read any more, as last known.
        self._unread: dict[str, Rollout] = {}
        # Orders for the version that served alone when they came; without a state it goes on.
        self._serving_orders: dict[str, RolloutOrder] = {}
        self._versions: dict[str, KnownVersions] = collections.defaultdict(KnownVersions)

    def set_order(self, service: str, order: RolloutOrder | None) -> None:
        """Notes the order in force for a service, None if there is none."""
        known = self._orders.get(service)
        if order is None:
            self._orders.pop(service, None)
            self._seen_at.pop(service, None)
        elif known is not None and order.repeats(known):
            self._orders[service] = order
            if service in self._serving_orders:
                self._serving_orders[service] = order
        elif order != known:
            if self._serves_alone(service, order.to):
                self._serving_orders[service] = order
            else:
                self._serving_orders.pop(service, None)
            self._orders[service] = order
            self._seen_at[service] = self._clock.now()
        self._bar(service)

    def set_state(self, service: str, state: RolloutState | None) -> None:
        """Notes the state of a service's rollout, None if there is none or it is unreadable."""
        rollout = self._rollouts.get(service) or self._unread.pop(service, None)
        if state is None:
            self._rollouts.pop(service, None)
            if rollout is not None:
                self._unread[service] = rollout
        elif rollout is not None and rollout.state.rollout_id == state.rollout_id:
            self._rollouts[service] = rollout
            rollout.set_state(state)
        else:
            self._rollouts[service] = Rollout(state, self._clock, self._bounds, self._rng)
        self._bar(service)

    def allowed(
        self, service: str, route: str, servers: Sequence[ServerEntry]
    ) -> list[ServerEntry]:
        """Returns those of `servers` that a send of a request on `route` may use now.

        A request that draws on a credit gets servers of the new version only; without a usable one
        it gets those of the old version.  Without a usable server of the old version, a request
        gets the new one only on a credit.
        """
        servers = self._versions[service].permitted(servers, self._clock.monotonic())
        barred = self._barred.get(service)
        if barred:
            servers = [entry for entry in servers if entry.version not in barred]
        rollout = self._rollouts.get(service)
        if rollout is None:
            return list(servers)
        return rollout.choose(route, servers)

    def must_wait(
        self,
        service: str,
        route: str,
        chosen: Sequence[ServerEntry],
        left: datetime.timedelta,
    ) -> bool:
        """Returns whether a request must wait for the outcome of a rollout about to complete.

        It must if it could not end on the old version before its servers stop.

        Args:
          service: The service.
          route: The request's route.
          chosen: Where it may be sent now, as `allowed` returned.
          left: The time to its deadline.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or not chosen:
            return False
        to = rollout.state.order.to
        return not any(entry.version == to for entry in chosen) and rollout.must_wait(route, left)

    def record_request(self, service: str, route: str) -> None:
        """Counts a request that a caller sent to the service; called once for each request."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.record_request(route)
            rollout.refresh()

    def record_sent(self, entry: ServerEntry, route: str) -> None:
        """Counts a send to a server; called right before its first byte."""
        rollout = self._rollouts.get(entry.service)
        if rollout is not None and entry.version == rollout.state.order.to:
            rollout.record_sent(entry, route)

    def record(self, seen: Observation) -> None:
        """Adds the outcome of a send to the evidence."""
        rollout = self._rollouts.get(seen.service)
        if rollout is not None:
            rollout.record(seen)
            rollout.refresh()

    def is_stopped(self, entry: ServerEntry) -> bool:
        """Returns whether nothing more may be sent to the server, for its version."""
        if entry.version in self._barred.get(entry.service, ()):
            return True
        rollout = self._rollouts.get(entry.service)
        return rollout is not None and rollout.is_stopped(entry.version)

    def reported(self) -> dict[str, tuple[int, ...]]:
        """Returns the running totals of this process, by an opaque key; they only grow."""
        totals: dict[str, tuple[int, ...]] = {}
        for rollout in self._rollouts.values():
            totals.update(rollout.totals.reported())
        return totals

    def apply(self, zone: str, totals: Mapping[str, tuple[int, ...]]) -> None:
        """Takes the sum of the totals of a data centre's processes, which may include this one."""
        heard: dict[str, dict[str, tuple[int, ...]]] = collections.defaultdict(dict)
        for key, counts in totals.items():
            service, rollout_id = rollout_of(key) or ("", "")
            rollout = self._rollouts.get(service)
            if rollout is None or rollout.state.rollout_id != rollout_id:
                continue
            known = readable_counts(key, counts)
            if known is not None:
                heard[service][key] = known
        for service, sums in heard.items():
            self._rollouts[service].apply(zone, sums)
            self._rollouts[service].refresh()

    def judgement(self, service: str) -> Judgement:
        """Returns the judgement of the new version, on this process's and heard evidence."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return Judgement(Verdict.CONTINUE, "no rollout")
        rollout.refresh()
        return rollout.judgement()

    def view(
        self,
        service: str,
        old_servers: int,
        new_servers: int,
        in_flight_old: int = 0,
        in_flight_new: int = 0,
    ) -> RolloutView:
        """Returns what `next_state` needs to know of a service.

        Args:
          service: The service.
          old_servers: The number of usable servers of other versions than the new one.
          new_servers: The number of usable servers of the new version.
          in_flight_old: The requests that run on servers of other versions.
          in_flight_new: The requests that run on servers of the new version.
        """
        rollout = self._rollouts.get(service)
        evidence = rollout.fleet if rollout is not None else Evidence()
        return RolloutView(
            old_servers,
            new_servers,
            in_flight_old,
            in_flight_new,
            judgement=self.judgement(service),
            requests=dict(evidence.requests),
            sent_new=sum(evidence.sent.values()),
            durations=evidence.durations(),
            seen_at=self._seen_at.get(service),
        )

    def state(self) -> dict[str, typing.Any]:
        """Returns the state as JSON values, for a dump."""
        return {
            service: {
                "state": rollout.state.as_row(),
                "barred": sorted(self._barred.get(service, ())),
                **rollout.dump(),
            }
            for service, rollout in self._rollouts.items()
        }

    def _bar(self, service):
        rollout = self._rollouts.get(service)
        state = rollout.state if rollout is not None else None
        order = self._orders.get(service)
        barred = barred_versions(order, state)
        has_state = state is not None and order is not None
        has_state = has_state and order.repeats(state.order)
        if order is not None and order == self._serving_orders.get(service) and not has_state:
            barred -= {order.to}
        unread = self._unread.get(service)
        if unread is not None:
            barred |= barred_versions(None, unread.state)
        self._barred[service] = barred

    def _serves_alone(self, service, version):
        """Returns whether a version is the only one to which requests went so far."""
        others = set(self._barred.get(service, ()))
        rollout = self._rollouts.get(service)
        if rollout is not None and not rollout.state.phase.has_ended:
            others.add(rollout.state.order.to)
        return self._versions[service].established - others == {version}
