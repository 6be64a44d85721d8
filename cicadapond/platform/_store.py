"""Client of the platform's store: conditional transactions on rows, and change feeds of tables."""

import base64
import binascii
import datetime
import json
import operator
import urllib.parse

import attrs
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
    era_of,
    number_of,
    version_in_era,
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


@attrs.frozen
class _Answer:
    """A response of the store with status 200 or 412; the versions in its body lack its era."""

    status: int
    era: int
    payload: dict

    @property
    def version(self) -> int:
        """The newest version."""
        return version_in_era(self.era, self.payload["ver"])

    @property
    def service_time(self) -> datetime.timedelta:
        """The store's monotonic clock."""
        return self.payload["now_ms"] * _MILLISECOND

    def rows(self):
        """Returns each row with its version."""
        return [
            (row, version_in_era(self.era, row.get("ver", 0)))
            for row in self.payload.get("rows", ())
        ]


class PlatformStore(TableService, ChangeFeed):
    """The store, accessed over HTTP.

    All versions that it returns and takes include the store's era.  What was sent and answered in
    different eras is in doubt, and so is an answer that arrives when a newer era is known.

    Args:
      client: The HTTP client for the store's address.
      log: The event log.
      metrics: The metrics.
    """

    def __init__(self, client: HttpClient, log: EventLog, metrics: Metrics):
        self._client = client
        self._era = StoreEra(log, metrics)

    def era(self):
        return self._era.current or 0

    def hear_era(self, era):
        self._era.hear(era)

    async def transact(self, writes):
        conditions = [write for write in writes if write.expected is not None]
        for write in conditions:
            self._era.hear(era_of(write.expected))
        sent_in = self._era.current
        if any(write.expected and era_of(write.expected) < self.era() for write in conditions):
            return await self._conflict(conditions)
        body = {
            "expected_revision": [
                _row_address(write) | {"ver": number_of(write.expected)} for write in conditions
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
        answer = await self._call("POST", "/rows-tx", _JSON, json.dumps(body).encode())
        match answer:
            case _Answer(status=412):
                return Conflict(_rows_by_key(answer))
            case _Answer() if conditions and sent_in is not None and answer.era > sent_in:
                return AnswerLost("the store was restored meanwhile")
            case _Answer():
                return Ok({(write.table, write.key): answer.version for write in writes})
            case ReplyLost():
                return AnswerLost(answer.reason)
        return _as_unavailable(answer)

    async def _conflict(self, conditions):
        """Returns the conflict that expected versions of an earlier era are, or an outage."""
        current = {}
        for table in {write.table for write in conditions}:
            keys = tuple((table, write.key) for write in conditions if write.table == table)
            outcome = await self.read(keys)
            if not isinstance(outcome, Ok):
                return outcome
            current |= {key: row for key, row in outcome.value.items() if row.value is not None}
        return Conflict(current)

    async def read(self, keys):
        tables = {table for table, _ in keys}
        if len(tables) != 1:
            return Unavailable("one read cannot cover rows of several tables")
        names = sorted(key for _, key in keys)
        answer = await self._range(*tables, names[0], _just_after(names[-1]), PAGE_ROWS)
        if isinstance(answer, Unavailable):
            return answer
        rows, absent = _rows_by_key(answer), version_in_era(answer.era, 0)
        return Ok({key: rows.get(key, Row(*key, absent, None)) for key in keys})

    async def scan(self, table, prefix="", after="", limit=1000):
        first = max(prefix, _just_after(after) if after else "")
        answer = await self._range(table, first, None, min(limit, PAGE_ROWS))
        if isinstance(answer, Unavailable):
            return answer
        return Ok(tuple(row for row in _decoded_rows(answer) if row.key.startswith(prefix)))

    async def snapshot(self, table):
        rows, first, version = [], "", None
        while True:
            answer = await self._range(table, first, None, PAGE_ROWS)
            if isinstance(answer, Unavailable):
                return answer
            # Rows of later pages may be newer than this version; the feed repeats their changes.
            version = answer.version if version is None else version
            if era_of(version) != answer.era:
                return Unavailable("the store was restored between two pages of a table")
            rows.extend(_raw_rows(answer))
            if not answer.payload.get("has_more"):
                return Ok(Changes(tuple(rows), version, answer.service_time))
            first = _just_after(rows[-1].key)

    async def changes(self, table, since, wait):
        self._era.hear(era_of(since))
        if era_of(since) < self.era():
            return HistoryLost()
        query = {
            "table": table,
            "since_revision": number_of(since),
            "wait_ms": wait // _MILLISECOND,
        }
        answer = await self._get("/rows-feed", query, wait + FEED_TIMEOUT_MARGIN)
        match answer:
            case HistoryLost():
                return answer
            case _Answer(era=era) if era > era_of(since):
                return HistoryLost()
            case _Answer():
                rows = tuple(_raw_rows(answer))
                return Ok(Changes(rows, answer.version, answer.service_time))
        return _as_unavailable(answer)

    async def _range(self, table, first, end, limit):
        query = {"table": table, "part": PART, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        answer = await self._get("/rows-get", query, CALL_TIMEOUT)
        return answer if isinstance(answer, _Answer) else _as_unavailable(answer)

    async def _get(self, path, query, timeout):
        return await self._call("GET", f"{path}?{urllib.parse.urlencode(query)}", timeout=timeout)

    async def _call(self, method, target, headers=(), body=b"", timeout=CALL_TIMEOUT):
        """Returns an `_Answer`, or the outcome of a call that brought none."""
        sent_in = self._era.current
        reply = await self._client.call(method, target, headers, body, timeout)
        if not isinstance(reply, Reply):
            return reply
        payload = _parse_reply(reply)
        version = payload["ver"] if isinstance(payload, dict) else None
        era = self._era.observe(parse_store_era(reply.headers), version, sent_in)
        if era < self._era.current and isinstance(payload, dict | HistoryLost):
            reason = "the answer is older than the restore of the store"
            return ReplyLost(reason) if reply.status == 200 else Unavailable(reason)
        return _Answer(reply.status, era, payload) if isinstance(payload, dict) else payload


def _as_unavailable(outcome) -> Unavailable:
    """Returns the outcome of a call that may simply be made again."""
    match outcome:
        case NoConnection():
            return Unavailable("no connection to the store")
        case ReplyLost(reason=reason):
            return Unavailable(reason)
        case HistoryLost():
            return Unavailable("the store answered 410")
    return outcome


def _parse_reply(reply: Reply) -> dict | HistoryLost | Unavailable | ReplyLost:
    """Returns the body of a reply with status 200 or 412, else the outcome that it means."""
    match reply:
        case Reply(status=410):
            return HistoryLost()
        case Reply(status=429):
            return Unavailable("the store answered 429: rate limit exceeded", CALL_TIMEOUT)
        case Reply(status=200 | 412, body=body):
            try:
                payload = json.loads(body)
                operator.index(payload["ver"]), payload["now_ms"]
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


def _raw_rows(answer):
    for row, version in answer.rows():
        deleted = row.get("deleted", False)
        try:
            value = None if deleted else base64.b64decode(row["value"], validate=True)
        except (binascii.Error, TypeError, KeyError):
            value = b""  # not decodable, so the table's decoder reports a finding
        yield RawRow(row["key"], version, value)


def _decoded_rows(answer):
    for row, version in answer.rows():
        if not row.get("deleted") and row.get("value") is not None:
            value = _decode_value(row["table"], row["value"])
            yield Row(row["table"], row["key"], version, value)


def _decode_value(table, raw):
    """Returns the value of a row of the product's own, None if the bytes are none."""
    try:
        decoded = base64.b64decode(raw)
        if table in JSON_TABLES:
            return json.loads(decoded)
        return msgpack.unpackb(decoded, strict_map_key=False)
    except (binascii.Error, TypeError, ValueError, msgpack.exceptions.UnpackException):
        return None


def _rows_by_key(answer):
    return {(row.table, row.key): row for row in _decoded_rows(answer)}


def _just_after(key):
    return key + "\0"
