"""Membership of the processes of the system, and the digests of their state that they exchange."""

from cicadapond.peer._api import Digest, Member, MemberState, NoPeers, Peers
from cicadapond.peer._membership import Membership
from cicadapond.peer._records import start_time_ms
from cicadapond.peer._settings import PeerSettings
from cicadapond.peer._task import PeerTask
from cicadapond.peer._tcp import TcpTransport
from cicadapond.peer._topology import hubs, owner, rank
from cicadapond.peer._transport import Link, MemoryNetwork, MemoryTransport, Transport

__all__ = [
    "Digest",
    "Link",
    "Member",
    "MemberState",
    "Membership",
    "MemoryNetwork",
    "MemoryTransport",
    "NoPeers",
    "PeerSettings",
    "PeerTask",
    "Peers",
    "TcpTransport",
    "Transport",
    "hubs",
    "owner",
    "rank",
    "start_time_ms",
]
