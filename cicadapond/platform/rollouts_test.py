"""Tests of the rows of rollouts: orders are checked, and the operator reads the status as JSON."""

import asyncio
import base64
import datetime
import json

import pytest

from cicadapond.forwarding import HttpClient, Reply
from cicadapond.kernel import Metrics
from cicadapond.platform import PlatformRolloutCodec, PlatformStore, read_settings
from cicadapond.platform.standin import Fleet, FleetSettings
from cicadapond.provider import Write
from cicadapond.rollout import Phase, RolloutOrder

CODEC = PlatformRolloutCodec()
ORDER = {"service": "pool", "to": "v2", "duration_s": 25}


def test_an_order_is_read_and_identified_by_its_rows_version():
    order, findings = CODEC.decode_order("rollout/pool", json.dumps(ORDER).encode(), 7)
    assert not findings
    assert order == RolloutOrder("pool", "v2", datetime.timedelta(seconds=25), 7)
    assert CODEC.service_of("rollout/pool") == "pool" and CODEC.service_of("config") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "other"},
        {"to": ""},
        {"to": 2},
        {"duration_s": 0},
        {"duration_s": "25"},
        {"duration_s": float("nan")},
        {"duration_s": 1e12},
        # Guard against an error for which no later row of the operator would be applied, and
        # against a state that cannot be written.
        {"duration_s": 10**400},
        {"to": "\ud800"},
        {"to": "v\t2"},
    ],
)
def test_an_invalid_order_is_a_finding(changes):
    raw = json.dumps(ORDER | changes).encode()
    order, findings = CODEC.decode_order("rollout/pool", raw, 7)
    assert order is None and list(findings)


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[]", b"{"])
def test_an_order_that_is_no_json_object_is_a_finding(raw):
    order, findings = CODEC.decode_order("rollout/pool", raw, 7)
    assert order is None and list(findings)


class _Recorder(HttpClient):
    """Records the body of the last call in place of sending it."""

    def __init__(self):
        self.body = None

    async def call(self, method, target, headers, body, timeout):
        self.body = json.loads(body)
        return Reply(200, b'{"ver": 3, "now_ms": 1}')


def test_the_status_is_written_as_json_beside_a_row_of_the_products_own():
    client = _Recorder()
    own = Write("rollouts", "pool", {"phase": "trial"}, expected=2)
    status = CODEC.status_write("pool", "v2", Phase.TRIAL)
    asyncio.run(PlatformStore(client, None, Metrics()).transact((own, status)))
    rows = {
        row["table"]: (row["part"], row["key"], base64.b64decode(row["value"]))
        for row in client.body["writes"]
    }
    part, key, raw = rows["status"]
    assert (part, key) == ("", "rollout/pool")
    assert json.loads(raw) == {"state": "in_progress", "to": "v2"}
    assert CODEC.decode_own_row(rows["rollouts"][2]) == {"phase": "trial"}
    assert CODEC.decode_own_row(b"\xc1") is None
    for phase in (Phase.COMPLETED, Phase.ROLLED_BACK):
        assert CODEC.status_write("pool", "v2", phase).value["state"] == phase.value


def test_rollouts_are_on_where_the_settings_say_so(tmp_path):
    def read(cfg):
        fleet = Fleet(cfg, None)
        fleet._ports |= {"store": 1, "cloud": 2}
        path = tmp_path / "edge.conf"
        path.write_text(fleet.settings_text({"frontend": 3, "readiness": 4, "peers": 5}))
        return read_settings(str(path), 0)[0]

    assert not read(FleetSettings()).rolls_out
    settings = read(FleetSettings(rolls_out=True, exposure_tolerance=7))
    assert settings.rolls_out
    bounds = settings.bounds
    assert (bounds.exposure_share, bounds.exposure_tolerance) == (0.1, 7)
    assert bounds.rollback == datetime.timedelta(seconds=5)
