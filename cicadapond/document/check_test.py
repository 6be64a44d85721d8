"""Validation of the whole document."""

import pytest

from cicadapond.document import KnownNames, check_document
from cicadapond.kernel import Findings

KEY_HASH = "a" * 64
MODELS = '{"shade": {"pool": "shade-pool", "version": "1"}}'
APPLICATIONS = '{"orders": {}}'
KNOWN = KnownNames(
    zones=frozenset({"yqr", "yxe"}),
    machine_classes=frozenset({"small"}),
    policies={"routing": frozenset({"scored", "round-robin"})},
)


def check(**sections):
    findings = Findings()
    sections = {name: text.replace("KEY", KEY_HASH) for name, text in sections.items()}
    intent = check_document(sections, 3, KNOWN, findings)
    assert (intent is None) == bool(findings)
    return [str(found) for found in findings]


def test_a_valid_document_has_no_findings():
    accounts = '{"counter": {"models": ["shade"], "services": ["orders"]}} // fine'
    assert check(models=MODELS, applications=APPLICATIONS, accounts=accounts) == []


@pytest.mark.parametrize(
    ("sections", "findings"),
    [
        (
            {"accounts": '{"a": {\n "models": ["shade", "shad"]}}'},
            ["accounts:2:22: model 'shad' does not exist; there are shade"],
        ),
        (
            {"accounts": '{"a": {"services": ["stock"]}}'},
            ["accounts:1:21: application 'stock' does not exist; there are orders"],
        ),
        (
            {"accounts": '{"a": {"key_hashes": ["KEY"]}, "b": {"key_hashes": ["KEY"]}}'},
            ["accounts:1:114: key hash aaaaaaaa... of 'b' already belongs to 'a'"],
        ),
        (
            {"models": '{"shade": {"pool": "orders", "version": "1"}}'},
            ["models:1:20: pool 'orders' of model 'shade' is also the name of an application"],
        ),
        (
            {"policies": '{"routing": "best", "capacity": "x"}'},
            ["policies:1:13: routing policy 'best' does not exist; there are round-robin, scored"],
        ),
        (
            {"cost": '{"zones": ["yqr", "ywg"], "machine_classes": {"huge": {"slots": 1}}}'},
            [
                "cost:1:19: zone 'ywg' does not exist; there are yqr, yxe",
                "cost:1:47: machine class 'huge' does not exist; there are small",
            ],
        ),
        (
            {"editors": '{"ann": {"key_hashes": ["KEY"], "sections": ["model"]}}'},
            [
                "editors:1:1: no editor may edit section 'editors'; it could never be changed "
                "again",
                "editors:1:107: section 'model' does not exist; there are accounts, applications, "
                "cost, editors, models, policies",
            ],
        ),
        (
            {"prices": "{}"},
            [
                "prices:0:0: unknown section; there are models, applications, "
                "accounts, cost, policies, editors"
            ],
        ),
        (
            {"models": '{"shade": {"pool": 1}}', "accounts": '{"a": {"models": ["x"], "shar": 1}}'},
            [
                "accounts:1:25: unknown key 'shar'; did you mean 'share'?",
                "models:1:11: key 'version' is missing",
                "models:1:20: expected str, got int 1",
            ],
        ),
    ],
)
def test_findings_of_all_sections_are_reported_together(sections, findings):
    assert check(**({"models": MODELS, "applications": APPLICATIONS} | sections)) == findings
