"""Signals that arrive while a program is imported, until it takes them over.

The package imports this module before all others, as by default SIGHUP and SIGTERM end a process
that is still importing, and SIGINT leaves a traceback.  So it imports little itself.  What a start
does before that is covered by `launch`.
"""

import _signal as signal  # `signal` imports other modules
import os
import sys

PACKAGE = "cicadapond"
_HELD = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

_received: set[int] = set()


def hold() -> None:
    """Holds signals back; those that are ignored, as under nohup, stay ignored.

    SIGTERM ends the process at once, with 0: nothing has been begun.
    """
    for number in _HELD:
        if signal.getsignal(number) != signal.SIG_IGN:
            signal.signal(number, _receive)


def release() -> frozenset[int]:
    """Returns the signals that were held back; those without another handler get their default."""
    for number, default in zip(
        _HELD, (signal.SIG_DFL, signal.default_int_handler, signal.SIG_DFL), strict=True
    ):
        if signal.getsignal(number) == _receive:
            signal.signal(number, default)
    received = frozenset(_received)
    _received.clear()
    return received


def is_own_program() -> bool:
    """Returns whether this process runs a program of the package, and does not just import it."""
    name = sys.argv[0] if sys.argv else ""
    if name == "-m":  # runpy sets it after it has imported the package
        options = sys.orig_argv[:-1]
        module = sys.orig_argv[options.index("-m") + 1] if "-m" in options else ""
        return module.split(".")[0] == PACKAGE
    return os.path.basename(name).startswith(f"{PACKAGE}-")


def _receive(number, _frame):
    if number == signal.SIGTERM:
        os._exit(0)
    _received.add(number)
