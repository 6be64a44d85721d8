"""The scenario language: what parses, and which line and column findings report."""

import datetime

import pytest

from cicadapond.kernel import Findings
from cicadapond.scenario._parser import parse_scenario

SCENARIO = """
# One zone leaves while its streams run.
scenario "zone reclaim"
seed 7
run 90s
zone yqr entries=2 engines=2 services=1
account coop share=2.5
load planogram from 1s for 20s rate 3/s tokens=100 account=coop
at 5s reclaim zone=yqr notice=8s
at 6s partition yqr yxe for 1.5m
expect first-token.question.p95 < 320ms
expect moved
"""


def parse(text):
    findings = Findings()
    return parse_scenario(text, "s", findings), [str(finding) for finding in findings]


def test_parses_a_complete_scenario():
    script, findings = parse(SCENARIO)
    assert findings == []
    assert (script.title, script.seed) == ("zone reclaim", 7)
    assert script.zones[0].entries == 2
    assert script.accounts[0].share == 2.5
    assert script.loads[0].rate == 3.0
    reclaim, partition = script.faults
    assert reclaim.option("notice") == datetime.timedelta(seconds=8)
    assert partition.names() == ("yqr", "yxe")
    assert partition.length == datetime.timedelta(seconds=90)
    assert script.expects[0].bound == datetime.timedelta(milliseconds=320)
    assert script.expects[1].comparison is None


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        ("zone yqr entrees=2\n", "s:1:10: zone has no option 'entrees'; known: entries, "),
        ("zone yqr\nzone yxe entries=two\n", "s:2:10: entries: 'two' is not a int"),
        ("seed 7\nat noon reclaim\n", "s:2:4: does not parse at 'noon reclaim'"),
        ("load planogram from 1s for 2s\n", "s:1:30: does not parse at 'the end of the line'"),
    ],
)
def test_findings_have_line_and_column(text, finding):
    assert parse(text)[1][0].startswith(finding)
