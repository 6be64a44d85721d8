"""Table service adapter "standin": the simulated table service over HTTP, in msgpack."""

import msgpack

from cicadapond.kernel import AnswerLost, Conflict, Ok, Unavailable
from cicadapond.plugins._storage_client import Reply, StorageClient
from cicadapond.provider import Row, TableService, table_services

CONFLICT = 409


@table_services.register("standin")
class StandinTables(TableService):
    """Client of the simulated table service."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def transact(self, writes):
        fields = [[w.table, w.key, w.value, w.expected, w.check_only] for w in writes]
        reply = await self._client.send("POST", "/v1/transact", msgpack.packb(fields), write=True)
        if not isinstance(reply, Reply):
            return reply
        content = msgpack.unpackb(reply.body, strict_map_key=False)
        if reply.status == CONFLICT:
            return Conflict(_by_key(content))
        return Ok({(table, key): version for table, key, version in content})

    async def read(self, keys):
        content = await self._query("/v1/read", [list(key) for key in keys])
        return content if isinstance(content, Unavailable) else Ok(_by_key(content))

    async def scan(self, table, prefix="", after="", limit=1000):
        content = await self._query("/v1/scan", [table, prefix, after, limit])
        if isinstance(content, Unavailable):
            return content
        return Ok(tuple(Row(*fields) for fields in content))

    async def _query(self, path, fields):
        reply = await self._client.send("POST", path, msgpack.packb(fields))
        if isinstance(reply, AnswerLost):
            return Unavailable(reply.reason)
        if isinstance(reply, Unavailable):
            return reply
        return msgpack.unpackb(reply.body, strict_map_key=False)


def _by_key(content):
    rows = (Row(*fields) for fields in content)
    return {(row.table, row.key): row for row in rows}
