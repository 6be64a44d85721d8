"""Tests of the operators' tables on state dumps of real entries, on virtual time."""

import io
import json

from cicadapond.admin import to_jsonable
from cicadapond.ctl._exit import Exit
from cicadapond.ctl._output import Output
from cicadapond.ctl._processes import show_view
from cicadapond.ctl._views import VIEWS
from cicadapond.kernel import Findings, run_virtual, seconds
from cicadapond.scenario import parse_scenario
from cicadapond.scenario._world import World

SCENARIO = """
zone yqr entries=1 engines=2 services=1
account counter
load draft from 0s for 5s rate 2/s tokens=300
load durable from 0s for 5s rate 1/s tokens=300
"""


async def dumps():
    """Returns the state dumps of a simulated deployment's entries with requests in flight."""
    script = parse_scenario(SCENARIO, "views", Findings())
    world = World(script, 3)
    await world.start()
    for line in script.loads:
        await world.callers.run(line)
    world.backends.reclaim(world.backends.select("yqr", None, 1)[0], seconds(60))
    await world.clock.sleep(seconds(3))
    states = {
        name: json.loads(json.dumps(to_jsonable(process.entry.state() | {"in_flight": 0})))
        for name, process in world.entries.items()
    }
    await world.close()
    return states


def rendered(states, view, as_json=False):
    stream = io.StringIO()
    assert show_view(states, view, Output(stream, as_json)) is Exit.OK
    return stream.getvalue()


def test_hosts_and_requests_of_a_real_entry():
    states = run_virtual(dumps())
    hosts = rendered(states, "hosts").splitlines()
    assert len(hosts) == 1 + 3
    assert [line for line in hosts if "leaving" in line and "cloud" in line]
    requests = rendered(states, "requests")
    assert "attempts on engine-yqr" in requests
    assert "tokens durable" in requests


def test_quarantine_and_leases():
    quarantine = {"convicted": {"beef": "2026-12-03T23:00:00"}, "suspects": {"f00d": 1}}
    lease = {"name": "yqr", "holder": "c", "held_here": True, "fencing": 4, "left": 2.5}
    states = {"e": {"completions": {"quarantine": quarantine}}, "c": {"lease": lease}}
    assert "convicted" in rendered(states, "quarantine") and "1 crashes" in rendered(
        states, "quarantine"
    )
    rows = json.loads(rendered(states, "lease", as_json=True))
    assert rows == [dict(zip(VIEWS["lease"].columns, ("c", *lease.values()), strict=True))]


def test_the_store_view_shows_a_process_that_has_not_heard_of_a_restore():
    state = {"store_era": 1, "configuration": 7, "configuration_age": 0.52}
    lost = {"pool": {"is_stored": False}, "plain": {"is_stored": True}}
    states = {"edge-1": state | {"rollouts": lost}, "edge-2": state | {"store_era": 0}, "e": {}}
    rows = json.loads(rendered(states, "store", as_json=True))
    assert [(row["process"], row["era"]) for row in rows] == [("edge-1", 1), ("edge-2", 0)]
    assert [row["rollouts not stored"] for row in rows] == ["pool", ""]


def test_rollouts_show_the_evidence_and_the_reason_of_the_verdict():
    counts = {"answers": 80, "failed": 9, "timed": 70, "slow": 5}
    rollout = {
        "to": "v2",
        "phase": "rolled_back",
        "share": 0.04,
        "verdict": "bad",
        "verdict_reason": "failed responses on all routes",
        "reason": "failed responses on all routes",
        "evidence": {"new": counts, "old": {}},
    }
    states = {"edge-1": {"rollouts": {"pool": rollout}}, "edge-2": {}}
    (row,) = json.loads(rendered(states, "rollouts", as_json=True))
    assert (row["service"], row["phase"]) == ("pool", "rolled_back")
    assert row["new: failed/slow/all"] == "9/5/80" and row["old: failed/slow/all"] == ""
    assert row["reason"] == "failed responses on all routes"
