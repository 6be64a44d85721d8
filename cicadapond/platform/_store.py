"""Client of the platform's store: conditional transactions on rows, and change feeds of tables."""

import base64
import binascii
import datetime
import json
import urllib.parse

import msgpack

from cicadapond.eventlog import EventLog
from cicadapond.forwarding import HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.kernel import AnswerLost, Conflict, Metrics, Ok, Unavailable
from cicadapond.platform._era import StoreEra
from cicadapond.platform._headers import parse_store_era
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
STATUS_TABLE = "status"
# Tables whose rows the product writes for the operator, in JSON; its own rows are msgpack.
JSON_TABLES = frozenset((STATUS_TABLE,))
# A transaction is limited to one part.  The product's own rows are few and are all in this one.
PART = ""
PAGE_ROWS = 500
CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
# How much longer than the requested wait a long poll may take.
FEED_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=700)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_JSON = ((b"content-type", b"application/json"),)


class PlatformStore(TableService, ChangeFeed):
    """The store, accessed over HTTP.

    Args:
      client: The HTTP client for the store's address.
      log: The event log.
      metrics: The metrics.
    """

    def __init__(self, client: HttpClient, log: EventLog, metrics: Metrics):
        self._client = client
        self._era = StoreEra(log, metrics)

    @property
    def era(self):
        return self._era.current or 0

    async def transact(self, writes):
        body = {
            "expected_revision": [
                _row_address(write) | {"ver": write.expected}
                for write in writes
                if write.expected is not None
            ],
            "writes": [
                _row_address(write) | {"value": _encode_value(write)}
                for write in writes
                if write.value is not None and not write.check_only
            ],
            "remove": [
                _row_address(write)
                for write in writes
                if write.value is None and not write.check_only
            ],
        }
        reply = await self._client.call(
            "POST", "/rows-tx", _JSON, json.dumps(body).encode(), CALL_TIMEOUT
        )
        payload = self._parse(reply)
        if isinstance(payload, ReplyLost):
            return AnswerLost(payload.reason)
        if isinstance(payload, Unavailable):
            return payload
        if reply.status == 412:
            return Conflict(_rows_by_key(payload))
        return Ok({(write.table, write.key): payload["ver"] for write in writes})

    async def read(self, keys):
        tables = {table for table, _ in keys}
        if len(tables) != 1:
            return Unavailable("one read cannot cover rows of several tables")
        names = sorted(key for _, key in keys)
        payload = await self._range(*tables, names[0], _just_after(names[-1]), PAGE_ROWS)
        if isinstance(payload, Unavailable):
            return payload
        rows = {(row.table, row.key): row for row in _decoded_rows(payload)}
        return Ok({key: rows.get(key, Row(*key, 0, None)) for key in keys})

    async def scan(self, table, prefix="", after="", limit=1000):
        first = max(prefix, _just_after(after) if after else "")
        payload = await self._range(table, first, None, min(limit, PAGE_ROWS))
        if isinstance(payload, Unavailable):
            return payload
        return Ok(tuple(row for row in _decoded_rows(payload) if row.key.startswith(prefix)))

    async def snapshot(self, table):
        rows, first, version = [], "", None
        while True:
            payload = await self._range(table, first, None, PAGE_ROWS)
            if isinstance(payload, Unavailable):
                return payload
            rows.extend(_raw_rows(payload))
            # Rows of later pages may be newer than this version; the feed repeats their changes.
            version = payload["ver"] if version is None else version
            if not payload.get("has_more"):
                return Ok(Changes(tuple(rows), version, payload["now_ms"] * _MILLISECOND))
            first = _just_after(rows[-1].key)

    async def changes(self, table, since, wait):
        query = {"table": table, "since_revision": since, "wait_ms": wait // _MILLISECOND}
        reply = await self._get("/rows-feed", query, wait + FEED_TIMEOUT_MARGIN)
        payload = self._parse(reply)
        if isinstance(reply, Reply) and reply.status == 410:
            return HistoryLost()
        if isinstance(payload, ReplyLost):
            return Unavailable(payload.reason)
        if isinstance(payload, Unavailable):
            return payload
        rows = tuple(_raw_rows(payload))
        return Ok(Changes(rows, payload["ver"], payload["now_ms"] * _MILLISECOND))

    def _parse(self, reply):
        payload = _parse_reply(reply)
        if isinstance(reply, Reply):
            version = payload["ver"] if isinstance(payload, dict) else None
            self._era.observe(parse_store_era(reply.headers), version)
        return payload

    async def _range(self, table, first, end, limit):
        query = {"table": table, "part": PART, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        payload = self._parse(await self._get("/rows-get", query, CALL_TIMEOUT))
        return Unavailable(payload.reason) if isinstance(payload, ReplyLost) else payload

    async def _get(self, path, query, timeout):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._client.call("GET", target, (), b"", timeout)


def _parse_reply(reply) -> dict | Unavailable | ReplyLost:
    """Returns the body of a reply with status 200 or 412, else the outcome that the reply means."""
    match reply:
        case NoConnection():
            return Unavailable("no connection to the store")
        case ReplyLost():
            return reply
        case Reply(status=429):
            return Unavailable("the store answered 429: rate limit exceeded", CALL_TIMEOUT)
        case Reply(status=200 | 412, body=body):
            try:
                payload = json.loads(body)
                payload["ver"], payload["now_ms"]
                return payload
            except (ValueError, TypeError, KeyError) as exc:
                return ReplyLost(f"the store's reply is malformed: {exc!r}")
    if reply.status == 503 or 400 <= reply.status < 500:
        return Unavailable(f"the store answered {reply.status}")
    return ReplyLost(f"the store answered {reply.status}")


def _row_address(write: Write):
    return {"table": write.table, "part": PART, "key": write.key}


def _encode_value(write: Write):
    if write.table in JSON_TABLES:
        raw = json.dumps(write.value).encode()
    else:
        raw = msgpack.packb(write.value)
    return base64.b64encode(raw).decode()


def decode_own_row(raw: bytes) -> object | None:
    """Returns the value of one of the product's own rows, None if it cannot be decoded."""
    try:
        return msgpack.unpackb(raw, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        return None


def _raw_rows(payload):
    for row in payload.get("rows", ()):
        deleted = row.get("deleted", False)
        try:
            value = None if deleted else base64.b64decode(row["value"], validate=True)
        except (binascii.Error, TypeError, KeyError):
            value = b""  # not decodable, so the table's decoder reports a finding
        yield RawRow(row["key"], row.get("ver", 0), value)


def _decoded_rows(payload):
    for row in payload.get("rows", ()):
        if not row.get("deleted") and row.get("value") is not None:
            value = _decode_value(row["table"], row["value"])
            yield Row(row["table"], row["key"], row["ver"], value)


def _decode_value(table, raw):
    """Returns the value of a row of the product's own, None if the bytes are none."""
    try:
        decoded = base64.b64decode(raw)
        if table in JSON_TABLES:
            return json.loads(decoded)
        return msgpack.unpackb(decoded, strict_map_key=False)
    except (binascii.Error, TypeError, ValueError, msgpack.exceptions.UnpackException):
        return None


def _rows_by_key(payload):
    return {(row.table, row.key): row for row in _decoded_rows(payload)}


def _just_after(key):
    return key + "\0"
