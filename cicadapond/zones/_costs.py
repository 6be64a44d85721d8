"""What it costs a request to be served in another data centre, in milliseconds; no I/O.

Load condition: demand is uneven between data centres and moves, or one is cut off or has lost its
servers.  Requests that may leave are a planned share of all; they are spread evenly over time.  Any
other request leaves only if it would else begin later by a good part of its callers' objective.
"""

import collections
import datetime
import typing

import attrs

from cicadapond.kernel import Clock
from cicadapond.zones._flows import ZoneLoad, plan_shares

# The distance before any is measured, and how many of the latest connects count.  The shortest
# counts, as slow hosts lengthen the others.
INITIAL_DISTANCE_MS = 1.8
DISTANCE_SAMPLES = 16
# What a kilobyte takes on a link of 16 Mbit/s, among those of 5 to 100 Mbit/s that hosts have.
KILOBYTE_MS = 0.5
# Shares rise and fall with these half-lives: they follow a jump of demand within a second or two,
# and not the noise of single reports.
RISE_HALF_LIFE = datetime.timedelta(milliseconds=500)
FALL_HALF_LIFE = datetime.timedelta(milliseconds=1500)
# Shares below this count as none.
MIN_SHARE = 0.01
# The most planned departures that a process saves up while it has no use for them.
MAX_CREDIT = 2.0
# Of all requests, this share may leave beyond the plan if that spares them URGENT_WAIT of their
# objective: their engines are slower, or busier, than the reports say.
URGENT_SHARE = 0.1
URGENT_WAIT = 0.25
# Further ones leave only if that spares them this share of their objective.
UNPLANNED_WAIT = 1.0
# The objective of a service that no route names.
DEFAULT_OBJECTIVE_MS = 1000.0
# A data centre that has not been heard from for this long takes no requests.
SILENCE = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define
class _Flow:
    """The requests of one service that leave for one data centre."""

    target: float = 0.0
    share: float = 0.0
    credit: float = 0.0
    urgent_credit: float = 0.0


@attrs.define
class _ServiceFlows:
    updated_at: datetime.timedelta
    objective_ms: float = DEFAULT_OBJECTIVE_MS
    sending: set[str] = attrs.field(factory=set)
    flows: dict[str, _Flow] = attrs.field(factory=dict)


class ZoneCosts:
    """Decides for one process how many requests leave its data centre, and where to.

    Args:
      clock: Gives the time.
      zone: This process's data centre.
    """

    def __init__(self, clock: Clock, zone: str):
        self._clock = clock
        self._zone = zone
        self._services: dict[str, _ServiceFlows] = {}
        self._distances: dict[str, collections.deque] = {}

    def update(
        self,
        service: str,
        loads: typing.Mapping[str, ZoneLoad],
        ages: typing.Mapping[str, datetime.timedelta],
        objective: datetime.timedelta | None = None,
    ) -> None:
        """Plans the shares of a service anew; from now on the costs apply to it.

        Args:
          service: The service.
          loads: The load of each data centre.
          ages: How long ago each other data centre was heard from; those that were not, or too long
            ago, take no requests.
          objective: The shortest objective of the routes to the service.
        """
        now = self._clock.monotonic()
        state = self._services.setdefault(service, _ServiceFlows(now))
        if objective is not None:
            state.objective_ms = objective / _MILLISECOND
        heard = {
            zone: load
            for zone, load in loads.items()
            if zone == self._zone or ages.get(zone, SILENCE) < SILENCE
        }
        shares = plan_shares(heard, state.sending)
        state.sending = {sender for sender, _ in shares}
        for zone in loads:
            if zone != self._zone:
                state.flows.setdefault(zone, _Flow())
        elapsed, state.updated_at = now - state.updated_at, now
        for zone, flow in state.flows.items():
            flow.target = shares.get((self._zone, zone), 0.0)
            half_life = RISE_HALF_LIFE if flow.target > flow.share else FALL_HALF_LIFE
            flow.share = flow.target + (flow.share - flow.target) * 0.5 ** (elapsed / half_life)
            if zone not in heard or (flow.target == 0.0 and flow.share < MIN_SHARE):
                flow.share = flow.credit = 0.0

    def remove(self, service: str) -> None:
        """Ends the costs of a service."""
        self._services.pop(service, None)

    def is_on(self, service: str) -> bool:
        """Returns whether the costs apply to a service."""
        return service in self._services

    def record_connect(self, zone: str, took: datetime.timedelta) -> None:
        """Records how long it took to connect to a server of a data centre."""
        samples = self._distances.setdefault(zone, collections.deque(maxlen=DISTANCE_SAMPLES))
        samples.append(took / _MILLISECOND)

    def distance_ms(self, zone: str) -> float:
        """Returns how much longer a request takes to another data centre than in the own one."""
        there, here = self._distances.get(zone), self._distances.get(self._zone)
        if not there:
            return INITIAL_DISTANCE_MS
        return max(0.0, min(there) - (min(here) if here else 0.0))

    def cost_ms(self, service: str, zone: str, size: int) -> float:
        """Returns what it costs a request to be served in a data centre, 0 in the own one.

        Args:
          service: The service.
          zone: The data centre of the server.
          size: The bytes of the request and its response.
        """
        if zone == self._zone:
            return 0.0
        cost = self.distance_ms(zone) + KILOBYTE_MS * size / 1000
        state = self._services[service]
        flow = state.flows.get(zone)
        if flow is not None and flow.credit >= 1.0:
            return cost
        if flow is not None and flow.urgent_credit >= 1.0:
            return cost + URGENT_WAIT * state.objective_ms
        return cost + UNPLANNED_WAIT * state.objective_ms

    def record_placed(self, service: str, zone: str) -> str:
        """Counts a request that was placed; returns why it was placed there, for metrics."""
        state = self._services[service]
        reason = "own"
        if zone != self._zone:
            flow = state.flows.setdefault(zone, _Flow())
            if flow.credit >= 1.0:
                flow.credit -= 1.0
                reason = "planned"
            elif flow.urgent_credit >= 1.0:
                flow.urgent_credit -= 1.0
                reason = "urgent"
            else:
                reason = "unplanned"
        for flow in state.flows.values():
            flow.credit = min(MAX_CREDIT, flow.credit + flow.share)
            flow.urgent_credit = min(MAX_CREDIT, flow.urgent_credit + URGENT_SHARE)
        return reason

    def shares(self, service: str) -> dict[str, float]:
        """Returns the share of the requests that is to leave for each other data centre."""
        state = self._services.get(service)
        return {} if state is None else {zone: flow.share for zone, flow in state.flows.items()}

    def state(self) -> dict:
        """Returns the shares and distances, for a dump."""
        return {
            "distance_ms": {zone: round(self.distance_ms(zone), 2) for zone in self._distances},
            "shares": {
                service: {zone: round(share, 3) for zone, share in self.shares(service).items()}
                for service in self._services
            },
        }
