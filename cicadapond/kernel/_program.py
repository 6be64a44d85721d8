"""What every program of the product does around its work: flags, settings, signals, exit codes.

Exit codes: 0 for a clean end, 1 for a failure while running, 2 for settings that do not hold.
"""

import asyncio
import signal
import sys

from absl import app, flags, logging

from cicadapond.kernel._settings import SettingsError, load_settings

EXIT_SETTINGS = 2

_CONFIG = flags.DEFINE_string("config", None, "The settings file, JSON with comments.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, report every finding and end.")


def run_program(settings_class, serve) -> None:
    """Runs a program that is told what to do by a settings file.

    Args:
      settings_class: The attrs class of its settings.
      serve: A coroutine function of (settings, stop); it returns when its work is done, at the
        latest soon after the asyncio.Event `stop` is set by SIGTERM or SIGINT.
    """
    app.run(lambda argv: _main(settings_class, serve))


def _main(settings_class, serve):
    logging.use_absl_handler()
    if not _CONFIG.value:
        print("--config is required; see --help", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        cfg = load_settings(_CONFIG.value, settings_class)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if _CHECK.value:
        print(f"{_CONFIG.value}: settings hold")
        return
    asyncio.run(_serve_until_signal(cfg, serve))


async def _serve_until_signal(cfg, serve):
    await serve(cfg, stop_on_signals())


def stop_on_signals() -> asyncio.Event:
    """Returns an event that SIGTERM or SIGINT sets; call it on the running loop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
