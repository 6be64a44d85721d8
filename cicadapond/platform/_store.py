"""The platform's store: rows with conditions, and feeds of tables."""

import base64
import binascii
import datetime
import json
import urllib.parse

import msgpack

from cicadapond.forwarding import HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.kernel import AnswerLost, Conflict, Ok, Unavailable
from cicadapond.provider import (
    ChangeFeed,
    Changes,
    HistoryLost,
    RawRow,
    Row,
    TableService,
    Write,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVER_TABLE = "servers"
# Rows of one transaction lie in one part; the product's own rows are few and all lie in this one.
PART = ""
PAGE_ROWS = 500
CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
# What a long poll may take beyond the wait that it asks for.
FEED_SLACK = datetime.timedelta(milliseconds=700)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_JSON = ((b"content-type", b"application/json"),)


class PlatformStore(TableService, ChangeFeed):
    """The store over HTTP.

    Args:
      client: Exchanges with the store's address.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def transact(self, writes):
        body = {
            "expected_revision": [
                _place(write) | {"ver": write.expected}
                for write in writes
                if write.expected is not None
            ],
            "writes": [
                _place(write) | {"value": _encode(write.value)}
                for write in writes
                if write.value is not None and not write.check_only
            ],
            "remove": [
                _place(write) for write in writes if write.value is None and not write.check_only
            ],
        }
        reply = await self._client.call(
            "POST", "/rows-tx", _JSON, json.dumps(body).encode(), CALL_TIMEOUT
        )
        found = _read(reply)
        if isinstance(found, ReplyLost):
            return AnswerLost(found.reason)
        if isinstance(found, Unavailable):
            return found
        if reply.status == 412:
            return Conflict(_rows_by_place(found))
        return Ok({(write.table, write.key): found["ver"] for write in writes})

    async def read(self, keys):
        tables = {table for table, _ in keys}
        if len(tables) != 1:
            return Unavailable("rows of several tables cannot be read at one instant")
        names = sorted(key for _, key in keys)
        found = await self._range(*tables, names[0], _just_after(names[-1]), PAGE_ROWS)
        if isinstance(found, Unavailable):
            return found
        rows = {(row.table, row.key): row for row in _own_rows(found)}
        return Ok({place: rows.get(place, Row(*place, 0, None)) for place in keys})

    async def scan(self, table, prefix="", after="", limit=1000):
        first = max(prefix, _just_after(after) if after else "")
        found = await self._range(table, first, None, min(limit, PAGE_ROWS))
        if isinstance(found, Unavailable):
            return found
        return Ok(tuple(row for row in _own_rows(found) if row.key.startswith(prefix)))

    async def snapshot(self, table):
        rows, first, version = [], "", None
        while True:
            found = await self._range(table, first, None, PAGE_ROWS)
            if isinstance(found, Unavailable):
                return found
            rows.extend(_raw_rows(found))
            # Rows of later pages may be newer; the feed tells their changes once more.
            version = found["ver"] if version is None else version
            if not found.get("has_more"):
                return Ok(Changes(tuple(rows), version, found["now_ms"] * _MILLISECOND))
            first = _just_after(rows[-1].key)

    async def changes(self, table, since, wait):
        query = {"table": table, "since_revision": since, "wait_ms": wait // _MILLISECOND}
        reply = await self._get("/rows-feed", query, wait + FEED_SLACK)
        if isinstance(reply, Reply) and reply.status == 410:
            return HistoryLost()
        found = _read(reply)
        if isinstance(found, ReplyLost):
            return Unavailable(found.reason)
        if isinstance(found, Unavailable):
            return found
        rows = tuple(_raw_rows(found))
        return Ok(Changes(rows, found["ver"], found["now_ms"] * _MILLISECOND))

    async def _range(self, table, first, end, limit):
        query = {"table": table, "part": PART, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        found = _read(await self._get("/rows-get", query, CALL_TIMEOUT))
        return Unavailable(found.reason) if isinstance(found, ReplyLost) else found

    async def _get(self, path, query, timeout):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._client.call("GET", target, (), b"", timeout)


def _read(reply) -> dict | Unavailable | ReplyLost:
    """Returns the body of an answer that the store gave, 412 included, else what it means."""
    match reply:
        case NoConnection():
            return Unavailable("no connection to the store")
        case ReplyLost():
            return reply
        case Reply(status=429):
            return Unavailable("the store is over its rate", CALL_TIMEOUT)
        case Reply(status=200 | 412, body=body):
            try:
                found = json.loads(body)
                found["ver"], found["now_ms"]
                return found
            except (ValueError, TypeError, KeyError) as exc:
                return ReplyLost(f"the store's answer cannot be read: {exc!r}")
    if reply.status == 503 or 400 <= reply.status < 500:
        return Unavailable(f"the store answers {reply.status}")
    return ReplyLost(f"the store answers {reply.status}")


def _place(write: Write):
    return {"table": write.table, "part": PART, "key": write.key}


def _encode(value):
    return base64.b64encode(msgpack.packb(value)).decode()


def _raw_rows(found):
    for row in found.get("rows", ()):
        deleted = row.get("deleted", False)
        try:
            value = None if deleted else base64.b64decode(row["value"], validate=True)
        except (binascii.Error, TypeError, KeyError):
            value = b""  # names nothing that can be read; the decoder of the table says so
        yield RawRow(row["key"], row.get("ver", 0), value)


def _own_rows(found):
    for row in found.get("rows", ()):
        if not row.get("deleted") and row.get("value") is not None:
            value = msgpack.unpackb(base64.b64decode(row["value"]), strict_map_key=False)
            yield Row(row["table"], row["key"], row["ver"], value)


def _rows_by_place(found):
    return {(row.table, row.key): row for row in _own_rows(found)}


def _just_after(key):
    return key + "\0"
