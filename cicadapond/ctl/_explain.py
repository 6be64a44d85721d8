"""Explains one request from the structured logs of any processes, in order of time.

Beside the request's own lines it shows what the processes that handled it came to believe around
that time: lost and regained dependencies, and changes of the servers that it was sent to.
"""

import datetime
import json
import typing

import attrs

from cicadapond.kernel import Finding, Findings, Place

# How far before a request's first line a change of belief may matter to it, and after its last.
CONTEXT_BEFORE = datetime.timedelta(seconds=5)
CONTEXT_AFTER = datetime.timedelta(seconds=1)
# Lines of these events concern every request of a process.
PROCESS_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "reloaded",
        "table_lost",
        "table_regained",
        "history_lost",
        "clock_corrected",
        "configuration_unreadable",
    )
)
_COMMON_FIELDS = ("at", "process", "event", "request")


@attrs.frozen
class LogLine:
    """One line of a log: when, by which process, what, and the rest of its fields."""

    at: datetime.datetime
    process: str
    event: str
    fields: typing.Mapping[str, object]

    def __str__(self):
        rest = " ".join(
            f"{name}={json.dumps(value)}" if isinstance(value, dict | list) else f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _COMMON_FIELDS and value is not None
        )
        time = self.at.isoformat(timespec="milliseconds")[11:23]
        return f"{time} {self.process} {self.event} {rest}".rstrip()


def read_log(source: str, text: str) -> tuple[list[LogLine], list[Finding]]:
    """Reads the lines of a log; what stands before a line's JSON object is skipped.

    Args:
      source: Where the text is from, for findings.
      text: The log.
    """
    lines, findings = [], Findings()
    for number, raw in enumerate(text.splitlines(), start=1):
        begin = raw.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(raw[begin:])
            at = datetime.datetime.fromisoformat(fields["at"])
            lines.append(LogLine(at, fields["process"], fields["event"], fields))
        except (ValueError, KeyError, TypeError) as exc:
            findings.add(Place(source, number), f"is no line of a structured log: {exc!r}")
    return lines, list(findings)


def explain(request_id: str, lines: typing.Iterable[LogLine]) -> list[LogLine]:
    """Returns the lines that tell what became of a request, in order of time.

    Args:
      request_id: The request's id.
      lines: The lines of all processes.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    processes = {line.process for line in own}
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    first, last = own[0].at - CONTEXT_BEFORE, own[-1].at + CONTEXT_AFTER

    def matters(line):
        if line.fields.get("request") is not None:
            return line.fields["request"] == request_id
        if not first <= line.at <= last or line.process not in processes:
            return False
        return line.event in PROCESS_EVENTS or line.fields.get("server") in servers

    return [line for line in lines if matters(line)]
