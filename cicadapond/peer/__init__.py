"""Membership and digests: what the processes of the system tell one another."""

from cicadapond.peer._api import Digest, Member, MemberState, NoPeers, Peers

__all__ = ["Digest", "Member", "MemberState", "NoPeers", "Peers"]
