"""The traffic split and the evidence of rollouts, in one process.

It answers the load of a service while a new version of its servers takes over its traffic.
"""

import random
import typing
from collections.abc import Mapping, Sequence

from cicadapond.gateway.data import ServerEntry
from cicadapond.kernel import Clock
from cicadapond.rollout._data import (
    ExposureBounds,
    Judgement,
    Observation,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutView,
    Verdict,
)


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
        self._states: dict[str, RolloutState] = {}

    def set_order(self, service: str, order: RolloutOrder | None) -> None:
        """Notes the order in force for a service, None if there is none."""
        if order is None:
            self._orders.pop(service, None)
        else:
            self._orders[service] = order

    def set_state(self, service: str, state: RolloutState | None) -> None:
        """Notes the state of a service's rollout, None if there is none or it is unreadable."""
        if state is None:
            self._states.pop(service, None)
        else:
            self._states[service] = state

    def allowed(
        self, service: str, route: str, servers: Sequence[ServerEntry]
    ) -> list[ServerEntry]:
        """Returns those of `servers` that a send of a request on `route` may use now."""
        order, state = self._orders.get(service), self._states.get(service)
        if state is not None and state.phase is Phase.COMPLETED:
            return [entry for entry in servers if entry.version == state.order.to] or list(servers)
        barred = {known.to for known in (order, state and state.order) if known is not None}
        return [entry for entry in servers if entry.version not in barred]

    def record_request(self, service: str, route: str) -> None:
        """Counts a request that a caller sent to the service; called once for each request."""

    def record_sent(self, entry: ServerEntry, route: str) -> None:
        """Counts a send to a server; called right before its first byte."""

    def record(self, seen: Observation) -> None:
        """Adds the outcome of a send to the evidence."""

    def is_stopped(self, entry: ServerEntry) -> bool:
        """Returns whether nothing more may be sent to the server, for its version."""
        return not self.allowed(entry.service, "", [entry])

    def reported(self) -> dict[str, tuple[int, ...]]:
        """Returns the running totals of this process, by an opaque key; they only grow."""
        return {}

    def apply(self, zone: str, totals: Mapping[str, tuple[int, ...]]) -> None:
        """Takes the sum of the totals of the other processes of a data centre."""

    def judgement(self, service: str) -> Judgement:
        """Returns the judgement of the new version, on this process's and heard evidence."""
        return Judgement(Verdict.CONTINUE)

    def view(
        self,
        service: str,
        old_servers: int,
        new_servers: int,
        in_flight_old: int = 0,
        in_flight_new: int = 0,
    ) -> RolloutView:
        """Returns what `next_state` needs to know of a service."""
        return RolloutView(
            old_servers,
            new_servers,
            in_flight_old,
            in_flight_new,
            judgement=self.judgement(service),
        )

    def state(self) -> dict[str, typing.Any]:
        """Returns the state as JSON values, for a dump."""
        return {}
