"""Runs one of the programs: `python3 -S cicadapond/launch.py PROGRAM ARGUMENT...`.

Until a process takes SIGHUP and SIGTERM over, they end it.  So this is done before anything is
imported that is not built into the interpreter: the imports are most of what a start takes.  For
the same reason `-S` leaves out the site module; libraries are found on PYTHONPATH.
"""

import _signal  # `signal` imports other modules
import posix
import sys

_HELD = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)

_received = []


def _receive(number, _frame):
    if number == _signal.SIGTERM:
        posix._exit(0)  # nothing has been begun
    _received.append(number)


def _run():
    for number in _HELD:
        if _signal.getsignal(number) != _signal.SIG_IGN:
            _signal.signal(number, _receive)
    # In place of the folder of this file, whose modules are those of the package.
    sys.path[0] = sys.path[0].rpartition("/")[0]
    if len(sys.argv) < 2:
        sys.exit("usage: launch.py PROGRAM ARGUMENT...")
    program = sys.argv.pop(1)
    sys.argv[0] = f"cicadapond-{program}"
    import importlib

    importlib.import_module("cicadapond")  # holds the signals from here on
    for number in _received:
        _signal.raise_signal(number)
    importlib.import_module(f"cicadapond.{program}.main").run()


if __name__ == "__main__":
    _run()
