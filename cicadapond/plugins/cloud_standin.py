"""Adapters "standin" of the cloud API, the host list and the weight store: JSON over HTTP."""

import json
import urllib.parse

from cicadapond.kernel import AnswerLost, Ok, Unavailable
from cicadapond.plugins._storage_client import Reply, StorageClient
from cicadapond.provider import (
    CloudApi,
    HostList,
    Refused,
    WeightStore,
    cloud_apis,
    host_lists,
    weight_stores,
)
from cicadapond.standin._hosts_wire import (
    parse_host,
    parse_listing,
    parse_notice,
    parse_price,
    request_fields,
)

REFUSED = 409


@cloud_apis.register("standin")
class StandinCloud(CloudApi):
    """Client of the simulated cloud API."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def buy(self, request):
        body = json.dumps(request_fields(request)).encode()
        reply = await self._client.send("POST", "/v1/hosts", body, write=True)
        if not isinstance(reply, Reply):
            return reply
        if reply.status == REFUSED:
            return Refused(reply.body.decode("utf-8", "replace"))
        return Ok(parse_host(json.loads(reply.body)))

    async def release(self, host_id):
        path = "/v1/hosts/" + urllib.parse.quote(host_id)
        reply = await self._client.send("DELETE", path, write=True)
        return Ok(None) if isinstance(reply, Reply) else reply

    async def hosts(self, zone):
        return await _read(self._client, _with_zone("/v1/hosts", zone), _tuple_of(parse_host))

    async def prices(self):
        return await _read(self._client, "/v1/prices", _tuple_of(parse_price))

    async def notices(self, zone):
        return await _read(self._client, _with_zone("/v1/notices", zone), _tuple_of(parse_notice))


@host_lists.register("standin")
class StandinHostList(HostList):
    """Client of the simulated host list."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def list(self):
        return await _read(self._client, "/v1/list", parse_listing)


@weight_stores.register("standin")
class StandinWeights(WeightStore):
    """Client of the simulated weight store."""

    def __init__(self, cfg, zone, clock, metrics):
        self._client = StorageClient(cfg.url)

    async def size(self, model, version):
        query = urllib.parse.urlencode({"model": model, "version": version})
        return await _read(self._client, f"/v1/weights?{query}", lambda fields: fields["size"])

    async def rate(self):
        return await _read(self._client, "/v1/weights", lambda fields: fields["rate"])


def _with_zone(path, zone):
    return f"{path}?{urllib.parse.urlencode({'zone': zone})}"


def _tuple_of(parse):
    return lambda items: tuple(parse(item) for item in items)


async def _read(client, path, parse):
    """Reads a path; a response that cannot be parsed is Unavailable."""
    reply = await client.send("GET", path)
    if isinstance(reply, AnswerLost):
        return Unavailable(reply.reason)
    if isinstance(reply, Unavailable):
        return reply
    try:
        return Ok(parse(json.loads(reply.body)))
    except (KeyError, TypeError, ValueError) as exc:
        return Unavailable(f"GET {path}: malformed response: {exc!r}")
