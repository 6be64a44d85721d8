"""Drains a server: it may stop once all processes have acknowledged and none has work there.

Run with `python docs/examples/drain_example.py`.
"""

import asyncio

from cicadapond.drain import LeavingServers, StopDecider
from cicadapond.kernel import LoopClock, seconds
from cicadapond.peer import Digest, Member, MemberState, NoPeers

SERVER = "engine-1"


class OnePeer(NoPeers):
    """A stubbed membership with one other process; see peer_example.py for a real one."""

    def __init__(self):
        self.digest = Digest(in_flight={SERVER: 1})

    def members(self):
        alive = MemberState.ALIVE
        return (Member("bert", "yqr", "entry", 1, alive, seconds(0), 1, self.digest),)


async def main():
    """Drains a server and prints what the drain is still waiting for."""
    clock, peers = LoopClock(), OnePeer()
    book, others_book = LeavingServers(clock), LeavingServers(clock)
    view = StopDecider("yqr", book, peers, Digest, clock)
    view.begin(SERVER)
    print(f"{SERVER}:", *view.may_stop(SERVER, 1).waiting_for, sep="\n  ")
    # as bert does on receiving our digest
    others_book.merge(SERVER, book.assigned_numbers()[SERVER])
    peers.digest = Digest(in_flight={SERVER: 1}, drains=others_book.numbers_to_acknowledge())
    print("acknowledged:", *view.may_stop(SERVER, 1).waiting_for, sep="\n  ")
    peers.digest = Digest(drains=others_book.numbers_to_acknowledge())
    print("may stop:", view.may_stop(SERVER, 0).allowed)


if __name__ == "__main__":
    asyncio.run(main())
