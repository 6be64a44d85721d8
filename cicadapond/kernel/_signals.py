"""What signals do in a program, once it has started."""

import asyncio
import functools
import os
import signal

from absl import logging

from cicadapond import _start_signals


class StopEvent(asyncio.Event):
    """An event that is set on SIGTERM or SIGINT.

    Attributes:
      signal_name: The name of the first such signal, None before.
    """

    def __init__(self):
        super().__init__()
        self.signal_name: str | None = None

    def set_by(self, number: signal.Signals) -> None:
        """Sets the event because of a signal."""
        self.signal_name = self.signal_name or number.name
        self.set()


def stop_on_signals(on_hangup=None) -> StopEvent:
    """Takes the signals over on the running loop, with those that came while the program started.

    Once the current task has ended, a program ignores them, so that none ends it while it exits.

    Args:
      on_hangup: Called on SIGHUP; by default that is logged and has no effect.

    Returns:
      The event that SIGTERM or SIGINT sets.
    """
    stop = StopEvent()
    handlers = {
        signal.SIGTERM: functools.partial(stop.set_by, signal.SIGTERM),
        signal.SIGINT: functools.partial(stop.set_by, signal.SIGINT),
        signal.SIGHUP: on_hangup or _log_hangup,
    }
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    if _start_signals.is_own_program():
        asyncio.current_task().add_done_callback(lambda _: _ignore(loop, handlers))
    for number in _start_signals.release():
        handlers[number]()
    return stop


def _ignore(loop, numbers):
    """Ignores signals from now on, also when the loop closes and gives up its handlers."""
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def use_default_actions() -> None:
    """Gives signals their default actions; an interrupt that came before ends the process."""
    if signal.SIGINT in _start_signals.release():
        signal.signal(signal.SIGINT, signal.SIG_DFL)
        os.kill(os.getpid(), signal.SIGINT)


def _log_hangup():
    logging.info("SIGHUP has no effect: settings are read at the start only")
