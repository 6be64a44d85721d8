"""Parses the JSON bodies of completions and chat completions, reporting all errors at once."""

import json

import attrs

from cicadapond.kernel import Findings, Place

DEFAULT_MAX_TOKENS = 16
MAX_STOPS = 4
CHAT_ANSWERER = "assistant"


@attrs.frozen
class CompletionBody:
    """A validated body; `prompt` is the complete text, with chat messages rendered into it."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    stop: tuple[str, ...]
    seed: int
    adapter: str | None


def read_body(raw: bytes, chat: bool, findings: Findings) -> CompletionBody | None:
    """Parses and validates a body.

    Args:
      raw: The bytes.
      chat: Whether it has messages in place of a prompt.
      findings: Receives every error, located by JSON Pointer.

    Returns:
      The body, or None if there are findings.
    """
    fields = _parse(raw, findings)
    if fields is None:
        return None
    reader = _FieldReader(fields, findings)
    options = reader.value("stream_options", dict, {}) or {}
    body = CompletionBody(
        model=reader.value("model", str),
        prompt=_chat_prompt(reader) if chat else reader.value("prompt", str),
        max_tokens=_max_tokens(reader, chat),
        stream=reader.value("stream", bool, False),
        include_usage=bool(options.get("include_usage")),
        stop=_stop_texts(reader),
        seed=reader.value("seed", int, 0),
        adapter=reader.value("adapter", str, None),
    )
    if reader.value("n", int, 1) != 1:
        findings.add(Place("/n"), "only 1 answer per request is given")
    return None if findings else body


def _parse(raw, findings):
    try:
        fields = json.loads(raw)
    except json.JSONDecodeError as exc:
        findings.add(Place("body", exc.lineno, exc.colno), f"not JSON: {exc.msg}")
        return None
    except (UnicodeDecodeError, RecursionError) as exc:
        findings.add(Place("body"), f"not JSON: {exc}")
        return None
    if not isinstance(fields, dict):
        findings.add(Place("body"), f"expected an object, got {_type_name(fields)}")
        return None
    return fields


_REQUIRED = object()


class _FieldReader:
    """Reads fields of an object, adding a finding for each that is missing or of the wrong type."""

    def __init__(self, fields, findings):
        self._fields = fields
        self._findings = findings

    def value(self, name, wanted, default=_REQUIRED):
        """Returns a field's value; null counts as absent where there is a default."""
        value = self._fields.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if name not in self._fields:
            self.add(name, f"key {name!r} is missing")
        elif type(value) is not wanted:
            self.add(name, f"expected {_TYPE_NAMES[wanted]}, got {_type_name(value)}")
            return None if default is _REQUIRED else default
        return value

    def raw(self, name):
        """Returns a field's value without checking its type, None if it is absent."""
        return self._fields.get(name)

    def add(self, path, message):
        """Adds a finding for a field."""
        self._findings.add(Place(f"/{path}"), message)


def _max_tokens(reader, chat):
    uses_new_name = chat and reader.raw("max_completion_tokens") is not None
    name = "max_completion_tokens" if uses_new_name else "max_tokens"
    count = reader.value(name, int, DEFAULT_MAX_TOKENS)
    if count < 1:
        reader.add(name, f"{count} is less than 1")
    return count


def _stop_texts(reader):
    stop = reader.raw("stop")
    if stop is None:
        return ()
    stops = [stop] if isinstance(stop, str) else stop
    if not isinstance(stops, list) or not all(isinstance(text, str) and text for text in stops):
        reader.add("stop", "expected a string or a list of strings, none of them empty")
        return ()
    if len(stops) > MAX_STOPS:
        reader.add("stop", f"{len(stops)} stop texts; at most {MAX_STOPS} are taken")
    return tuple(stops)


def _chat_prompt(reader):
    messages = reader.value("messages", list)
    if messages is None:
        return ""
    if not messages:
        reader.add("messages", "expected at least one message")
    lines = [_message_line(reader, index, message) for index, message in enumerate(messages)]
    return "\n".join([*lines, f"{CHAT_ANSWERER}:"])


def _message_line(reader, index, message):
    path = f"messages/{index}"
    if not isinstance(message, dict):
        reader.add(path, f"expected an object, got {_type_name(message)}")
        return ""
    role = message.get("role")
    if not isinstance(role, str):
        reader.add(f"{path}/role", f"expected a string, got {_type_name(role)}")
    return f"{role}: {_content_text(reader, path, message.get('content'))}"


def _content_text(reader, path, content):
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        expected = "expected a string or a list of text parts"
        reader.add(f"{path}/content", f"{expected}, got {_type_name(content)}")
        return ""
    texts = []
    for number, part in enumerate(content):
        text = part.get("text") if isinstance(part, dict) else None
        if isinstance(text, str):
            texts.append(text)
        else:
            reader.add(f"{path}/content/{number}", "expected a part with a text")
    return "".join(texts)


_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    bool: "true or false",
    dict: "an object",
    list: "a list",
    float: "a number",
    type(None): "null",
}


def _type_name(value):
    return _TYPE_NAMES[type(value)]
