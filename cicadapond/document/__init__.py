"""The configuration document: the desired state, in sections owned by different teams.

The package can be used on its own: a `DocumentStore` over any table service, a `DocumentEditor`
that applies edits, and a `DocumentTask` that keeps the newest revision in force in a process.
"""

from cicadapond.document._check import KnownNames, check_document
from cicadapond.document._edit import (
    DocumentEditor,
    Edit,
    EditOutcome,
    Forbidden,
    Rejected,
    Stale,
    find_editor,
    hash_key,
)
from cicadapond.document._intent import (
    SECTIONS,
    AccountIntent,
    ApplicationIntent,
    CallRule,
    CostIntent,
    EditorIntent,
    Intent,
    MachineClass,
    ModelIntent,
    PolicyIntent,
    parse_document,
)
from cicadapond.document._rows import DocumentText, HistoryEntry, SectionText, diff_texts
from cicadapond.document._source import DocumentSource, PeerSource, StoreSource
from cicadapond.document._store import DocumentStore, SectionWrite
from cicadapond.document._task import DocumentSettings, DocumentTask

__all__ = [
    "SECTIONS",
    "AccountIntent",
    "ApplicationIntent",
    "CallRule",
    "CostIntent",
    "DocumentEditor",
    "DocumentSettings",
    "DocumentSource",
    "DocumentStore",
    "DocumentTask",
    "DocumentText",
    "Edit",
    "EditOutcome",
    "EditorIntent",
    "Forbidden",
    "HistoryEntry",
    "Intent",
    "KnownNames",
    "MachineClass",
    "ModelIntent",
    "PeerSource",
    "PolicyIntent",
    "Rejected",
    "SectionText",
    "SectionWrite",
    "Stale",
    "StoreSource",
    "check_document",
    "diff_texts",
    "find_editor",
    "hash_key",
    "parse_document",
]
