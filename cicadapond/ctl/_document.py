"""Commands on the document: show, check, edit, apply, diff, history, follow."""

import pathlib
import re
import typing

import attrs

from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.document import (
    SECTIONS,
    DocumentEditor,
    DocumentStore,
    DocumentText,
    Edit,
    Forbidden,
    KnownNames,
    Rejected,
    Stale,
    check_document,
    diff_texts,
)
from cicadapond.kernel import Clock, Findings, Ok, Unavailable, Unknown, seconds

APPLY_LIMIT = seconds(20)
FOLLOW_LIMIT = seconds(10)
FOLLOW_INTERVAL = seconds(0.25)
_HEADER = re.compile(r"// cicadapond section (\w+), version (\d+)\n")


@attrs.frozen
class Draft:
    """A section's text in a file, and the version that it was made from, if the file says so."""

    section: str
    text: str
    version: int | None = None


def parse_draft(name: str, text: str) -> Draft:
    """Returns the draft of a file: by its first line, or else by its name `SECTION.jsonc`."""
    found = _HEADER.match(text)
    if found:
        return Draft(found[1], text[found.end() :], int(found[2]))
    return Draft(pathlib.PurePath(name).stem, text)


def draft_text(section: str, text: str, version: int) -> str:
    """Returns a section as a file that remembers its version."""
    return f"// cicadapond section {section}, version {version}\n{text}"


class DocumentCommands:
    """The document's commands.

    Args:
      store: The document.
      editor: Carries out edits.
      states: Reads the dumps of the known processes, by name; an error stands as text.
      clock: Gives the time.
      out: Takes the results.
      known: Names that exist outside of the document.
    """

    def __init__(
        self,
        store: DocumentStore,
        editor: DocumentEditor,
        states: typing.Callable[[], typing.Awaitable[dict]],
        clock: Clock,
        out: Output,
        known: KnownNames | None = None,
    ):
        self._store = store
        self._editor = editor
        self._states = states
        self._clock = clock
        self._out = out
        self._known = known or KnownNames()

    async def show(self, section: str | None = None) -> Exit:
        """Prints a section's text, or which sections there are."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        if section is None:
            rows = [
                (name, found.version, found.revision, len(found.text))
                for name, found in document.sections.items()
            ]
            self._out.table(("section", "version", "revision", "characters"), rows)
            return Exit.OK
        if section not in document.sections:
            self._out.message(f"there is no section {section!r} yet; {_sections()}")
            return Exit.USAGE
        found = document.sections[section]
        self._out.message(found.text, section=section, text=found.text, version=found.version)
        return Exit.OK

    async def edit(self, section: str, path: pathlib.Path) -> Exit:
        """Writes a section to a file that `apply` takes back."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        if section not in SECTIONS:
            self._out.message(f"there is no section {section!r}; {_sections()}")
            return Exit.USAGE
        found = document.sections.get(section)
        text, version = (found.text, found.version) if found else ("{\n}\n", 0)
        path.write_text(draft_text(section, text, version), encoding="utf-8")
        self._out.message(
            f"edit {path}, then: cicadapond-ctl document apply {path}", file=str(path)
        )
        return Exit.OK

    async def check(self, drafts: list[Draft]) -> Exit:
        """Checks the whole document with drafts in place of its sections."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        findings = Findings()
        texts = document.texts() | {draft.section: draft.text for draft in drafts}
        check_document(texts, document.revision + 1, self._known, findings)
        if findings:
            return self._report(findings)
        self._out.message("the document holds", findings=[])
        return Exit.OK

    async def diff(self, drafts: list[Draft]) -> Exit:
        """Prints what drafts would change."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        before = document.texts()
        for draft in drafts:
            text = diff_texts(draft.section, before.get(draft.section, ""), draft.text)
            self._out.message(text or f"{draft.section}: no change", diff=text)
        return Exit.OK

    async def apply(self, drafts: list[Draft], key: str, token: str) -> Exit:
        """Applies drafts in one edit and follows it until it is in force."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        versions = {draft.section: _base_version(draft, document) for draft in drafts}
        edit = Edit(token, key, {draft.section: draft.text for draft in drafts}, versions)
        outcome = await self._editor.apply(edit, APPLY_LIMIT)
        match outcome:
            case Ok(revision):
                if not self._out.as_json:
                    self._out.message(f"revision {revision} is accepted")
                return await self.follow(revision)
            case Rejected(findings):
                return self._report(findings)
            case Stale(sections):
                names = ", ".join(sections)
                self._out.message(f"changed by somebody else since: {names}", stale=sections)
                return Exit.STALE
            case Forbidden(editor, sections):
                names = ", ".join(sections)
                who = f"editor {editor}" if editor else "no editor has this key; it"
                self._out.message(f"{who} may not edit: {names}", forbidden=sections)
                return Exit.FORBIDDEN
            case Unknown(reason):
                again = f"apply again with --token={token} to learn whether it was made"
                self._out.message(f"{reason}; {again}", token=token, unknown=reason)
                return Exit.UNKNOWN
            case Unavailable(reason):
                self._out.message(f"not changed: {reason}", unavailable=reason)
        return Exit.UNAVAILABLE

    async def history(self, limit: int) -> Exit:
        """Prints the last edits."""
        outcome = await self._store.history()
        if not isinstance(outcome, Ok):
            self._out.message(outcome.reason, unavailable=outcome.reason)
            return Exit.UNAVAILABLE
        rows = [
            (entry.revision, entry.when.isoformat(timespec="seconds"), entry.editor, section)
            for entry in outcome.value[-limit:]
            for section in entry.diffs
        ]
        self._out.table(("revision", "when", "editor", "section"), rows)
        return Exit.OK

    async def follow(self, revision: int) -> Exit:
        """Waits until each known process has a revision in force; names those that do not."""
        end = self._clock.monotonic() + FOLLOW_LIMIT
        while True:
            states = await self._states()
            behind = [name for name, state in states.items() if _revision(state) < revision]
            if not behind or self._clock.monotonic() >= end:
                break
            await self._clock.sleep(FOLLOW_INTERVAL)
        rows = [_follow_row(name, state, revision) for name, state in sorted(states.items())]
        columns = ("process", "revision", "in force since", "note")
        self._out.table(columns, rows, accepted_revision=revision)
        return Exit.BEHIND if behind else Exit.OK

    async def _read(self) -> DocumentText | None:
        outcome = await self._store.read()
        if isinstance(outcome, Ok):
            return outcome.value
        self._out.message(f"the document cannot be read: {outcome.reason}")
        return None

    def _report(self, findings) -> Exit:
        rows = [
            (found.place.source, found.place.line, found.place.column, found.message)
            for found in findings
        ]
        self._out.table(("section", "line", "column", "finding"), rows)
        return Exit.REJECTED


def _base_version(draft, document):
    if draft.version is not None:
        return draft.version
    found = document.sections.get(draft.section)
    return found.version if found else 0


def _revision(state):
    if not isinstance(state, dict):
        return -1
    return state.get("document", {}).get("revision", -1)


def _follow_row(name, state, revision):
    if not isinstance(state, dict):
        return (name, None, None, f"does not answer: {state}")
    document = state.get("document", {})
    note = "" if _revision(state) >= revision else "not in force"
    if document.get("held_back"):
        note = f"held back: {document['held_back'][0]}"
    return (name, document.get("revision"), document.get("in_force_at"), note)


def _sections():
    return f"there are {', '.join(SECTIONS)}"
