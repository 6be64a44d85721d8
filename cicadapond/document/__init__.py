"""The document: what operators want, in sections owned by different teams."""

from cicadapond.document._intent import (
    SECTIONS,
    AccountIntent,
    ApplicationIntent,
    CallRule,
    CostIntent,
    Intent,
    MachineClass,
    ModelIntent,
    PolicyIntent,
    parse_document,
)

__all__ = [
    "SECTIONS",
    "AccountIntent",
    "ApplicationIntent",
    "CallRule",
    "CostIntent",
    "Intent",
    "MachineClass",
    "ModelIntent",
    "PolicyIntent",
    "parse_document",
]
