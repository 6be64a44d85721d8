"""The document's sections as validated, immutable types, and their parser."""

import datetime
import enum
import functools
import typing

import attrs

from cicadapond.data import Market, Priority
from cicadapond.kernel import (
    Findings,
    Node,
    Place,
    at_least,
    between,
    matches,
    parse_jsonc,
    setting,
    structure,
)

_check_key_hash = matches(r"[0-9a-f]{64}", "a SHA-256 in lower-case hex")
_SECONDS = datetime.timedelta(seconds=1)
MAX_CACHED_SECTIONS = 64


class PriorityName(enum.Enum):
    """The names of priorities in the document."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    def priority(self) -> Priority:
        """Returns the corresponding priority."""
        return Priority[self.name]


@attrs.frozen
class ModelIntent:
    """Section `models`: one model, keyed by the name that callers use."""

    pool: str
    version: str
    replicas: int = setting(default=1, check=between(0, 10_000))
    adapters: tuple[str, ...] = ()
    first_token_target: datetime.timedelta = datetime.timedelta(milliseconds=320)
    token_interval_target: datetime.timedelta = datetime.timedelta(milliseconds=52)
    max_tokens: int = setting(default=4096, check=at_least(1))
    default_priority: PriorityName = PriorityName.STANDARD


@attrs.frozen
class CallRule:
    """Whether calls of a method to paths under a prefix are idempotent; the first match applies."""

    method: str
    path: str
    idempotent: bool


@attrs.frozen
class ApplicationIntent:
    """Section `applications`: one plain HTTP service, keyed by its name in request paths."""

    replicas: int = setting(default=1, check=between(0, 10_000))
    calls: tuple[CallRule, ...] = ()
    timeout: datetime.timedelta = 10 * _SECONDS
    slots_per_server: int = setting(default=32, check=at_least(1))


@attrs.frozen
class AccountIntent:
    """Section `accounts`: one client account.

    Admission policy "fair" applies the limits, in each entry process separately.

    Attributes:
      key_hashes: SHA-256 hashes of the account's keys.
      share: The account's weight relative to the other accounts that use a pool.
      max_in_flight: The maximum number of requests in flight per pool.
      max_queued: The maximum number of waiting requests per pool and priority.
      requests_per_second: The maximum rate of requests to all pools together.
      models: The models that it may use; None for all.
      services: The services that it may use; None for all.
    """

    key_hashes: tuple[str, ...] = setting(
        default=(), check=lambda hashes: next(filter(None, map(_check_key_hash, hashes)), None)
    )
    share: float = setting(default=1.0, check=between(0.001, 1000.0))
    max_in_flight: int = setting(default=256, check=at_least(1))
    max_queued: int = setting(default=256, check=at_least(0))
    requests_per_second: float = setting(default=1000.0, check=at_least(0.001))
    models: tuple[str, ...] | None = None
    services: tuple[str, ...] | None = None


@attrs.frozen
class MachineClass:
    """Capacity of a machine class, and its price limit in the platform's currency."""

    slots: int = setting(check=at_least(1))
    max_price_per_hour: float = setting(default=1000.0, check=at_least(0.0))


@attrs.frozen
class CostIntent:
    """Section `cost`: which machines may be bought, and the weights of cost and recomputation.

    `on_demand_ceiling` is the largest share of a pool's required slots that may be bought on demand
    while reclaimable machines do not cover them.
    """

    zones: tuple[str, ...] = ()
    machine_classes: dict[str, MachineClass] = setting(factory=dict)
    cost_weight: float = setting(default=1.0, check=at_least(0.0))
    recompute_weight: float = setting(default=1.0, check=at_least(0.0))
    on_demand_ceiling: float = setting(default=0.5, check=between(0.0, 1.0))
    markets: tuple[Market, ...] = (Market.RECLAIMABLE, Market.ON_DEMAND)


@attrs.frozen
class PolicyIntent:
    """Section `policies`: the registered names of the policies in use, and their limits.

    Attributes:
      drain_limit: Not used.
      retry_share: Retries that each successful request allows.
      conviction_term: How long a request that crashed backend servers stays quarantined.
      durable_term: How long the outcome of a durable request is kept.
    """

    admission: str = "fair"
    routing: str = "scored"
    moving: str = "export"
    capacity: str = "cheapest-mix"
    keyed_calls: str = "ledger"
    drain_limit: datetime.timedelta = datetime.timedelta(minutes=10)
    retry_share: float = setting(default=0.1, check=between(0.0, 1.0))
    conviction_term: datetime.timedelta = datetime.timedelta(hours=1)
    durable_term: datetime.timedelta = datetime.timedelta(days=2)


@attrs.frozen
class EditorIntent:
    """Section `editors`: one editor of the document, and the sections that it may edit."""

    key_hashes: tuple[str, ...] = setting(
        check=lambda hashes: next(filter(None, map(_check_key_hash, hashes)), None)
    )
    sections: tuple[str, ...] = ()


@attrs.frozen
class Intent:
    """One validated revision of the document."""

    revision: int = 0
    models: dict[str, ModelIntent] = attrs.field(factory=dict)
    applications: dict[str, ApplicationIntent] = attrs.field(factory=dict)
    accounts: dict[str, AccountIntent] = attrs.field(factory=dict)
    cost: CostIntent = attrs.field(factory=CostIntent)
    policies: PolicyIntent = attrs.field(factory=PolicyIntent)
    editors: dict[str, EditorIntent] = attrs.field(factory=dict)


SECTIONS = ("models", "applications", "accounts", "cost", "policies", "editors")


def parse_sections(
    sections: typing.Mapping[str, str], findings: Findings
) -> dict[str, tuple[Node, object]]:
    """Parses each section separately.

    Args:
      sections: Each section's text, JSON with comments, by section name.
      findings: Receives every error, with section, line and column.

    Returns:
      By section, its root node and its validated value; invalid sections are left out.
    """
    parsed = {}
    for section, text in sections.items():
        if section not in SECTIONS:
            findings.add(Place(section), f"unknown section; there are {', '.join(SECTIONS)}")
            continue
        node, value, section_findings = _parse_section(section, text)
        for finding in section_findings:
            findings.add(finding.place, finding.message)
        if not section_findings:
            parsed[section] = (node, value)
    return parsed


@functools.lru_cache(maxsize=MAX_CACHED_SECTIONS)
def _parse_section(section, text):
    """Returns a section's node, value and findings.

    Results are cached because most sections do not change from one revision to the next.
    """
    findings = Findings()
    node = parse_jsonc(text, section, findings)
    section_type = typing.get_type_hints(Intent)[section]
    value = None if node is None else structure(node, section_type, findings)
    return node, value, tuple(findings)


def parse_document(
    sections: typing.Mapping[str, str], revision: int, findings: Findings
) -> Intent | None:
    """Parses and validates the sections of the document.

    Args:
      sections: Each section's text, JSON with comments, by section name.
      revision: The revision number of the result.
      findings: Receives every error, with section, line and column.

    Returns:
      The intent, or None if there are findings.
    """
    before = len(findings)
    parsed = parse_sections(sections, findings)
    if len(findings) > before:
        return None
    values = {section: value for section, (_, value) in parsed.items()}
    return Intent(revision=revision, **values)
