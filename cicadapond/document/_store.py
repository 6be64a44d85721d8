"""Reads of the document from the table service, and the conditional write of an edit."""

import attrs

from cicadapond.document._intent import SECTIONS
from cicadapond.document._rows import (
    HISTORY_PREFIX,
    REVISION_KEY,
    TABLE,
    DocumentText,
    HistoryEntry,
    SectionText,
    history_key,
    pack_history,
    section_key,
    unpack_history,
)
from cicadapond.kernel import AnswerLost, Conflict, Ok, Unavailable
from cicadapond.provider import TableService, Write

HISTORY_LIMIT = 2000  # revisions


@attrs.frozen
class SectionWrite:
    """A section's new text, and the row version that it replaces."""

    section: str
    text: str
    version: int


class DocumentStore:
    """The document's rows.

    Args:
      tables: The table service, for calls of `StoreClass.DOCUMENT`.
      history_limit: How many revisions the history keeps.
    """

    def __init__(self, tables: TableService, history_limit: int = HISTORY_LIMIT):
        self._tables = tables
        self._history_limit = history_limit

    async def revision(self) -> Ok[int] | Unavailable:
        """Reads the revision number only."""
        outcome = await self._tables.read(((TABLE, REVISION_KEY),))
        if not isinstance(outcome, Ok):
            return outcome
        return Ok(_revision(outcome.value[(TABLE, REVISION_KEY)]))

    async def read(self) -> Ok[DocumentText] | Unavailable:
        """Reads the whole document in one consistent read."""
        keys = ((TABLE, REVISION_KEY), *((TABLE, section_key(name)) for name in SECTIONS))
        outcome = await self._tables.read(keys)
        if not isinstance(outcome, Ok):
            return outcome
        rows = outcome.value
        row = rows[(TABLE, REVISION_KEY)]
        sections = {
            name: _section(rows[(TABLE, section_key(name))])
            for name in SECTIONS
            if rows[(TABLE, section_key(name))].value is not None
        }
        return Ok(DocumentText(_revision(row), sections, row.version))

    async def write(
        self, base: DocumentText, changes: tuple[SectionWrite, ...], entry: HistoryEntry
    ) -> Ok[int] | Conflict | Unavailable | AnswerLost:
        """Writes the revision after `base`, if `base` is still the current one.

        Returns:
          Ok with the new revision; Conflict if another edit was committed first; Unavailable if
          the write had no effect; AnswerLost if it may have taken effect.
        """
        revision = base.revision + 1
        writes = [Write(TABLE, REVISION_KEY, {"revision": revision}, base.row_version)]
        for change in changes:
            value = {"text": change.text, "revision": revision}
            writes.append(Write(TABLE, section_key(change.section), value, change.version))
        writes.append(Write(TABLE, history_key(revision), pack_history(entry), 0))
        if revision > self._history_limit:
            writes.append(Write(TABLE, history_key(revision - self._history_limit)))
        outcome = await self._tables.transact(tuple(writes))
        return Ok(revision) if isinstance(outcome, Ok) else outcome

    async def history_entry(self, revision: int) -> Ok[HistoryEntry | None] | Unavailable:
        """Reads the history entry of a revision; Ok(None) if there is none."""
        key = (TABLE, history_key(revision))
        outcome = await self._tables.read((key,))
        if not isinstance(outcome, Ok):
            return outcome
        value = outcome.value[key].value
        return Ok(None if value is None else unpack_history(value))

    async def history(
        self, after: int = 0, limit: int = 1000
    ) -> Ok[tuple[HistoryEntry, ...]] | Unavailable:
        """Reads up to `limit` history entries with a revision above `after`, oldest first."""
        outcome = await self._tables.scan(TABLE, HISTORY_PREFIX, history_key(after), limit)
        if not isinstance(outcome, Ok):
            return outcome
        return Ok(tuple(unpack_history(row.value) for row in outcome.value))


def _revision(row):
    return 0 if row.value is None else row.value["revision"]


def _section(row):
    return SectionText(row.value["text"], row.version, row.value["revision"])
