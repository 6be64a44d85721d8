"""The document as rows of the table service, and as values in a process.

Table `document` holds a row per section (`section/NAME`), one row for the revision, and one
history row for each of the last revisions.  An accepted edit writes all of its rows in one
transaction that is conditional on the revision row.  Until it is removed for its age, the history
row of a revision therefore exists if and only if its edit took effect, and it contains the edit's
token.
"""

import datetime
import difflib

import attrs

TABLE = "document"
REVISION_KEY = "revision"
SECTION_PREFIX = "section/"
HISTORY_PREFIX = "history/"
HISTORY_DIGITS = 12
MAX_DIFF_CHARS = 8000


@attrs.frozen
class SectionText:
    """One stored section: its text with comments, and the revision that last changed it.

    `version` is the section row's version; an edit of the section is conditional on it.
    """

    text: str
    version: int = 0
    revision: int = 0


@attrs.frozen
class DocumentText:
    """One revision of the document as text; `row_version` is the version of the revision row."""

    revision: int = 0
    sections: dict[str, SectionText] = attrs.field(factory=dict)
    row_version: int = 0

    def texts(self) -> dict[str, str]:
        """Returns each section's text."""
        return {name: section.text for name, section in self.sections.items()}


@attrs.frozen
class HistoryEntry:
    """One accepted edit: its editor, time and diffs by section."""

    revision: int
    token: str
    editor: str
    when: datetime.datetime
    diffs: dict[str, str]


def section_key(section: str) -> str:
    """Returns the key of a section's row."""
    return SECTION_PREFIX + section


def history_key(revision: int) -> str:
    """Returns the key of a revision's history row; keys sort in the order of revisions."""
    return f"{HISTORY_PREFIX}{revision:0{HISTORY_DIGITS}d}"


def diff_texts(section: str, before: str, after: str) -> str:
    """Returns the unified diff of a section, truncated to MAX_DIFF_CHARS."""
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f"{section} before",
        f"{section} after",
        "",
        "",
        2,
        "",
    )
    text = "\n".join(lines)
    return text if len(text) <= MAX_DIFF_CHARS else text[:MAX_DIFF_CHARS] + "\n... cut"


def pack_history(entry: HistoryEntry) -> dict:
    """Returns a history entry as the value of its row."""
    packed = attrs.asdict(entry)
    packed["when"] = entry.when.isoformat()
    return packed


def unpack_history(value: dict) -> HistoryEntry:
    """Inverse of `pack_history`."""
    return HistoryEntry(
        revision=value["revision"],
        token=value["token"],
        editor=value["editor"],
        when=datetime.datetime.fromisoformat(value["when"]),
        diffs=dict(value["diffs"]),
    )


def pack_document(document: DocumentText) -> dict:
    """Returns a document as a message to another process."""
    return attrs.asdict(document)


def unpack_document(value) -> DocumentText | None:
    """Returns the document in a message, or None if the message is malformed."""
    try:
        sections = {name: SectionText(**fields) for name, fields in value["sections"].items()}
        document = DocumentText(int(value["revision"]), sections, int(value["row_version"]))
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
    return document if _texts_valid(document) else None


def _texts_valid(document):
    return all(
        isinstance(name, str) and isinstance(section.text, str)
        for name, section in document.sections.items()
    )
