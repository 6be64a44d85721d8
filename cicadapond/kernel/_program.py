"""Common start-up and shutdown of all programs: flags, settings, signals, exit codes.

Exit codes: 0 for a normal exit, 1 for a failure while running, 2 for invalid settings.
"""

import asyncio
import sys

from absl import flags, logging

from cicadapond.kernel._help import (
    EXIT_SETTINGS,
    SERVER_EXIT_CODES,
    ProgramHelp,
    run_with_help,
)
from cicadapond.kernel._settings import SettingsError, load_settings
from cicadapond.kernel._signals import stop_on_signals

_CONFIG = flags.DEFINE_string("config", None, "The settings file, JSON with comments.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, report every finding and exit.")


def server_help(name: str, purpose: str) -> ProgramHelp:
    """Returns the help page of a program that is configured by a settings file.

    Args:
      name: The program.
      purpose: What it is for.
    """
    return ProgramHelp(
        name,
        purpose,
        flags=("config", "check"),
        examples=(f"{name} --config=settings.jsonc", f"{name} --config=settings.jsonc --check"),
        exit_codes=SERVER_EXIT_CODES,
    )


def run_program(page: ProgramHelp, settings_class, serve) -> None:
    """Runs a program that is configured by a settings file.

    Args:
      page: The program's help page.
      settings_class: The attrs class of its settings.
      serve: A coroutine function of (settings, stop); it returns when its work is done, at the
        latest soon after SIGTERM or SIGINT sets the asyncio.Event `stop`.
    """
    run_with_help(page, lambda argv: _main(settings_class, serve))


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
        print(f"{_CONFIG.value}: settings are valid")
        return
    asyncio.run(_serve_until_signal(cfg, serve))


async def _serve_until_signal(cfg, serve):
    stop = stop_on_signals()
    if not stop.is_set():
        await serve(cfg, stop)
