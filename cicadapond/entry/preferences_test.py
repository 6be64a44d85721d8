"""Request headers: preferences, accounts, idempotency and forwarding."""

import pytest

from cicadapond.data import Priority
from cicadapond.document import AccountIntent, ApplicationIntent, CallRule
from cicadapond.entry._accounts import AccountIndex
from cicadapond.entry._http_services import check_path, end_to_end, is_idempotent
from cicadapond.entry._preferences import read_preferences
from cicadapond.kernel import seconds

SHA256_OF_KEY = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"


@pytest.mark.parametrize(
    ("priority", "prefer", "expected"),
    [
        ("", "", (None, None, False)),
        ("u=0", "wait=5", (Priority.INTERACTIVE, seconds(5), False)),
        ("u=3, i", "respond-async, wait=100", (Priority.STANDARD, seconds(100), True)),
        ("u=7", "respond-async", (Priority.BATCH, None, True)),
        ("u=9", "wait=soon", (None, None, False)),
    ],
)
def test_preferences(priority, prefer, expected):
    found = read_preferences(priority, prefer)
    assert (found.priority, found.wait, found.respond_async) == expected


@pytest.mark.parametrize(
    ("header", "account"),
    [
        ("Bearer key", "yard"),
        ("bearer key", "yard"),
        ("Bearer other", None),
        ("Basic key", None),
        ("Bearer", None),
        ("", None),
        (None, None),
    ],
)
def test_accounts_by_token(header, account):
    index = AccountIndex({"yard": AccountIntent(key_hashes=(SHA256_OF_KEY,))})
    assert index.find(header) == account


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("POST", "/reorders/4", False),
        ("POST", "/stock", True),
        ("GET", "/reorders", True),
        ("PATCH", "/stock", False),
        ("DELETE", "/any/x", False),
    ],
)
def test_idempotency_by_rule_else_by_method(method, path, idempotent):
    rules = (
        CallRule("POST", "/reorders", False),
        CallRule("POST", "/stock", True),
        CallRule("*", "/any", False),
    )
    assert is_idempotent(ApplicationIntent(calls=rules), method, path) is idempotent


def test_a_path_does_not_leave_its_prefix():
    assert check_path("/stock/../reorders").status == 400
    assert check_path("/stock/..2") is None


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [("Connection", "X-One"), ("X-One", "1"), ("X-Two", "2"), ("Authorization", "k")]
    assert end_to_end(headers, frozenset(("authorization",))) == (("X-Two", "2"),)
