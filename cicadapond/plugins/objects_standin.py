"""Object store adapter "standin": the simulated object store over HTTP, one path per object."""

import urllib.parse

from cicadapond.kernel import AnswerLost, Ok, Unavailable
from cicadapond.plugins._storage_client import Reply, StorageClient
from cicadapond.provider import ObjectStore, object_stores

NOT_FOUND = 404


@object_stores.register("standin")
class StandinObjects(ObjectStore):
    """Client of the simulated object store."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def put(self, name, body):
        return _write_outcome(await self._client.send("PUT", _path(name), body, write=True))

    async def get(self, name):
        reply = await self._client.send("GET", _path(name))
        if isinstance(reply, AnswerLost):
            return Unavailable(reply.reason)
        if isinstance(reply, Unavailable):
            return reply
        return Ok(None if reply.status == NOT_FOUND else reply.body)

    async def delete(self, name):
        return _write_outcome(await self._client.send("DELETE", _path(name), write=True))


def _path(name):
    return "/v1/objects/" + urllib.parse.quote(name)


def _write_outcome(reply):
    return Ok(None) if isinstance(reply, Reply) else reply
