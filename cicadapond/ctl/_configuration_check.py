"""The command `check`: a configuration for the users' platform, before it is sent."""

import pathlib
import sys
import typing

from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.platform import decode_configuration, field_name
from cicadapond.serving import Configuration
from cicadapond.validation import Severity, check_configuration, differences

STANDARD_INPUT = "-"


def check(path: str, in_force: str | None, out: Output) -> Exit:
    """Prints all findings on a configuration, and what it changes.

    Args:
      path: The file with the configuration, "-" for the standard input.
      in_force: The file with the configuration in force, None to compare with none.
      out: Receives the results.

    Returns:
      Exit.OK, Exit.WARNINGS if there are warnings only, Exit.REJECTED if there are errors, and
      Exit.USAGE if a file cannot be read.
    """
    try:
        raw = _read(path)
        raw_in_force = _read(in_force) if in_force is not None else None
    except OSError as exc:
        print(exc, file=sys.stderr)
        return Exit.USAGE
    cfg, rows = _decode(raw, path)
    changes = []
    if cfg is not None:
        rows += [
            (remark.severity.value, remark.place, remark.message)
            for remark in check_configuration(cfg, field_name)
        ]
        if raw_in_force is not None:
            old, old_rows = _decode(raw_in_force, in_force)
            rows += [("error", place, f"in force: {message}") for _, place, message in old_rows]
            changes = differences(old, cfg, field_name("accounts")) if old is not None else []
    _print(rows, changes, out)
    severities = {severity for severity, *_ in rows}
    if Severity.ERROR.value in severities:
        return Exit.REJECTED
    return Exit.WARNINGS if severities else Exit.OK


def _read(path):
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return pathlib.Path(path).read_bytes()


def _decode(raw, path) -> tuple[Configuration | None, list[tuple]]:
    cfg, findings = decode_configuration(raw)
    rows = [
        (Severity.ERROR.value, found.place.source.removeprefix("configuration."), found.message)
        for found in findings
    ]
    if cfg is None and not rows:
        rows.append((Severity.ERROR.value, path, "is not a configuration"))
    return cfg, rows


def _print(rows: typing.Sequence[tuple], changes, out):
    if out.as_json:
        out.fields(
            {
                "findings": [
                    dict(zip(("severity", "place", "message"), row, strict=True)) for row in rows
                ],
                "changes": [
                    {"place": each.place, "before": each.before, "after": each.after}
                    for each in changes
                ],
            }
        )
        return
    for severity, place, message in rows:
        out.message(f"{place}: {severity}: {message}")
    for change in changes:
        out.message(f"change: {change}")
    if not rows:
        out.message("no findings")
