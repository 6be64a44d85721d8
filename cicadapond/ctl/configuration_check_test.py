"""The command `check` as it is installed, from a file or standard input; no process runs."""

import base64
import json
import pathlib
import subprocess
import sys

from cicadapond.ctl._exit import Exit
from cicadapond.kernel import ManualClock
from cicadapond.platform.standin import Fleet, FleetSettings

PROGRAM = pathlib.Path(sys.executable).parent / "cicadapond-ctl"


def text(tmp_path, name, **changes):
    """Writes a configuration as an operator sends it; returns the file."""
    fleet = Fleet(FleetSettings(), ManualClock())
    fleet.configure(**changes)
    (row,) = fleet.store.rows("op", "", None)
    path = tmp_path / name
    path.write_bytes(base64.b64decode(row.value))
    return path


def check(*arguments, given=None):
    run = subprocess.run(
        [PROGRAM, "check", *arguments], input=given, capture_output=True, timeout=60
    )
    return run.returncode, run.stdout.decode()


def test_a_sound_configuration_passes_from_a_file_and_from_standard_input(tmp_path):
    path = text(tmp_path, "a.json", version=3)
    assert check(path) == (Exit.OK, "no findings\n")
    assert check("-", given=path.read_bytes()) == (Exit.OK, "no findings\n")


def test_all_findings_are_printed_at_once_with_their_places(tmp_path):
    path = tmp_path / "b.json"
    cfg = json.loads(text(tmp_path, "a.json").read_bytes())
    cfg["routes"][0]["service"] = "gone"
    cfg["routes"][1]["prefix"] = cfg["routes"][2]["prefix"]
    path.write_text(json.dumps(cfg))
    code, shown = check(path)
    assert code == Exit.REJECTED
    assert "routes[0]: error: there is no service 'gone'" in shown
    assert "routes[2]: error: can never match: routes[1] has the same host and prefix" in shown


def test_text_that_is_no_configuration_is_rejected(tmp_path):
    path = tmp_path / "c.json"
    path.write_text('{"version": 1, "routes": 3, "services": []}')
    code, shown = check(path)
    assert code == Exit.REJECTED and "'routes' has the wrong type" in shown
    assert check(tmp_path / "none.json")[0] == Exit.USAGE


def test_what_differs_from_the_version_in_force_is_shown(tmp_path):
    old = text(tmp_path, "a.json", version=3)
    cfg = json.loads(old.read_bytes())
    cfg["version"], cfg["routes"][0]["target_latency_ms"] = 4, 300
    new = tmp_path / "b.json"
    new.write_text(json.dumps(cfg))
    code, shown = check(new, old)
    assert code == Exit.OK
    assert "change: routes stream.objective: 400 ms -> 300 ms" in shown
