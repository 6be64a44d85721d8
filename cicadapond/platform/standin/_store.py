"""An in-memory stand-in of the platform's store: transactions, range reads and change feeds."""

import asyncio
import base64
import datetime
import json
import typing
import urllib.parse

import attrs
import tornado.web

from cicadapond.forwarding import HttpClient, NoConnection, Reply
from cicadapond.kernel import Clock

MAX_WAIT_MS = 30_000
ERA_HEADER = "Store-Era"


@attrs.define
class StoredRow:
    """One row; `value` is base64 text, None if the row is deleted."""

    table: str
    part: str
    key: str
    value: str | None
    version: int

    def as_json(self, view=None):
        """Returns the row in its wire format, with its value as a view shows it."""
        address = {"table": self.table, "part": self.part, "key": self.key, "ver": self.version}
        if self.value is None:
            return address | {"deleted": True}
        return address | {"value": view(self) if view is not None else self.value}


@attrs.frozen
class StoreCopy:
    """The rows of a store, and its newest version, as of a moment."""

    rows: tuple[StoredRow, ...]
    version: int


class StoreModel:
    """The rows, and the faults in force.

    Attributes:
      version: The newest version.
      era: How often it has been restored from a copy; responses tell it if it is not 0.
      is_down: Every call is answered 503 and has no effect.
      drops_responses: Writes are carried out, but their responses are not sent.
      clock_step_ms: Offset of its steady clock, negative if it has been set back.
      oldest_version: The oldest version from which the feed can continue.
      calls: Number of calls received, by path.
    """

    def __init__(self, clock):
        self._clock = clock
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._changed = asyncio.Event()
        self.version = 0
        self.era = 0
        self.is_down = False
        self.drops_responses = False
        self.clock_step_ms = 0
        self.oldest_version = 0
        self.calls: dict[str, int] = {}

    def put(self, table: str, key: str, value) -> None:
        """Writes a row without conditions, as an operator or a server does; None deletes it."""
        raw = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        self.transact([], [(table, "", key, raw)])

    def transact(self, conditions, writes) -> list[StoredRow] | None:
        """Applies writes if all conditions hold.

        Args:
          conditions: (table, part, key, version) each.
          writes: (table, part, key, value in bytes or None) each.

        Returns:
          None if the writes were applied, else the current rows that the conditions name.
        """
        current = [self._rows.get((table, part, key)) for table, part, key, _ in conditions]
        for row, (_, _, _, version) in zip(current, conditions, strict=True):
            if (row.version if row is not None and row.value is not None else 0) != version:
                return [row for row in current if row is not None]
        self.version += 1
        for table, part, key, raw in writes:
            value = base64.b64encode(raw).decode() if raw is not None else None
            self._rows[table, part, key] = StoredRow(table, part, key, value, self.version)
        self._notify()
        return None

    def copy(self) -> StoreCopy:
        """Returns a copy of all rows, for `restore`."""
        return StoreCopy(tuple(self._rows.values()), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy: later writes are lost, and their versions are given out again."""
        self._rows = {(row.table, row.part, row.key): row for row in copy.rows}
        self.version = copy.version
        self.era += 1
        self._notify()

    def has_history(self, since: int) -> bool:
        """Returns whether the changes after a version are known."""
        return self.oldest_version <= since <= self.version

    def rows(self, table: str, first: str, end: str | None) -> list[StoredRow]:
        """Returns the rows of a table with `first` <= key < `end`, sorted by key."""
        found = [
            row
            for row in self._rows.values()
            if row.table == table and row.value is not None and row.key >= first
        ]
        return sorted(
            (row for row in found if end is None or row.key < end), key=lambda row: row.key
        )

    async def changes(self, table: str, since: int, wait_ms: int) -> list[StoredRow]:
        """Returns the rows changed after version `since`; waits up to `wait_ms` for a change."""
        try:
            async with asyncio.timeout(min(wait_ms, MAX_WAIT_MS) / 1000):
                while not (changed_rows := self._changed_since(table, since)):
                    if not self.has_history(since):
                        return []
                    await self._changed.wait()
        except TimeoutError:
            # A change may have arrived at the same time, and the response carries its version.
            return self._changed_since(table, since)
        return changed_rows

    def now_ms(self) -> int:
        """Returns the time of the store's steady clock."""
        return round(self._clock.monotonic().total_seconds() * 1000) + self.clock_step_ms

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _changed_since(self, table, since):
        changed_rows = [r for r in self._rows.values() if r.table == table and r.version > since]
        return sorted(changed_rows, key=lambda row: row.version)


async def respond(
    model: StoreModel, path: str, arguments: typing.Mapping[str, str], body: bytes, view=None
) -> tuple[int, dict]:
    """Returns the status of the response to a call, and its body, empty if it has none.

    Args:
      model: The store.
      path: The path of the call.
      arguments: The arguments of its query.
      body: Its body.
      view: See `store_application`.
    """
    model.calls[path] = model.calls.get(path, 0) + 1
    if model.is_down:
        return 503, {}
    status, rows, more = await _CALLS[path](model, arguments, body)
    shown = [row.as_json(view) for row in rows]
    return status, {"ver": model.version, "now_ms": model.now_ms(), "rows": shown} | more


async def _transact(model, arguments, body):
    call = json.loads(body)
    conditions = [(c["table"], c["part"], c["key"], c["ver"]) for c in call["expected_revision"]]
    writes = [
        (w["table"], w["part"], w["key"], base64.b64decode(w["value"])) for w in call["writes"]
    ]
    writes += [(r["table"], r["part"], r["key"], None) for r in call["remove"]]
    conflicting_rows = model.transact(conditions, writes)
    if conflicting_rows is None:
        return 200, [], {}
    return 412, [row for row in conflicting_rows if row.value is not None], {}


async def _range(model, arguments, body):
    limit = int(arguments.get("limit", "500"))
    in_range = model.rows(arguments["table"], arguments.get("from", ""), arguments.get("to"))
    return 200, in_range[:limit], {"has_more": len(in_range) > limit}


async def _feed(model, arguments, body):
    since, wait_ms = int(arguments["since_revision"]), int(arguments.get("wait_ms", "0"))
    changed_rows = []
    if model.has_history(since):
        changed_rows = await model.changes(arguments["table"], since, wait_ms)
    return (200, changed_rows, {}) if model.has_history(since) else (410, [], {})


_CALLS = {"/rows-tx": _transact, "/rows-get": _range, "/rows-feed": _feed}


class _Handler(tornado.web.RequestHandler):
    def initialize(self, model, view):
        self._model = model
        self._view = view

    async def get(self):
        await self._respond()

    async def post(self):
        await self._respond()

    async def _respond(self):
        model, path = self._model, self.request.path
        arguments = {name: self.get_argument(name, strip=False) for name in self.request.arguments}
        status, fields = await respond(model, path, arguments, self.request.body, self._view)
        if path == "/rows-tx" and model.drops_responses and status != 503:
            self.request.connection.stream.close()
            return
        self.set_status(status)
        if model.era:
            self.set_header(ERA_HEADER, str(model.era))
        self.finish(fields or None)


def store_application(model: StoreModel, view=None) -> tornado.web.Application:
    """Returns the HTTP application that serves the store.

    Args:
      model: The store.
      view: Returns the value of a `StoredRow` as the readers of this application see it, in base64;
        None to show it as it is.
    """
    arguments = {"model": model, "view": view}
    return tornado.web.Application(
        [(path, _Handler, arguments) for path in _CALLS], log_function=lambda handler: None
    )


class StoreClient(HttpClient):
    """Calls a stand-in of the store without sockets, for tests on virtual time.

    Args:
      model: The store.
      clock: The clock.
      delay: How long a call takes, beside its wait.
    """

    def __init__(self, model: StoreModel, clock: Clock, delay: datetime.timedelta):
        self._model = model
        self._clock = clock
        self._delay = delay
        self.is_cut = False

    async def call(self, method, target, headers, body, timeout, send_by=None):
        await self._clock.sleep(self._delay)
        if self.is_cut:
            return NoConnection()
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        status, fields = await respond(self._model, path, arguments, body)
        era = self._model.era
        told = ((ERA_HEADER.lower().encode(), b"%d" % era),) if era else ()
        return Reply(status, json.dumps(fields).encode(), told)
