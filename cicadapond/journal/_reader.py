"""Reads a request's durable tokens from the tables, whichever process owns it."""

import msgpack

from cicadapond.journal._rows import (
    REQUESTS,
    SEGMENTS,
    DurableText,
    RequestRow,
    RequestState,
    decode_request,
)
from cicadapond.kernel import Ok, Unavailable
from cicadapond.provider import ObjectStore, Row, TableService

PAGE_ROWS = 500


async def read_request(tables: TableService, request_id: str) -> Ok[Row] | Unavailable:
    """Reads a request's row."""
    key = (REQUESTS, request_id)
    outcome = await tables.read((key,))
    return Ok(outcome.value[key]) if isinstance(outcome, Ok) else outcome


async def read_tokens(
    objects: ObjectStore | None, row: RequestRow
) -> Ok[tuple[str, ...]] | Unavailable:
    """Returns the tokens of a row, read from the object store if the row names an object."""
    if row.tokens_object is None:
        return Ok(row.tokens)
    if objects is None:
        return Unavailable("there is no object store")
    outcome = await objects.get(row.tokens_object)
    if not isinstance(outcome, Ok):
        return outcome
    if outcome.value is None:
        return Unavailable(f"object {row.tokens_object!r} is missing")
    return Ok(tuple(msgpack.unpackb(outcome.value)))


async def scan_all(
    tables: TableService, table: str, prefix: str, after: str = ""
) -> Ok[list[Row]] | Unavailable:
    """Reads every row under a prefix, page by page."""
    rows = []
    while True:
        page = await tables.scan(table, prefix, after, PAGE_ROWS)
        if not isinstance(page, Ok):
            return page
        rows.extend(page.value)
        if len(page.value) < PAGE_ROWS:
            return Ok(rows)
        after = rows[-1].key


class RequestReader:
    """Follows one request's progress by polling the tables.

    Args:
      tables: The table service.
      objects: The object store, or None.
      request_id: The request's id.
    """

    def __init__(self, tables: TableService, objects: ObjectStore | None, request_id: str):
        self._tables = tables
        self._objects = objects
        self._request_id = request_id
        self._owner_epoch = (None, 0)
        self._after = ""
        self._text = DurableText()

    @property
    def tokens(self) -> list[str]:
        """All durable tokens in order."""
        return self._text.tokens

    @property
    def version(self) -> str:
        """The model version that generated the tokens."""
        return self._text.version

    async def poll(self) -> Ok[RequestRow | None] | Unavailable:
        """Reads new tokens into `tokens`.

        Returns:
          Ok with the row, or with None if there is no such request; Unavailable if a read failed.
        """
        outcome = await read_request(self._tables, self._request_id)
        if not isinstance(outcome, Ok):
            return outcome
        row = decode_request(outcome.value)
        if row is None:
            return Ok(None)
        if row.state is RequestState.FAILED:
            return Ok(row)
        failure = await self._read_base(row)
        if failure is None and row.state is RequestState.OPEN:
            failure = await self._read_segments(row)
        return Ok(row) if failure is None else failure

    async def _read_base(self, row):
        finished = row.state is RequestState.DONE
        if not finished and self._owner_epoch == (row.owner, row.epoch):
            return None
        base = await read_tokens(self._objects, row)
        if not isinstance(base, Ok):
            return base
        if len(base.value) > len(self.tokens) or row.version != self.version:
            self._text = DurableText(list(base.value), row.version)
        self._owner_epoch = (row.owner, row.epoch)
        self._after = ""
        return None

    async def _read_segments(self, row):
        rows = await scan_all(self._tables, SEGMENTS, f"{row.owner}/", self._after)
        if not isinstance(rows, Ok):
            return rows
        for segment in rows.value:
            self._text.extend(segment, self._request_id)
            self._after = segment.key
        return None
