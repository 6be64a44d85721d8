"""Collects the log lines that explain one request, from the structured logs of many processes.

Beside the request's own lines these are changes around that time in the processes that handled
it: lost and regained dependencies, and state changes of the servers to which it was sent.
"""

import datetime
import json
import typing

import attrs

from cicadapond.kernel import Finding, Findings, Place

# Context is shown from this long before a request's first line until this long after its last.
CONTEXT_BEFORE = datetime.timedelta(seconds=5)
CONTEXT_AFTER = datetime.timedelta(seconds=1)
# Events that concern all requests of a process.
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
        "rollout_ordered",
        "rollout_withdrawn",
        "rollout_phase",
        "rollout_stopped",
    )
)
_COMMON_FIELDS = ("at", "process", "event", "request")


@attrs.frozen
class LogLine:
    """One structured log line; `fields` holds all its fields, including the common ones."""

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
    """Parses a log; text before a line's JSON object is skipped, as are lines without one.

    Args:
      source: Name of the log, for findings.
      text: The log.

    Returns:
      The lines, and a finding for each line that cannot be parsed.
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
            findings.add(Place(source, number), f"not a structured log line: {exc!r}")
    return lines, list(findings)


def explain(request_id: str, lines: typing.Iterable[LogLine]) -> list[LogLine]:
    """Returns the lines that explain a request, in order of time.

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

    def is_relevant(line):
        if line.fields.get("request") is not None:
            return line.fields["request"] == request_id
        if not first <= line.at <= last or line.process not in processes:
            return False
        return line.event in PROCESS_EVENTS or line.fields.get("server") in servers

    return [line for line in lines if is_relevant(line)]
