"""What a configuration changes against the one in force."""

import attrs

from cicadapond.serving import Configuration


@attrs.frozen
class Difference:
    """One change; `before` or `after` is None for an entry that is added or removed."""

    place: str
    before: str | None
    after: str | None

    def __str__(self):
        if self.before is None:
            return f"{self.place}: added: {self.after}"
        if self.after is None:
            return f"{self.place}: removed: {self.before}"
        return f"{self.place}: {self.before} -> {self.after}"


def differences(
    before: Configuration, after: Configuration, accounts: str = "accounts"
) -> list[Difference]:
    """Returns the changes by entry and field; keys of accounts are counted and not shown.

    Args:
      before: The configuration in force.
      after: The one to be sent.
      accounts: What operators call the client accounts.
    """
    found = []
    if after.version <= before.version:
        found.append(
            Difference(
                "version", f"{before.version}", f"{after.version} (no newer: never in force)"
            )
        )
    found += _fields("limits", before.limits, after.limits)
    for kind, old, new in (
        ("routes", _by_name(before.routes), _by_name(after.routes)),
        ("services", before.services, after.services),
        (accounts, _by_name(before.accounts or ()), _by_name(after.accounts or ())),
    ):
        found += _entries(kind, old, new)
    if (before.accounts is None) != (after.accounts is None):
        texts = {True: "no request needs a key", False: "requests need keys"}
        found.append(
            Difference(accounts, texts[before.accounts is None], texts[after.accounts is None])
        )
    return found


def _by_name(entries):
    return {entry.name: entry for entry in entries}


def _entries(kind, old, new):
    for name in [*old, *(name for name in new if name not in old)]:
        place = f"{kind} {name}"
        if name not in new:
            yield Difference(place, _summary(old[name]), None)
        elif name not in old:
            yield Difference(place, None, _summary(new[name]))
        else:
            yield from _fields(place, old[name], new[name])


def _fields(place, old, new):
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        inner = f"{place}.{field.name}"
        if isinstance(before, frozenset):
            added, removed = len(after - before), len(before - after)
            yield Difference(inner, f"{len(before)}", f"{len(after)} (+{added}, -{removed})")
        elif attrs.has(type(before)) and type(before) is type(after):
            yield from _fields(inner, before, after)
        else:
            yield Difference(inner, _text(before), _text(after))


def _summary(entry):
    shown = {"host", "prefix", "kind", "services", "rate", "burst", "max_connections"}
    fields = [field.name for field in attrs.fields(type(entry)) if field.name in shown]
    return ", ".join(f"{name}={_text(getattr(entry, name))}" for name in fields)


def _text(value):
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_text, value)) + "]"
    if hasattr(value, "service") and hasattr(value, "weight"):
        return f"{value.service}:{value.weight:g}"
    if hasattr(value, "total_seconds"):
        return f"{value.total_seconds() * 1000:g} ms"
    return str(getattr(value, "value", value))
