"""What signals do in a program, once it has started."""

import asyncio
import os
import signal

from absl import logging

from cicadapond import _start_signals


def stop_on_signals(on_hangup=None) -> asyncio.Event:
    """Takes the signals over on the running loop, with those that came while the program started.

    Args:
      on_hangup: Called on SIGHUP; by default that is logged and has no effect.

    Returns:
      An event that is set on SIGTERM or SIGINT.
    """
    stop = asyncio.Event()
    handlers = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGHUP: on_hangup or _log_hangup,
    }
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    for number in _start_signals.release():
        handlers[number]()
    return stop


def use_default_actions() -> None:
    """Gives signals their default actions; an interrupt that came before ends the process."""
    if signal.SIGINT in _start_signals.release():
        signal.signal(signal.SIGINT, signal.SIG_DFL)
        os.kill(os.getpid(), signal.SIGINT)


def _log_hangup():
    logging.info("SIGHUP has no effect: settings are read at the start only")
