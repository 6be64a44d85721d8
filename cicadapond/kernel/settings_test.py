"""Tests the conversion of settings and the findings of invalid ones."""

import datetime
import enum

import attrs
import pytest

from cicadapond.kernel import Findings, between, parse_jsonc, setting, structure


class Colour(enum.Enum):
    RED = "red"


@attrs.frozen
class Inner:
    port: int = setting(check=between(1, 9))


@attrs.frozen
class Outer:
    name: str
    wait: datetime.timedelta = datetime.timedelta(seconds=1)
    inner: Inner | None = None
    ports: tuple[Inner, ...] = ()
    colours: dict[str, Colour] = setting(factory=dict)


def read(text):
    findings = Findings()
    node = parse_jsonc(text, "t", findings)
    value = structure(node, Outer, findings) if node is not None else None
    return value, [str(finding) for finding in findings]


def test_comments_trailing_commas_and_durations():
    value, findings = read(
        '{"name": "a", /* b */ "wait": "250ms", "ports": [{"port": 2},], // c\n}'
    )
    assert findings == []
    assert value == Outer("a", datetime.timedelta(milliseconds=250), None, (Inner(2),))


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        ('{"name": 1}', ["t:1:10: expected str, got int 1"]),
        ("{}", ["t:1:1: key 'name' is missing"]),
        (
            '{"name": "a",\n "wiat": 1}',
            ["t:2:2: unknown key 'wiat'; did you mean 'wait'?"],
        ),
        (
            '{"name": "a", "inner": {"port": 12}, "colours": {"x": "blue"}}',
            ["t:1:33: port: 12 is not between 1 and 9", "t:1:55: 'blue' is not one of red"],
        ),
        ('{"name": "a", "name": "b"}', ["t:1:15: duplicate key 'name'"]),
        ('{"name": "a"', ["t:1:13: unexpected end of text"]),
        ('{"name": nul}', ["t:1:10: unexpected 'nul}'; not valid JSON here"]),
        (
            '{"name": "a", "wait": true}',
            ['t:1:23: expected a duration such as 7 or "250ms", got True'],
        ),
    ],
)
def test_every_finding_has_its_place(text, findings):
    assert read(text)[1] == findings
