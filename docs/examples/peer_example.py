"""Uses the membership on its own: two members find each other and share digests.

Run with `python docs/examples/peer_example.py`. Both members run in this process, on loopback.
"""

import asyncio
import random
import socket

from cicadapond.data import Endpoint
from cicadapond.kernel import LoopClock, Metrics, TaskGroup
from cicadapond.peer import Digest, PeerSettings, PeerTask, TcpTransport


def free_endpoint():
    """Returns a loopback endpoint with a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Endpoint(*sock.getsockname())


async def main():
    """Starts two members and prints the first one's view of the second."""
    tasks = TaskGroup()
    endpoints = {"anna": free_endpoint(), "bert": free_endpoint()}
    peers = {}
    for name, endpoint in endpoints.items():
        cfg = PeerSettings(name, "yqr", endpoint, seeds=tuple(endpoints.values()))
        metrics = Metrics()
        transport = TcpTransport(metrics)
        peers[name] = PeerTask(cfg, transport, LoopClock(), metrics, random.Random(name))
        peers[name].start()
    received = asyncio.Event()

    def on_update(member):
        if member.digest.revision == 7:
            print(f"{member.name} in {member.zone} is {member.state.value}, revision 7")
            received.set()

    peers["anna"].subscribe(on_update)
    peers["bert"].publish(Digest(revision=7))
    for peer in peers.values():
        tasks.start(peer)
    await received.wait()
    await peers["bert"].leave()
    await tasks.stop()


if __name__ == "__main__":
    asyncio.run(main())
