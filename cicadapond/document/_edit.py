"""Editing the document: who may, the whole-document check, and racing edits.

An edit is accepted in one transaction conditional on the revision row.  An edit of another
section that came first only costs a new check and a new try; an edit of the same section makes
this one stale, and its author decides again.  An answer lost on the way is settled by reading
the history row of the revision that the edit would have made: it bears the edit's token exactly
if the edit took effect.
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
TOKEN_SEARCH_LIMIT = 1000  # revisions


@attrs.frozen
class Edit:
    """A change of one or more sections by one editor.

    Attributes:
      token: Names the edit; the same token again is the same edit.
      key: The editor's key, as text.
      texts: The sections' new texts.
      versions: The version of each section that the author saw; 0 for a section that is new.
    """

    token: str
    key: str
    texts: dict[str, str]
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The document would not hold; `findings` has every reason."""

    findings: tuple[Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """Somebody else changed these sections first; `current` is the document as it stands."""

    sections: tuple[str, ...]
    current: DocumentText


@dataclasses.dataclass(frozen=True, slots=True)
class Forbidden:
    """The key may not edit these sections."""

    editor: str | None
    sections: tuple[str, ...]


EditOutcome = Ok[int] | Rejected | Stale | Forbidden | Unavailable | Unknown


def hash_key(key: str) -> str:
    """Returns the hash under which the document keeps a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class DocumentEditor:
    """Carries out edits.

    Args:
      store: The document's rows.
      clock: Gives the time.
      rng: Spreads retries.
      known: Names that exist outside of the document.
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
        """Carries out an edit, trying again until it is settled or the time is over.

        Args:
          edit: The edit.
          limit: How long to try.

        Returns:
          Ok with the revision that the edit made; Rejected, Stale or Forbidden if it made none;
          Unavailable if the store could not be reached and it made none; Unknown if it may have
          made one: the same edit applied again later settles that.
        """
        end = self._clock.monotonic() + limit
        attempt = _Attempt(self._store, self._clock, self._known, edit)
        backoff = FIRST_BACKOFF
        while True:
            outcome = await attempt.advance()
            if outcome is not None:
                return outcome
            if self._clock.monotonic() >= end:
                return attempt.give_up()
            await self._clock.sleep(backoff * self._rng.random())
            backoff = min(2 * backoff, LONGEST_BACKOFF)


class _Attempt:
    """One edit on its way; `_unsettled` holds revisions that lost writes may have made."""

    def __init__(self, store, clock, known, edit):
        self._store = store
        self._clock = clock
        self._known = known
        self._edit = edit
        self._unsettled = set()
        self._last_reason = ""

    async def advance(self):
        """Takes one try; returns the outcome, or None to be tried again."""
        settled = await self._settle()
        if settled is not None:
            return settled
        outcome = await self._store.read()
        if not isinstance(outcome, Ok):
            self._last_reason = outcome.reason
            return None
        base = outcome.value
        refused = self._refusal(base)
        if refused is not None:
            return await self._confirm(refused, base)
        return await self._write(base)

    def give_up(self):
        if self._unsettled:
            return Unknown(f"the edit's answer was lost: {self._last_reason}")
        return Unavailable(self._last_reason or "other edits kept coming first")

    async def _settle(self):
        """Looks for the edit in the revisions that it may have made.

        A revision that another edit made is settled; one that is absent may still come, as a
        lost write may be late.
        """
        for revision in sorted(self._unsettled):
            outcome = await self._store.entry(revision)
            if not isinstance(outcome, Ok):
                self._last_reason = outcome.reason
                return None
            entry = outcome.value
            if entry is not None and entry.token == self._edit.token:
                return Ok(revision)
            if entry is not None:
                self._unsettled.discard(revision)
        return None

    def _refusal(self, base):
        editor, denied = find_editor(base, self._edit)
        if denied:
            return Forbidden(editor, denied)
        stale = tuple(
            section
            for section, version in sorted(self._edit.versions.items())
            if _version(base, section) != version
        )
        if stale:
            return Stale(stale, base)
        findings = Findings()
        check_document(base.texts() | self._edit.texts, base.revision + 1, self._known, findings)
        return Rejected(tuple(findings)) if findings else None

    async def _confirm(self, refused, base):
        """Returns a refusal, unless the edit took effect before what it was refused for."""
        outcome = await self._store.history(max(0, base.revision - TOKEN_SEARCH_LIMIT))
        if not isinstance(outcome, Ok):
            self._last_reason = outcome.reason
            return None
        made = [found.revision for found in outcome.value if found.token == self._edit.token]
        return Ok(made[0]) if made else refused

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
            SectionWrite(section, text, _version(base, section))
            for section, text in self._edit.texts.items()
        )
        outcome = await self._store.write(base, changes, entry)
        if isinstance(outcome, Ok):
            return outcome
        if isinstance(outcome, AnswerLost):
            self._unsettled.add(entry.revision)
        self._last_reason = getattr(outcome, "reason", "another edit came first")
        return None


def find_editor(base: DocumentText, edit: Edit) -> tuple[str | None, tuple[str, ...]]:
    """Finds who an edit's key belongs to, and what it may not touch.

    A document without editors takes only an edit that brings section `editors`.

    Returns:
      The editor's name, None if unknown, and the sections of the edit that are denied.
    """
    findings = Findings()
    text = base.texts().get("editors")
    texts = {"editors": edit.texts.get("editors", "{}") if text is None else text}
    intent = check_document(texts, base.revision, KnownNames(), findings)
    wanted = tuple(sorted(edit.texts))
    if intent is None:
        first = text is None and "editors" in edit.texts
        return None, () if first else wanted
    hashed = hash_key(edit.key)
    for name, editor in sorted(intent.editors.items()):
        if hashed in editor.key_hashes:
            return name, tuple(section for section in wanted if section not in editor.sections)
    return None, wanted


def _version(base, section):
    return base.sections[section].version if section in base.sections else 0
