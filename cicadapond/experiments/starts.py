"""How long a gateway process cannot take a signal after its start, by how it is started."""

import os
import pathlib
import signal
import statistics
import subprocess
import sys
import time

import cicadapond
from cicadapond.experiments._table import Experiment, Table, experiments

STARTS_PER_SEED = 20
LAUNCHER = pathlib.Path(cicadapond.__file__).with_name("launch.py")
# Takes the signal and does nothing else: what no program can go below.
BARE = "import _signal; _signal.signal(_signal.SIGHUP, lambda *_: None); input()"
COMMANDS = {
    "python3 -m cicadapond.gateway.main": ("-m", "cicadapond.gateway.main"),
    "python3 -S cicadapond/launch.py gateway": ("-S", str(LAUNCHER), "gateway"),
    "only the signal": ("-S", "-c", BARE),
}


def _time_to_handler(arguments):
    """Returns the seconds from before a process is started until it takes SIGHUP."""
    env = os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    begun = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, *arguments],
        env=env,
        stdin=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status")
        while not _caught(status.read_text(encoding="ascii")) >> (signal.SIGHUP - 1) & 1:
            pass
        return time.perf_counter() - begun
    finally:
        process.kill()
        process.communicate()


def _caught(status):
    line = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
    return int(line.split()[1], 16)


@experiments.register("starts")
class Starts(Experiment):
    """Measures the time in which a signal has its default action."""

    summary = "time from the start of a gateway process until it takes signals"

    def run(self, seeds):
        rows = []
        for name, arguments in COMMANDS.items():
            times = [_time_to_handler(arguments) for _ in range(STARTS_PER_SEED * len(seeds))]
            rows.append((name, *(1000 * f(times) for f in (min, statistics.median, max))))
        title = "Milliseconds until SIGHUP is taken"
        return (Table(title, ("command", "least", "median", "most"), tuple(rows)),)
