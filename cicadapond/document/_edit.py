"""Edits of the document: permissions, validation, and concurrent edits.

An edit is committed in one transaction that is conditional on the revision row.  If an edit of
another section was committed first, this edit is validated and tried again; if an edit of the same
section was, this edit is stale, and its author has to decide again.  After a write without answer,
the history row of the revision that it would have created is read: it contains the edit's token
if and only if the edit took effect.
"""

import dataclasses
import datetime
import hashlib
import random

import attrs

from cicadapond.document._check import KnownNames, check_document
from cicadapond.document._rows import DocumentText, HistoryEntry, diff_texts
from cicadapond.document._store import DocumentStore, SectionWrite
from cicadapond.kernel import (
    AnswerLost,
    Clock,
    Finding,
    Findings,
    Ok,
    Unavailable,
    Unknown,
)

FIRST_BACKOFF = datetime.timedelta(milliseconds=20)
LONGEST_BACKOFF = datetime.timedelta(seconds=1)
TOKEN_SEARCH_LIMIT = 1000  # revisions; at most the entries that one read of the history returns


@attrs.frozen
class Edit:
    """A change of one or more sections by one editor.

    Attributes:
      token: Identifies the edit; a token repeated within `TOKEN_SEARCH_LIMIT` revisions denotes the
        same edit.
      key: The editor's key, as text.
      texts: The sections' new texts.
      versions: The version of each section that the edit is based on; 0 for a new section.
    """

    token: str
    key: str
    texts: dict[str, str]
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The edited document would be invalid; `findings` lists every reason."""

    findings: tuple[Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """Another edit changed these sections first; `current` is the document as read."""

    sections: tuple[str, ...]
    current: DocumentText


@dataclasses.dataclass(frozen=True, slots=True)
class Forbidden:
    """The key may not edit these sections."""

    editor: str | None
    sections: tuple[str, ...]


EditOutcome = Ok[int] | Rejected | Stale | Forbidden | Unavailable | Unknown


def hash_key(key: str) -> str:
    """Returns the hash of a key as stored in the document."""
    return hashlib.sha256(key.encode()).hexdigest()


class DocumentEditor:
    """Applies edits.

    Args:
      store: The document's rows.
      clock: Source of monotonic and wall-clock time.
      rng: Source of jitter for the retries.
      known: Names defined outside the document.
    """

    def __init__(
        self,
        store: DocumentStore,
        clock: Clock,
        rng: random.Random,
        known: KnownNames | None = None,
    ):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._known = known or KnownNames()

    async def apply(self, edit: Edit, limit: datetime.timedelta) -> EditOutcome:
        """Applies an edit, retrying until its outcome is known or `limit` has passed.

        Args:
          edit: The edit.
          limit: How long to retry.

        Returns:
          Ok with the revision that the edit created; Rejected, Stale or Forbidden if it created
          none; Unavailable if it created none because the store was unavailable or other edits
          were always committed first; Unknown if it may have created one: applying the same edit
          again later tells which.
        """
        deadline = self._clock.monotonic() + limit
        attempt = _Attempt(self._store, self._clock, self._known, edit)
        backoff = FIRST_BACKOFF
        while True:
            outcome = await attempt.try_once()
            if outcome is not None:
                return outcome
            if self._clock.monotonic() >= deadline:
                return attempt.timeout_outcome()
            await self._clock.sleep(backoff * self._rng.random())
            backoff = min(2 * backoff, LONGEST_BACKOFF)


class _Attempt:
    """One edit; `_uncertain_revisions` are those that unanswered writes may have created."""

    def __init__(self, store, clock, known, edit):
        self._store = store
        self._clock = clock
        self._known = known
        self._edit = edit
        self._uncertain_revisions = set()
        self._last_reason = ""

    async def try_once(self):
        """Tries once; returns the outcome, or None if the edit has to be tried again."""
        resolved = await self._resolve_lost_writes()
        if resolved is not None:
            return resolved
        outcome = await self._store.read()
        if not isinstance(outcome, Ok):
            self._last_reason = outcome.reason
            return None
        base = outcome.value
        refusal = self._validate(base)
        if refusal is not None:
            return await self._confirm_refusal(refusal, base)
        return await self._write(base)

    def timeout_outcome(self):
        if self._uncertain_revisions:
            return Unknown(f"no answer to the write of the edit: {self._last_reason}")
        return Unavailable(self._last_reason or "other edits were always committed first")

    async def _resolve_lost_writes(self):
        """Looks for the edit in the revisions that it may have created.

        A revision created by another edit is no longer uncertain; one that is absent still is, as
        a write reported as lost may take effect late.
        """
        for revision in sorted(self._uncertain_revisions):
            outcome = await self._store.history_entry(revision)
            if not isinstance(outcome, Ok):
                self._last_reason = outcome.reason
                return None
            entry = outcome.value
            if entry is not None and entry.token == self._edit.token:
                return Ok(revision)
            if entry is not None:
                self._uncertain_revisions.discard(revision)
        return None

    def _validate(self, base):
        editor, denied = find_editor(base, self._edit)
        if denied:
            return Forbidden(editor, denied)
        stale = tuple(
            section
            for section, version in sorted(self._edit.versions.items())
            if _section_version(base, section) != version
        )
        if stale:
            return Stale(stale, base)
        findings = Findings()
        check_document(base.texts() | self._edit.texts, base.revision + 1, self._known, findings)
        return Rejected(tuple(findings)) if findings else None

    async def _confirm_refusal(self, refusal, base):
        """Returns the refusal, unless the history shows that the edit has already taken effect."""
        outcome = await self._store.history(max(0, base.revision - TOKEN_SEARCH_LIMIT))
        if not isinstance(outcome, Ok):
            self._last_reason = outcome.reason
            return None
        matching = [found.revision for found in outcome.value if found.token == self._edit.token]
        return Ok(matching[0]) if matching else refusal

    async def _write(self, base):
        editor, _ = find_editor(base, self._edit)
        entry = HistoryEntry(
            revision=base.revision + 1,
            token=self._edit.token,
            editor=editor or "",
            when=self._clock.now(),
            diffs={
                section: diff_texts(section, base.texts().get(section, ""), text)
                for section, text in self._edit.texts.items()
            },
        )
        changes = tuple(
            SectionWrite(section, text, _section_version(base, section))
            for section, text in self._edit.texts.items()
        )
        outcome = await self._store.write(base, changes, entry)
        if isinstance(outcome, Ok):
            return outcome
        if isinstance(outcome, AnswerLost):
            self._uncertain_revisions.add(entry.revision)
        self._last_reason = getattr(outcome, "reason", "another edit was committed first")
        return None


def find_editor(base: DocumentText, edit: Edit) -> tuple[str | None, tuple[str, ...]]:
    """Finds the editor that an edit's key belongs to, and the sections denied to that editor.

    A document without editors accepts only an edit that includes section `editors`, and applies the
    permissions that this section defines to it.

    Returns:
      The editor's name, None if unknown, and the denied sections of the edit.
    """
    findings = Findings()
    text = base.texts().get("editors")
    texts = {"editors": edit.texts.get("editors", "{}") if text is None else text}
    intent = check_document(texts, base.revision, KnownNames(), findings)
    edited = tuple(sorted(edit.texts))
    if intent is None:
        defines_editors = text is None and "editors" in edit.texts
        return None, () if defines_editors else edited
    key_hash = hash_key(edit.key)
    for name, editor in sorted(intent.editors.items()):
        if key_hash in editor.key_hashes:
            return name, tuple(section for section in edited if section not in editor.sections)
    return None, edited


def _section_version(base, section):
    return base.sections[section].version if section in base.sections else 0
