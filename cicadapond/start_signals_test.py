"""Signals that reach real processes while they start and while they exit."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import tomllib

import pytest

import cicadapond
from cicadapond.platform.standin import Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

SERVERS = ("controller", "entry", "gateway", "standin", "demo")
COMMANDS = ("ctl", "load", "scenario", "soak")
DRAWN_IMPORTS = 120
LAUNCHER = pathlib.Path(cicadapond.__file__).with_name("launch.py")
DEPLOY_FILE = LAUNCHER.parent.parent / "deploy" / "system.toml"
# Runs the launcher until it takes SIGHUP over, and prints what it has imported by then.
IMPORTED = """
import _signal, posix, runpy, sys
before = set(sys.modules)
def take(number, handler):
    print(*sorted(set(sys.modules) - before), sep="\\n", flush=True)
    posix._exit(0)
_signal.signal = take
exec(compile({source!r}, "launch.py", "exec"), {{"__name__": "__main__"}})
"""
# A program that gets all signals once its last task has ended.
EXITING = """
import asyncio, os, signal, sys
sys.argv[0] = "cicadapond-gateway"
from cicadapond.kernel._signals import stop_on_signals
async def main():
    stop_on_signals()
asyncio.run(main())
for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
    os.kill(os.getpid(), number)
"""
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


def start_by_launcher(program, *arguments):
    """Starts a program as the deploy file does, except for its libraries' folder."""
    return subprocess.Popen(
        [sys.executable, "-S", LAUNCHER, program, *arguments],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_until_caught(process, number):
    """Returns as soon as the process takes a signal over."""
    status = pathlib.Path(f"/proc/{process.pid}/status")
    while True:
        lines = dict(line.split(":", 1) for line in status.read_text().splitlines())
        if int(lines["SigCgt"], 16) >> (number - 1) & 1:
            return


def write_settings(tmp_path):
    ports = {kind: free_endpoint().port for kind in ("frontend", "readiness")}
    fleet = Fleet(FleetSettings(), clock=None)
    for name in ("store", "cloud"):
        fleet.relay(name, free_endpoint().port)
    settings = tmp_path / "settings.conf"
    settings.write_text(fleet.settings_text(ports | {"peers": free_port_range(4)}))
    return settings


def reloads(process):
    """Returns whether a gateway reloads its settings before it ends."""
    return any('"event": "reloaded"' in line for line in process.stdout)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGINT])
def test_a_gateway_does_not_forget_a_signal_that_came_during_import(tmp_path, number):
    settings = write_settings(tmp_path)
    process = start(tmp_path, "gateway", number, 0, f"--settings={settings}")
    try:
        reloaded = reloads(process)
        assert reloaded == (number == signal.SIGHUP)
        assert reloaded or process.wait(timeout=60) == 0
    finally:
        process.kill()
        process.communicate()


def test_a_gateway_reloads_after_a_hangup_that_comes_as_early_as_it_can_be_taken(tmp_path):
    """Guards against FAULT: a change of settings right after a start ended the process."""
    process = start_by_launcher("gateway", f"--settings={write_settings(tmp_path)}")
    try:
        wait_until_caught(process, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        assert reloads(process)
    finally:
        process.kill()
        process.communicate()


def test_a_process_of_the_deploy_file_imports_nothing_before_it_takes_signals_over():
    """Guards against FAULT: SIGHUP ended processes during imports that need not come first."""
    program, *arguments = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["gateway"]["run"].split()
    assert (program, arguments[:3]) == ("python3", ["-S", "cicadapond/launch.py", "gateway"])
    code = IMPORTED.format(source=LAUNCHER.read_text())
    output = subprocess.run(
        [sys.executable, "-S", "-c", code], capture_output=True, text=True, check=True
    )
    assert output.stdout.split() == []


@pytest.mark.parametrize("program", SERVERS + COMMANDS)
def test_the_launcher_runs_each_program_and_a_stop_that_comes_early_ends_it(program):
    process = start_by_launcher(program, "--help")
    output, errors = process.communicate(timeout=60)
    assert (process.returncode, errors) == (0, "") and f"Usage: cicadapond-{program}" in output
    process = start_by_launcher(program, "--help")
    wait_until_caught(process, signal.SIGTERM)
    process.terminate()
    output, errors = process.communicate(timeout=60)
    assert errors == "" and process.returncode in (0, -signal.SIGTERM)


def test_no_signal_ends_a_program_that_exits():
    """Guards against FAULT: the loop closes and gives signals their default actions back."""
    path = os.pathsep.join(filter(None, sys.path))
    ended = subprocess.run([sys.executable, "-c", EXITING], env=os.environ | {"PYTHONPATH": path})
    assert ended.returncode == 0
