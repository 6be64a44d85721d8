"""The grammar-based part of the parser for JSON with comments."""

import functools
import importlib.resources
import json

import lark

from cicadapond.kernel._findings import Findings, Place
from cicadapond.kernel._jsonc import Node

MAX_NESTING = 64  # limits the recursion of _build


def parse(text: str, source: str, findings: Findings) -> Node | None:
    """Parses a text; the arguments and the result are those of `parse_jsonc`."""
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
