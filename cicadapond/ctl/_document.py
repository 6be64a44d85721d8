"""Commands on the configuration document: show, check, edit, apply, diff, history, follow."""

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
    """A section's new text, and the version it is based on, if its file states one."""

    section: str
    text: str
    version: int | None = None


def parse_draft(name: str, text: str) -> Draft:
    """Parses a draft; without a header line, the section comes from the name `SECTION.jsonc`."""
    header = _HEADER.match(text)
    if header:
        return Draft(header[1], text[header.end() :], int(header[2]))
    return Draft(pathlib.PurePath(name).stem, text)


def draft_text(section: str, text: str, version: int) -> str:
    """Returns a section as a draft file, with its version in the header line."""
    return f"// cicadapond section {section}, version {version}\n{text}"


class DocumentCommands:
    """The commands on the document.

    Args:
      store: Reads the document and its history.
      editor: Applies edits.
      states: Reads the state dumps of the known processes, by name; a string is an error message.
      clock: Source of time.
      out: Receives the results.
      known: Names defined outside the document that it may refer to.
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
        """Prints a section's text, or the list of sections."""
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
            self._out.message(f"there is no section {section!r} yet; {_section_names()}")
            return Exit.USAGE
        found = document.sections[section]
        self._out.message(found.text, section=section, text=found.text, version=found.version)
        return Exit.OK

    async def edit(self, section: str, path: pathlib.Path) -> Exit:
        """Writes a section to a draft file, to be edited and passed to `apply`."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        if section not in SECTIONS:
            self._out.message(f"there is no section {section!r}; {_section_names()}")
            return Exit.USAGE
        current = document.sections.get(section)
        text, version = (current.text, current.version) if current else ("{\n}\n", 0)
        path.write_text(draft_text(section, text, version), encoding="utf-8")
        self._out.message(
            f"edit {path}, then: cicadapond-ctl document apply {path}", file=str(path)
        )
        return Exit.OK

    async def check(self, drafts: list[Draft]) -> Exit:
        """Checks the document with drafts in place of their sections."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        findings = Findings()
        texts = document.texts() | {draft.section: draft.text for draft in drafts}
        check_document(texts, document.revision + 1, self._known, findings)
        if findings:
            return self._report(findings)
        self._out.message("the document is valid", findings=[])
        return Exit.OK

    async def diff(self, drafts: list[Draft]) -> Exit:
        """Prints the changes that drafts would make."""
        document = await self._read()
        if document is None:
            return Exit.UNAVAILABLE
        before = document.texts()
        for draft in drafts:
            text = diff_texts(draft.section, before.get(draft.section, ""), draft.text)
            self._out.message(text or f"{draft.section}: no change", diff=text)
        return Exit.OK

    async def apply(self, drafts: list[Draft], key: str, token: str) -> Exit:
        """Applies drafts in one edit and waits until it is in force, as `follow` does."""
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
                self._out.message(f"changed by another edit since: {names}", stale=sections)
                return Exit.STALE
            case Forbidden(editor, sections):
                names = ", ".join(sections)
                who = f"editor {editor}" if editor else "no editor has this key; it"
                self._out.message(f"{who} may not edit: {names}", forbidden=sections)
                return Exit.FORBIDDEN
            case Unknown(reason):
                advice = f"apply again with --token={token} to learn whether it was made"
                self._out.message(f"{reason}; {advice}", token=token, unknown=reason)
                return Exit.UNKNOWN
            case Unavailable(reason):
                self._out.message(f"not changed: {reason}", unavailable=reason)
        return Exit.UNAVAILABLE

    async def history(self, limit: int) -> Exit:
        """Prints the latest `limit` edits."""
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
        """Waits until all known processes have a revision in force, then prints a row for each.

        Gives up after `FOLLOW_LIMIT`, with `Exit.BEHIND`.
        """
        deadline = self._clock.monotonic() + FOLLOW_LIMIT
        while True:
            states = await self._states()
            behind = [name for name, state in states.items() if _revision(state) < revision]
            if not behind or self._clock.monotonic() >= deadline:
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
            (finding.place.source, finding.place.line, finding.place.column, finding.message)
            for finding in findings
        ]
        self._out.table(("section", "line", "column", "finding"), rows)
        return Exit.REJECTED


def _base_version(draft, document):
    if draft.version is not None:
        return draft.version
    current = document.sections.get(draft.section)
    return current.version if current else 0


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


def _section_names():
    return f"the sections are {', '.join(SECTIONS)}"
