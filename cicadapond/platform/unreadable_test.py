"""No bytes that another writer puts into the store or sends may end the task that reads them."""

import json

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import example, given, settings

from cicadapond.gateway._reports import read_report
from cicadapond.platform import PlatformHeaderCodec, decode_configuration, decode_server
from cicadapond.platform.standin import Fleet, FleetSettings

CODEC = PlatformHeaderCodec()
ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1,
    "leaves_ms": 100,
}
HUGE = 1e300
VALUES_OF_HEADERS = (b"1e400", b"nan", b"9" * 5000, b"-1", b"timeout=" + b"9" * 400)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@given(field=st.sampled_from(sorted(ENTRY)), value=VALUES)
@example(field="leaves_ms", value=HUGE)
@example(field="leaves_ms", value=float("nan"))
@example(field="slots", value=float("inf"))
@example(field="born", value=10**400)
@settings(deadline=None)
def test_an_entry_of_a_server_with_any_value_is_decoded_or_a_finding(field, value):
    # A duration beyond what can be represented raised an error that ended the task which follows
    # the servers, so that the process never heard of another change.
    entry, findings = decode_server("s-1", json.dumps(ENTRY | {field: value}).encode())
    assert (entry is None) == bool(findings)


@given(raw=st.binary(max_size=60) | VALUES.map(lambda value: json.dumps(value).encode()))
@settings(deadline=None)
def test_any_bytes_are_decoded_or_a_finding(raw):
    for entry, findings in (decode_server("s-1", raw), decode_configuration(raw)):
        assert (entry is None) == bool(findings)


UNUSABLE_ENTRIES = (
    {"slots": 10**400},
    {"slots": 2**60},
    {"leaves_ms": 8e16},
    *({"address": f"{host}:80"} for host in ("a\0b", "\ud800", "x" * 64, "host", "256.0.0.1", "")),
    *({"address": f"127.0.0.1:{port}"} for port in ("0", "65536", "9" * 5000, "-1", "٣")),
    *({field: "a\ud800"} for field in ("service", "zone", "version")),
)


@pytest.mark.parametrize("fields", UNUSABLE_ENTRIES, ids=lambda fields: next(iter(fields)))
def test_an_entry_whose_values_nothing_can_use_names_no_server(fields):
    """Guards against LOST: it was listed, and each request that chose it ended in an error."""
    entry, findings = decode_server("s-1", json.dumps(ENTRY | fields).encode())
    assert entry is None and findings


@pytest.mark.parametrize("name", ["a\nb", "\ud800", "a b", "ü"])
def test_an_entry_whose_name_cannot_be_a_header_names_no_server(name):
    entry, findings = decode_server(name, json.dumps(ENTRY).encode())
    assert entry is None and findings


def fields_of(value, path=()):
    """Returns the paths of all values in decoded JSON."""
    inner = value.items() if isinstance(value, dict) else enumerate(value)
    for key, each in inner:
        yield (*path, key)
        if isinstance(each, dict | list):
            yield from fields_of(each, (*path, key))


def configurations(values):
    """Returns configurations with any one value replaced, with the path and the new value."""
    fleet = Fleet(FleetSettings(max_event_gap_ms=100), None)
    written = {}
    fleet.store.put = lambda table, key, value: written.update(value)
    fleet.configure()
    for path in list(fields_of(written)):
        for value in values:
            changed = json.loads(json.dumps(written))
            holder = changed
            for key in path[:-1]:
                holder = holder[key]
            holder[path[-1]] = value
            yield path, value, json.dumps(changed).encode()


def test_a_configuration_with_any_one_value_replaced_is_decoded_or_a_finding():
    for path, value, raw in configurations(
        (None, HUGE, -1, float("inf"), "x", [], {}, [None], True)
    ):
        cfg, findings = decode_configuration(raw)
        assert (cfg is None) == bool(findings), (path, value)


def test_a_configuration_with_a_value_beyond_any_use_is_decoded_or_a_finding():
    for path, value, raw in configurations((10**400, 8e16, float("nan"), "a\ud800")):
        cfg, findings = decode_configuration(raw)
        assert (cfg is None) == bool(findings), (path, value)
        if cfg is not None:
            json.dumps(attrs.asdict(cfg), default=str).encode()


@given(
    items=st.dictionaries(
        st.sampled_from(["", "s 1", "u 1", "x r", "d p", "e i", "a i", "o 1", "c i", "k t", "r p"])
        | st.text(max_size=4),
        VALUES,
        max_size=4,
    )
)
@example(items={"": [1, 1, 1, ""], "a i": [1, None, HUGE, False, None]})
@example(items={"": [1, 1, 1, ""], "c i": [HUGE, []]})
@settings(deadline=None)
def test_any_report_of_another_process_is_read_or_ignored(items):
    report = read_report(items)
    assert report is None or report.sequence is not None


@pytest.mark.parametrize("name", ["retry-after", "server-limit", "server-brittle", "keep-alive"])
@given(value=st.binary(max_size=30) | st.sampled_from(VALUES_OF_HEADERS))
@settings(deadline=None)
def test_any_value_of_a_servers_header_is_read_or_ignored(name, value):
    for header in (name, "x-cicadapond-server-load"):
        CODEC.parse_response_head(503, [(header.encode(), value)])
