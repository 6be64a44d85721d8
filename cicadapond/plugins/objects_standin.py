"""Object store adapter "standin": the stand-in's HTTP face, an object a path."""

import urllib.parse

from cicadapond.kernel import AnswerLost, Ok, Unavailable
from cicadapond.plugins._storage_client import Reply, StorageClient
from cicadapond.provider import ObjectStore, object_stores

ABSENT = 404


@object_stores.register("standin")
class StandinObjects(ObjectStore):
    """The stand-in object store, reached over HTTP."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def put(self, name, body):
        return _done(await self._client.send("PUT", _path(name), body, write=True))

    async def get(self, name):
        reply = await self._client.send("GET", _path(name))
        if isinstance(reply, AnswerLost):
            return Unavailable(reply.reason)
        if isinstance(reply, Unavailable):
            return reply
        return Ok(None if reply.status == ABSENT else reply.body)

    async def delete(self, name):
        return _done(await self._client.send("DELETE", _path(name), write=True))


def _path(name):
    return "/v1/objects/" + urllib.parse.quote(name)


def _done(reply):
    return Ok(None) if isinstance(reply, Reply) else reply
