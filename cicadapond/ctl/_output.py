"""Output: aligned tables for people, JSON for programs."""

import json

BOLD = "\033[1m"
PLAIN = "\033[0m"


class Output:
    """Writes results.

    Args:
      stream: The text stream to write to.
      as_json: Whether to write JSON instead of text.
      colour: Whether to use terminal escape codes.
    """

    def __init__(self, stream, as_json: bool = False, colour: bool = False):
        self._stream = stream
        self.as_json = as_json
        self._colour = colour

    def table(self, columns: tuple[str, ...], rows: list[tuple], **fields) -> None:
        """Writes rows under their column names; `fields` are added to JSON output only."""
        if self.as_json:
            lines = [dict(zip(columns, row, strict=True)) for row in rows]
            self.fields(fields | {"rows": lines} if fields else lines)
            return
        cells = [tuple("" if cell is None else str(cell) for cell in row) for row in rows]
        widths = [max(map(len, column)) for column in zip(*[columns, *cells], strict=True)]
        head = _line(columns, widths)
        self._write(f"{BOLD}{head}{PLAIN}" if self._colour else head)
        for row in cells:
            self._write(_line(row, widths))

    def message(self, text: str, /, **fields) -> None:
        """Writes the text, or the fields (the text, if there are none) as JSON."""
        if self.as_json:
            self.fields(fields or {"message": text})
        else:
            self._write(text)

    def fields(self, value) -> None:
        """Writes a value as JSON."""
        self._write(json.dumps(value, indent=2, sort_keys=True, default=str))

    def _write(self, text):
        self._stream.write(text + "\n")


def _line(cells, widths):
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
