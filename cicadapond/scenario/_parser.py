"""Parses the scenario language and checks options; every finding has its line and column."""

import datetime
import functools
import importlib.resources

import attrs
import lark

from cicadapond.kernel import Findings, Place
from cicadapond.scenario._script import (
    AccountLine,
    ExpectLine,
    FaultLine,
    LoadLine,
    Option,
    Script,
    ZoneLine,
)

_UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_POSITIONAL_FIELDS = ("name", "place", "kind", "start", "length", "rate")


def parse_scenario(text: str, source: str, findings: Findings) -> Script | None:
    """Parses a scenario.

    Args:
      text: The scenario.
      source: The name of the scenario's file, for the places of findings.
      findings: Receives the errors found.

    Returns:
      The scenario, or None if it does not parse.
    """
    try:
        tree = _parser().parse(text.rstrip("\n") + "\n")
    except lark.exceptions.UnexpectedInput as exc:
        findings.add(Place(source, exc.line, exc.column), _explain(exc, text))
        return None
    return _ScriptBuilder(source, findings).build(tree)


@functools.cache
def _parser():
    grammar = importlib.resources.files("cicadapond.scenario").joinpath("scenario.lark")
    return lark.Lark(grammar.read_text(), parser="lalr", propagate_positions=True)


def _explain(exc, text):
    lines = text.split("\n")
    line = lines[exc.line - 1] if 0 < exc.line <= len(lines) else ""
    rest = line[exc.column - 1 :].strip() or "the end of the line"
    return f"does not parse at {rest!r}"


class _ScriptBuilder:
    def __init__(self, source, findings):
        self._source = source
        self._findings = findings
        self._single = {"title": "", "seed": 1, "run": datetime.timedelta(minutes=1)}
        self._repeated = {"zone": [], "account": [], "load": [], "fault": [], "expect": []}

    def build(self, tree):
        for statement in tree.children:
            getattr(self, f"_{statement.data}")(statement)
        return Script(
            title=self._single["title"],
            seed=self._single["seed"],
            length=self._single["run"],
            zones=tuple(self._repeated["zone"]),
            accounts=tuple(self._repeated["account"]),
            loads=tuple(self._repeated["load"]),
            faults=tuple(self._repeated["fault"]),
            expects=tuple(self._repeated["expect"]),
        )

    def _title(self, statement):
        self._single["title"] = statement.children[0][1:-1]

    def _seed(self, statement):
        self._single["seed"] = int(statement.children[0])

    def _run(self, statement):
        self._single["run"] = _duration(statement.children[0])

    def _zone(self, statement):
        name, *options = statement.children
        self._add("zone", ZoneLine, (str(name), self._place(statement)), options)

    def _account(self, statement):
        name, *options = statement.children
        self._add("account", AccountLine, (str(name), self._place(statement)), options)

    def _load(self, statement):
        kind, start, length, rate, *options = statement.children
        values = (str(kind), _duration(start), _duration(length), float(rate[:-2]))
        self._add("load", LoadLine, (*values, self._place(statement)), options)

    def _fault(self, statement):
        at, verb, *children, length = statement.children
        arguments = tuple(self._argument(child) for child in children)
        duration = _duration(length) if length is not None else None
        line = FaultLine(_duration(at), str(verb), arguments, duration, self._place(statement))
        self._repeated["fault"].append(line)

    def _expect(self, statement):
        figure, comparison, bound = statement.children
        value = _value(bound) if bound is not None else None
        operator = str(comparison) if comparison is not None else None
        line = ExpectLine(str(figure), operator, value, self._place(statement))
        self._repeated["expect"].append(line)

    def _add(self, group, cls, positional, options):
        fields = {field.name: field for field in attrs.fields(cls)}
        values = {}
        for option in (self._argument(child) for child in options):
            field = fields.get(option.key)
            if field is None or option.key in _POSITIONAL_FIELDS:
                known = ", ".join(name for name in fields if name not in _POSITIONAL_FIELDS)
                message = f"{group} has no option {option.key!r}; known: {known}"
                self._findings.add(option.place, message)
                continue
            if not _has_type(option.value, field.type):
                message = f"{option.key}: {option.value!r} is not a {field.type.__name__}"
                self._findings.add(option.place, message)
                continue
            values[option.key] = option.value
        self._repeated[group].append(cls(*positional, **values))

    def _argument(self, tree):
        if tree.data != "option":
            return Option("", _value(tree), self._place(tree))
        key, value = tree.children
        return Option(str(key), _value(value), self._place(tree))

    def _place(self, tree):
        return Place(self._source, tree.meta.line, tree.meta.column)


def _has_type(value, expected):
    if expected is float:
        return isinstance(value, (int, float))
    return type(value) is expected


def _value(tree):
    token = tree.children[0]
    match tree.data:
        case "duration":
            return _duration(token)
        case "percent":
            return float(token[:-1]) / 100
        case "number":
            return float(token) if "." in token else int(token)
        case "string":
            return str(token[1:-1])
    return str(token)


def _duration(token):
    for unit in ("ms", "s", "m", "h"):
        if token.endswith(unit):
            number = float(token[: -len(unit)])
            return datetime.timedelta(seconds=number * _UNIT_SECONDS[unit])
    raise ValueError(f"{token!r} is not a duration")
