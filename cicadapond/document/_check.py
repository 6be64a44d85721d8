"""Validation of the whole document before a change is accepted.

Sections that are valid separately may still be inconsistent: an account may name a model that is
not in section `models`, or a policy may not exist in this release.  All findings are reported
together, each with its section, line and column.
"""

import typing

import attrs

from cicadapond.document._intent import SECTIONS, Intent, parse_sections
from cicadapond.kernel import Findings, Node, Place

POLICY_KEYS = ("admission", "routing", "moving", "capacity")


@attrs.frozen
class KnownNames:
    """Names defined outside the document; None or absent where they are not known.

    Attributes:
      zones: The data centres of the deployment.
      machine_classes: The machine classes that the cloud API offers.
      policies: The registered policy names, by key of section `policies`.
    """

    zones: frozenset[str] | None = None
    machine_classes: frozenset[str] | None = None
    policies: typing.Mapping[str, frozenset[str]] = attrs.field(factory=dict)


def check_document(
    sections: typing.Mapping[str, str], revision: int, known: KnownNames, findings: Findings
) -> Intent | None:
    """Parses and validates the whole document, including references between sections.

    Args:
      sections: Each section's text, JSON with comments, by section name.
      revision: The revision number of the result.
      known: Names defined outside the document.
      findings: Receives every error, with section, line and column.

    Returns:
      The intent, or None if there are findings.
    """
    before = len(findings)
    parsed = parse_sections(sections, findings)
    invalid = set(sections) - set(parsed)
    nodes = {section: node for section, (node, _) in parsed.items()}
    intent = Intent(revision=revision, **{section: value for section, (_, value) in parsed.items()})
    _check_models(intent, nodes, findings)
    _check_accounts(intent, nodes, invalid, findings)
    _check_cost(intent, nodes, known, findings)
    _check_policies(intent, nodes, known, findings)
    _check_editors(intent, nodes, findings)
    return intent if len(findings) == before else None


# Single sections


def _check_models(intent, nodes, findings):
    for name, model in intent.models.items():
        item = nodes["models"].value[name]
        if model.pool in intent.applications:
            message = f"pool {model.pool!r} of model {name!r} is also the name of an application"
            findings.add(_place(item, "pool"), message)
        _check_duplicates(item, "adapters", findings)


def _check_accounts(intent, nodes, invalid, findings):
    owners = {}
    for name, account in intent.accounts.items():
        item = nodes["accounts"].value[name]
        if "models" not in invalid:
            _check_references(item, "models", account.models, intent.models, "model", findings)
        if "applications" not in invalid:
            services = intent.applications
            _check_references(item, "services", account.services, services, "application", findings)
        _check_key_owners(item, name, account.key_hashes, owners, findings)


def _check_cost(intent, nodes, known, findings):
    if "cost" not in nodes:
        return
    node = nodes["cost"]
    _check_duplicates(node, "zones", findings)
    _check_duplicates(node, "markets", findings)
    if known.zones is not None:
        _check_references(node, "zones", intent.cost.zones, known.zones, "zone", findings)
    if known.machine_classes is not None:
        for name in intent.cost.machine_classes:
            if name not in known.machine_classes:
                place = node.value["machine_classes"].key_places[name]
                findings.add(
                    place, _not_found_message("machine class", name, known.machine_classes)
                )
    if intent.cost.zones and not intent.cost.machine_classes:
        findings.add(_place(node, "zones"), "zones are listed, but no machine_classes to buy there")


def _check_policies(intent, nodes, known, findings):
    if "policies" not in nodes:
        return
    for key in POLICY_KEYS:
        names = known.policies.get(key)
        chosen = getattr(intent.policies, key)
        if names is not None and chosen not in names:
            place = _place(nodes["policies"], key)
            findings.add(place, _not_found_message(f"{key} policy", chosen, names))


def _check_editors(intent, nodes, findings):
    if "editors" not in nodes:
        return
    node = nodes["editors"]
    owners = {}
    for name, editor in intent.editors.items():
        item = node.value[name]
        _check_references(item, "sections", editor.sections, SECTIONS, "section", findings)
        _check_key_owners(item, name, editor.key_hashes, owners, findings)
    if not any("editors" in editor.sections for editor in intent.editors.values()):
        findings.add(
            node.place, "no editor may edit section 'editors'; it could never be changed again"
        )


# Helpers


def _check_references(item, key, names, existing, kind, findings):
    for place, name in zip(_item_places(item, key), names or (), strict=False):
        if name not in existing:
            findings.add(place, _not_found_message(kind, name, existing))


def _check_duplicates(item, key, findings):
    seen = set()
    for node in item.value[key].value if key in item.value else ():
        if node.value in seen:
            findings.add(node.place, f"{node.value!r} is listed twice in {key}")
        seen.add(node.value)


def _check_key_owners(item, name, hashes, owners, findings):
    for place, found in zip(_item_places(item, "key_hashes"), hashes, strict=False):
        owner = owners.setdefault(found, name)
        if owner != name:
            findings.add(place, f"key hash {found[:8]}... of {name!r} already belongs to {owner!r}")


def _item_places(item: Node, key):
    found = item.value.get(key)
    if found is None or not isinstance(found.value, list):
        return []
    return [node.place for node in found.value]


def _place(node: Node, key) -> Place:
    return node.value[key].place if key in node.value else node.place


def _not_found_message(kind, name, existing):
    return f"{kind} {name!r} does not exist; there are {', '.join(sorted(existing)) or 'none'}"
