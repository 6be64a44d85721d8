"""Cuts the connections to other gateways as lines say."""

import asyncio
import json
import os
import weakref

from cicadapond.forwarding import ConnectionPool
from cicadapond.peer.partition import Direction, Partition

READ_BYTES = 65536


class PartitionedPool(ConnectionPool):
    """Connections to other gateways; it makes none, and keeps none, to a port that is cut."""

    def __init__(self, partition: Partition, *args):
        super().__init__(*args)
        self._partition = partition
        self._ports: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    async def connect(self, server, endpoint, timeout):
        if self._partition.held_to(endpoint.port):
            await asyncio.sleep(timeout.total_seconds())
            return None
        conn = await super().connect(server, endpoint, timeout)
        if conn is not None:
            self._ports[conn] = endpoint.port
        return conn

    def close_cut(self) -> None:
        """Closes the connections to ports that are cut."""
        for conn, port in list(self._ports.items()):
            if self._partition.held_to(port):
                conn.close()


class Commands:
    """Cuts connections as the lines of a file say.

    Args:
      descriptor: The file's descriptor.
    """

    def __init__(self, descriptor: int):
        self.partition = Partition()
        self._descriptor = descriptor
        self._received = b""
        self._pools: list[PartitionedPool] = []
        os.set_blocking(descriptor, False)
        asyncio.get_running_loop().add_reader(descriptor, self._read)

    def make_pool(self, *args) -> PartitionedPool:
        """Returns a pool whose connections are cut too."""
        pool = PartitionedPool(self.partition, *args)
        self._pools.append(pool)
        return pool

    def _read(self):
        data = os.read(self._descriptor, READ_BYTES)
        if not data:
            asyncio.get_running_loop().remove_reader(self._descriptor)
        *lines, self._received = (self._received + data).split(b"\n")
        for line in lines:
            ports = {int(port): Direction[name] for port, name in json.loads(line).items()}
            self.partition.set_ports(ports)
            for pool in self._pools:
                pool.close_cut()
