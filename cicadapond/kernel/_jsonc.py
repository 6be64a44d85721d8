"""Parser for JSON with comments; its nodes record their line and column."""

import attrs

from cicadapond.kernel._findings import Findings, Place


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
    # Imported on first use: the gateway parses no JSON with comments, and without the parser
    # library a process starts sooner and is smaller.
    from cicadapond.kernel import _jsonc_parser

    return _jsonc_parser.parse(text, source, findings)
