"""Simulated membership for experiments: a full mesh whose links can be cut."""

import datetime

from cicadapond.kernel import Ok, Unavailable, seconds
from cicadapond.peer import Digest, Member, MemberState, Peers

HEARTBEAT_INTERVAL = seconds(0.5)
LINK_LATENCY = seconds(0.002)
REQUEST_TIMEOUT = seconds(1)
FAILURE_TIMEOUT = seconds(3)


class Mesh:
    """The links between all processes; pairs of data centres can be cut off from each other."""

    def __init__(self, clock):
        self.clock = clock
        self.nodes: dict[str, MeshPeers] = {}
        self.cut_zone_pairs: set[frozenset] = set()

    def are_connected(self, one: "MeshPeers", other: "MeshPeers") -> bool:
        """Returns whether two processes can reach each other directly."""
        return (
            one.zone == other.zone or frozenset((one.zone, other.zone)) not in self.cut_zone_pairs
        )

    def reachable(self, name: str) -> list["MeshPeers"]:
        """Returns all processes that a process can reach, directly or through others."""
        found = {name}
        frontier = [self.nodes[name]]
        while frontier:
            node = frontier.pop()
            for other in self.nodes.values():
                if other.name not in found and self.are_connected(node, other):
                    found.add(other.name)
                    frontier.append(other)
        return [self.nodes[name] for name in found]

    def join(self, name: str, zone: str, role: str = "entry") -> "MeshPeers":
        """Adds a process, replacing any other of the same name; returns its membership."""
        self.nodes[name] = MeshPeers(self, name, zone, role)
        return self.nodes[name]


class MeshPeers(Peers):
    """One process's membership; `run_heartbeat` is its heartbeat loop."""

    def __init__(self, mesh: Mesh, name: str, zone: str, role: str):
        self.name = name
        self.zone = zone
        self.role = role
        self.digest = Digest()
        self._mesh = mesh
        self._members: dict[str, Member] = {}
        self._listeners = []
        self._handlers = {}
        self._version = 0

    def members(self):
        now = self._mesh.clock.monotonic()
        return tuple(
            member
            for name, member in sorted(self._members.items())
            if now - member.last_heard < FAILURE_TIMEOUT
        )

    def publish(self, digest):
        self._version += 1
        self.digest = digest

    def subscribe(self, listener):
        self._listeners.append(listener)

    def last_heard_from_zone(self, zone) -> datetime.timedelta | None:
        heard = [member.last_heard for member in self._members.values() if member.zone == zone]
        return max(heard, default=None)

    def register_handler(self, topic, handler):
        self._handlers[topic] = handler

    async def query(self, member, topic, payload):
        await self._mesh.clock.sleep(LINK_LATENCY)
        node = self._mesh.nodes.get(member)
        if node is None or not self._mesh.are_connected(self, node) or topic not in node._handlers:
            await self._mesh.clock.sleep(REQUEST_TIMEOUT)
            return Unavailable(f"{member} does not answer")
        return Ok(node._handlers[topic](payload))

    async def run_heartbeat(self) -> None:
        """Sends the digest to every directly reachable process, until cancelled."""
        while True:
            for node in list(self._mesh.nodes.values()):
                if node is not self and self._mesh.are_connected(self, node):
                    node._receive_digest(self)
            await self._mesh.clock.sleep(HEARTBEAT_INTERVAL)

    def _receive_digest(self, node):
        now = self._mesh.clock.monotonic()
        known = self._members.get(node.name)
        member = Member(
            node.name, node.zone, node.role, 0, MemberState.ALIVE, now, node._version, node.digest
        )
        self._members[node.name] = member
        if known is None or known.digest != member.digest:
            for listener in self._listeners:
                listener(member)
