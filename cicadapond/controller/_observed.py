"""What a controller knows when it decides: the real state, as read just before."""

import datetime
import typing

import attrs

from cicadapond.capacity import PoolLoad
from cicadapond.data import BackendServer, EngineState
from cicadapond.provider import CloudHost, Price


@attrs.frozen
class ServerSeen:
    """One backend server of the controller's own zone.

    Attributes:
      server: The backend server.
      state: What it runs, None if it could not be read or does not say.
      in_flight: Requests on it by the entries' count.
      drained: Whether it is known everywhere to be leaving, with nothing in flight.
      draining: Whether this controller has it drained.
      noticed: Whether its host is reclaimed.
      ordered: Whether an operator has ordered it to be drained.
    """

    server: BackendServer
    state: EngineState | None = None
    in_flight: int = 0
    drained: bool = False
    draining: bool = False
    noticed: bool = False
    ordered: bool = False


@attrs.frozen
class Observed:
    """The real state at one monotonic instant.

    `hosts` and `prices` are None while the cloud cannot be read; then nothing is decided that
    needs it.  `loads` gives the requests running and waiting by pool, over all zones.
    `ready_elsewhere` gives, by model and version, the engines of other zones that serve it.
    """

    now: datetime.timedelta
    zone: str
    servers: tuple[ServerSeen, ...] = ()
    hosts: tuple[CloudHost, ...] | None = None
    prices: tuple[Price, ...] | None = None
    loads: typing.Mapping[str, PoolLoad] = attrs.field(factory=dict)
    ready_elsewhere: typing.Mapping[tuple[str, str], int] = attrs.field(factory=dict)
    weight_rate: float | None = None
    weight_sizes: typing.Mapping[tuple[str, str], int] = attrs.field(factory=dict)
