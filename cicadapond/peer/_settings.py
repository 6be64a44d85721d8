"""Settings of membership."""

import datetime

import attrs

from cicadapond.data import Endpoint
from cicadapond.kernel import at_least, setting

_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class PeerSettings:
    """How one process takes part in membership.

    Attributes:
      name: The process's name, unique among all processes of the system.
      zone: Its data centre.
      role: What it runs: "entry" or "controller".
      endpoint: The address that it listens on for other processes.
      seeds: Addresses dialled while no live process is known there.
      beat: The interval of heartbeats, and the shortest one of ordinary updates, in a data centre.
      relay_beat: The interval of heartbeats between data centres.
      silence: How long a connection may go without an acknowledgement before it is redialled, and a
        member without any contact before it is probed.
      suspicion: How long a suspect has to refute the suspicion before it counts as dead.
      sync: The interval at which versions are compared with one random member.
      forget: How long dead and left members are kept, so that old updates cannot revive them.
      relays: How many processes of a data centre connect to each of the other data centres.
      hubs: How many processes of a data centre all others of it connect to; the hubs are then also
        its relays.  If it is 0, every process connects to every other one of its data centre.
      seed_dials: How many seeds are dialled at the same time, 0 for all.
      wide_loads: The shortest interval at which changed loads are sent to other data centres.
      update_rate: The bytes of updates that this process sends in a second, 0 for no limit.  Those
        that wait are merged.
    """

    name: str
    zone: str
    endpoint: Endpoint
    role: str = "entry"
    seeds: tuple[Endpoint, ...] = ()
    beat: datetime.timedelta = _SECOND
    relay_beat: datetime.timedelta = _SECOND / 2
    silence: datetime.timedelta = 2.5 * _SECOND
    suspicion: datetime.timedelta = 2.5 * _SECOND
    sync: datetime.timedelta = 2 * _SECOND
    forget: datetime.timedelta = 600 * _SECOND
    relays: int = setting(default=2, check=at_least(1))
    wide_loads: datetime.timedelta = 10 * _SECOND
    seed_dials: int = setting(default=0, check=at_least(0))
    hubs: int = setting(default=0, check=at_least(0))
    update_rate: float = setting(default=0.0, check=at_least(0.0))
