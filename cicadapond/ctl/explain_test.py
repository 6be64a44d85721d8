"""Tests of `explain`: a request's own log lines, and the context from its processes."""

import json

from cicadapond.ctl._explain import explain, read_log


def log(*lines, prefix=""):
    return "\n".join(
        prefix
        + json.dumps({"at": f"2026-01-01T00:00:{second:06.3f}+00:00", "process": p, "event": e} | f)
        for second, p, e, f in lines
    )


LINES = (
    (1.0, "edge-1", "table_lost", {"table": "op", "reason": "no answer"}),
    (2.0, "edge-1", "server_leaving", {"server": "i-1"}),
    (2.5, "edge-1", "server_leaving", {"server": "i-9"}),
    (3.0, "edge-1", "attempt", {"request": "r-1", "server": "i-1", "outcome": "Broken"}),
    (3.1, "edge-2", "attempt", {"request": "r-2", "server": "i-1", "outcome": "Whole"}),
    (3.2, "edge-1", "answered", {"request": "r-1", "status": 502, "reason": "reset"}),
    (3.3, "edge-2", "table_lost", {"table": "op", "reason": "no answer"}),
    (9.0, "edge-1", "table_regained", {"table": "op"}),
)


def events(found):
    return [line.event for line in found]


def test_a_request_is_shown_with_context_from_its_process():
    lines, findings = read_log("a.log", log(*LINES))
    assert not findings
    found = explain("r-1", reversed(lines))
    assert events(found) == ["table_lost", "server_leaving", "attempt", "answered"]
    assert str(found[2]) == "00:00:03.000 edge-1 attempt server=i-1 outcome=Broken"


def test_a_prefix_is_skipped_and_malformed_lines_are_reported():
    lines, findings = read_log("a.log", log(*LINES, prefix="  3.0 edge-1 ") + "\n{broken\n\n")
    assert len(lines) == len(LINES)
    assert [finding.place.line for finding in findings] == [9]


def test_an_unknown_request_has_no_lines():
    lines, _ = read_log("a.log", log(*LINES))
    assert explain("r-7", lines) == []
