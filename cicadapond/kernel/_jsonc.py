"""Parser for JSON with comments; its nodes record their line and column."""

import functools
import importlib.resources
import json

import attrs
import lark

from cicadapond.kernel._findings import Findings, Place

MAX_NESTING = 64  # limits the recursion of _build


@attrs.frozen
class Node:
    """A parsed value with its position.

    `value` is a dict of str to Node, a list of Node, or a plain str, int, float, bool or None.
    `key_places` holds, for a dict, the position of each key.
    """

    value: object
    place: Place
    key_places: dict = attrs.field(factory=dict)

    def to_python(self):
        """Returns the value without positions."""
        if isinstance(self.value, dict):
            return {key: node.to_python() for key, node in self.value.items()}
        if isinstance(self.value, list):
            return [node.to_python() for node in self.value]
        return self.value


def parse_jsonc(text: str, source: str, findings: Findings) -> Node | None:
    """Parses JSON with comments.

    Args:
      text: The text.
      source: The name of the text, used in findings.
      findings: Receives syntax errors, duplicate keys and values nested too deeply.

    Returns:
      The root node, or None if the text does not parse.
    """
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as exc:
        findings.add(*_syntax_error(exc, text, source))
        return None
    return _build(tree, source, findings, MAX_NESTING)


@functools.cache
def _parser():
    grammar = importlib.resources.files("cicadapond.kernel").joinpath("jsonc.lark").read_text()
    return lark.Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _syntax_error(exc, text, source):
    at_end = isinstance(exc, lark.exceptions.UnexpectedToken) and exc.token.type == "$END"
    if at_end or isinstance(exc, lark.exceptions.UnexpectedEOF):
        lines = text.split("\n")
        return Place(source, len(lines), len(lines[-1]) + 1), "unexpected end of text"
    place = Place(source, exc.line, exc.column)
    line = text.split("\n")[exc.line - 1]
    return place, f"unexpected {line[exc.column - 1 : exc.column + 11]!r}; not valid JSON here"


def _build(tree, source, findings, depth_left):
    if isinstance(tree, lark.Token):
        return Node(_scalar(tree), Place(source, tree.line, tree.column))
    place = Place(source, tree.meta.line, tree.meta.column)
    if depth_left == 0:
        findings.add(place, f"nested deeper than {MAX_NESTING} levels")
        return Node(None, place)
    if tree.data == "object":
        return _build_object(tree, place, source, findings, depth_left)
    if tree.data == "array":
        items = [_build(child, source, findings, depth_left - 1) for child in tree.children]
        return Node(items, place)
    return _build(tree.children[0], source, findings, depth_left - 1)


def _build_object(tree, place, source, findings, depth_left):
    members = {}
    key_places = {}
    for member in tree.children:
        token, child = member.children
        key = json.loads(token)
        if key in members:
            findings.add(Place(source, token.line, token.column), f"duplicate key {key!r}")
        members[key] = _build(child, source, findings, depth_left - 1)
        key_places[key] = Place(source, token.line, token.column)
    return Node(members, place, key_places)


def _scalar(token):
    return json.loads(token)
