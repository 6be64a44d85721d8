"""Signals that reach real processes while they import, each at a drawn import."""

import os
import random
import signal
import subprocess
import sys

import pytest

from cicadapond.platform.standin import Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

SERVERS = ("controller", "entry", "gateway", "standin", "demo")
COMMANDS = ("ctl", "load", "scenario", "soak")
DRAWN_IMPORTS = 120
# Sends the process a signal at one of the imports that follow the package's own.
SENDER = """
import os, sys
class Sender:
    left = None
    def find_spec(self, name, path=None, target=None):
        if Sender.left is None and name.startswith("cicadapond.{program}"):
            Sender.left = {position}
        if Sender.left is not None:
            Sender.left -= 1
            if Sender.left == -1:
                print("sent", file=sys.stderr)
                os.kill(os.getpid(), {number})
sys.meta_path.insert(0, Sender())
"""


def start(tmp_path, program, number, position, *arguments):
    """Starts a program that gets a signal at an import, the first one after its package's."""
    sender = SENDER.format(program=program, number=int(number), position=position)
    (tmp_path / "sitecustomize.py").write_text(sender)
    path = os.pathsep.join((str(tmp_path), *filter(None, sys.path)))
    return subprocess.Popen(
        [sys.executable, "-m", f"cicadapond.{program}.main", *arguments],
        env=os.environ | {"PYTHONPATH": path},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("program", SERVERS + COMMANDS)
def test_no_signal_during_import_ends_a_program_by_its_default_action(tmp_path, program, number):
    position = random.Random(f"{program} {number}").randrange(DRAWN_IMPORTS)
    process = start(tmp_path, program, number, position, "--help")
    output, errors = process.communicate(timeout=60)
    assert errors.splitlines() == ["sent"]
    # A command that is interrupted says so to the shell.
    interrupted = number == signal.SIGINT and program in COMMANDS
    assert process.returncode == (-number if interrupted else 0)
    assert ("Usage:" in output) == (number != signal.SIGTERM and not interrupted)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGINT])
def test_a_gateway_does_not_forget_a_signal_that_came_during_import(tmp_path, number):
    ports = {kind: free_endpoint().port for kind in ("frontend", "readiness")}
    fleet = Fleet(FleetSettings(), clock=None)
    for name in ("store", "cloud"):
        fleet.relay(name, free_endpoint().port)
    settings = tmp_path / "settings.conf"
    settings.write_text(fleet.settings_text(ports | {"peers": free_port_range(4)}))
    process = start(tmp_path, "gateway", number, 0, f"--settings={settings}")
    try:
        reloaded = any('"event": "reloaded"' in line for line in process.stdout)
        assert reloaded == (number == signal.SIGHUP)
        assert reloaded or process.wait(timeout=60) == 0
    finally:
        process.kill()
        process.communicate()
