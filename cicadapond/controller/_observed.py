"""The input of a decision: the actual state, as read just before."""

import datetime
import typing

import attrs

from cicadapond.capacity import PoolLoad
from cicadapond.data import BackendServer, EngineState
from cicadapond.provider import CloudHost, Price


@attrs.frozen
class ObservedServer:
    """One backend server of the controller's own zone.

    Attributes:
      server: The backend server.
      state: The engine's state, None for a plain service or if it could not be read.
      in_flight: Requests on it, as counted by the entries.
      drained: Whether all processes have acknowledged its drain and have nothing in flight.
      draining: Whether this controller has begun to drain it.
      being_reclaimed: Whether its host is being reclaimed.
      drain_ordered: Whether an operator has ordered its drain.
    """

    server: BackendServer
    state: EngineState | None = None
    in_flight: int = 0
    drained: bool = False
    draining: bool = False
    being_reclaimed: bool = False
    drain_ordered: bool = False


@attrs.frozen
class ObservedState:
    """The actual state at one monotonic time.

    Attributes:
      now: The monotonic time of the reading.
      zone: The controller's zone.
      servers: The backend servers of the zone.
      hosts: The hosts of all zones, None while the cloud API cannot be read; no host is bought
        or released then.
      prices: The offers of the cloud, None while they cannot be read; as for `hosts`.
      loads: Running and waiting requests by pool, over all zones.
      ready_elsewhere: By model and version, the number of engines in other zones that serve it.
      weight_rate: The weight store's rate in bytes per second, None if unknown.
      weight_sizes: Sizes of weights in bytes by model and version.
    """

    now: datetime.timedelta
    zone: str
    servers: tuple[ObservedServer, ...] = ()
    hosts: tuple[CloudHost, ...] | None = None
    prices: tuple[Price, ...] | None = None
    loads: typing.Mapping[str, PoolLoad] = attrs.field(factory=dict)
    ready_elsewhere: typing.Mapping[tuple[str, str], int] = attrs.field(factory=dict)
    weight_rate: float | None = None
    weight_sizes: typing.Mapping[tuple[str, str], int] = attrs.field(factory=dict)
