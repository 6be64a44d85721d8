"""Settings and dependencies of a controller; whatever needs a socket is passed in."""

import datetime
import random
import typing

import attrs

from cicadapond.backend import Engine
from cicadapond.controller._drains import Drains
from cicadapond.controller._operator_drains import OperatorDrains
from cicadapond.data import BackendServer
from cicadapond.document import Intent
from cicadapond.kernel import Clock, Metrics, seconds, setting
from cicadapond.peer import Peers
from cicadapond.provider import CloudApi, HostList, WeightStore


@attrs.frozen
class ControlSettings:
    """Intervals and limits of the control loop.

    `order_limit` and `read_limit` are timeouts of one order and one read.  `order_limit` has to be
    shorter than the lease's margin.
    """

    interval: datetime.timedelta = setting(default=seconds(1))
    order_limit: datetime.timedelta = setting(default=seconds(0.8))
    read_limit: datetime.timedelta = setting(default=seconds(2))
    buys_at_once: int = setting(default=16)


class Lease(typing.Protocol):
    """The part of a data centre's lease that the controller uses."""

    def grant(self):
        """Returns the current grant with its `fencing` number, or None if the lease is not held."""


@attrs.define
class ControlParts:
    """The dependencies of one controller."""

    zone: str
    cfg: ControlSettings
    clock: Clock
    metrics: Metrics
    rng: random.Random
    intent: typing.Callable[[], Intent]
    lease: Lease
    peers: Peers
    drains: Drains
    hosts: HostList
    engine: typing.Callable[[BackendServer], Engine]
    cloud: CloudApi | None = None
    weights: WeightStore | None = None
    operator_drains: OperatorDrains | None = None
