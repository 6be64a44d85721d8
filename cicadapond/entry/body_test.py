"""Parsing of completion bodies, and the errors found in them."""

import pytest

from cicadapond.entry._body import read_body
from cicadapond.kernel import Findings

WHOLE = '{"model": "m", "prompt": "p", "max_tokens": 3, "stop": "x", "seed": 7, "temperature": 1}'
CHAT = """{"model": "m", "max_completion_tokens": 2, "messages": [
  {"role": "system", "content": "Be brief."},
  {"role": "user", "content": [{"type": "text", "text": "Which"}, {"type": "text", "text": "?"}]}
]}"""


def read(text, chat=False):
    findings = Findings()
    body = read_body(text.encode(), chat, findings)
    return body, [str(found) for found in findings]


def test_a_completion():
    body, found = read(WHOLE)
    assert found == []
    assert (body.prompt, body.max_tokens, body.stop, body.seed) == ("p", 3, ("x",), 7)


def test_a_chat_is_rendered_as_one_prompt():
    body, found = read(CHAT, chat=True)
    assert found == []
    assert body.prompt == "system: Be brief.\nuser: Which?\nassistant:"
    assert body.max_tokens == 2


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        ('{"model": }', ["body:1:11: not JSON: Expecting value"]),
        ("[]", ["body:0:0: expected an object, got a list"]),
        (
            '{"prompt": 1, "max_tokens": 0, "stream": "yes", "n": 2, "stop": [""]}',
            [
                "/max_tokens:0:0: 0 is less than 1",
                "/model:0:0: key 'model' is missing",
                "/n:0:0: only 1 answer per request is given",
                "/prompt:0:0: expected a string, got an integer",
                "/stop:0:0: expected a string or a list of strings, none of them empty",
                "/stream:0:0: expected true or false, got a string",
            ],
        ),
        ('{"model": "m", "prompt": null}', ["/prompt:0:0: expected a string, got null"]),
    ],
)
def test_every_finding_is_reported(text, findings):
    assert read(text) == (None, findings)


def test_findings_of_messages_name_the_message():
    text = '{"model": "m", "messages": [{"role": 1, "content": "a"}, 2, {"role": "user"}]}'
    assert read(text, chat=True)[1] == [
        "/messages/0/role:0:0: expected a string, got an integer",
        "/messages/1:0:0: expected an object, got an integer",
        "/messages/2/content:0:0: expected a string or a list of text parts, got null",
    ]
