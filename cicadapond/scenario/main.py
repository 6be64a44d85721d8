"""Program `cicadapond-scenario`: runs scenarios on virtual time.

    cicadapond-scenario run FILE [FILE ...] [--seeds=1,2,3] [--trace]
    cicadapond-scenario check FILE [FILE ...]

Exit codes: 0 if there are no findings, 1 if a run has findings, 2 if a scenario is invalid or
cannot be read, or if the command is missing or unknown.
"""

import pathlib
import sys

from absl import flags

from cicadapond.kernel import Findings, SettingsError
from cicadapond.kernel._help import Command, ProgramHelp, run_command
from cicadapond.scenario._parser import parse_scenario
from cicadapond.scenario._runner import check_script, run_script
from cicadapond.scenario._script import Script

EXIT_FINDINGS = 1
EXIT_USAGE = 2

_SEEDS = flags.DEFINE_list("seeds", [], "Seeds instead of the scenario's own.")
_TRACE = flags.DEFINE_bool("trace", False, "Print the timeline of each run.")


def load_scenario(path: str) -> Script:
    """Reads and checks a scenario file.

    Raises:
      SettingsError: If the scenario is invalid; lists every finding.
      OSError: If the file cannot be read.
    """
    findings = Findings()
    script = parse_scenario(pathlib.Path(path).read_text(encoding="utf-8"), path, findings)
    if script is not None:
        check_script(script, findings)
    if findings:
        raise SettingsError(findings)
    return script


def _run(paths):
    failed = False
    for path in paths:
        script = load_scenario(path)
        for seed in [int(seed) for seed in _SEEDS.value] or [script.seed]:
            failed |= _report(path, run_script(script, seed))
    sys.exit(EXIT_FINDINGS if failed else 0)


def _report(path, result):
    if _TRACE.value:
        print("\n".join(result.record.timeline()))
    status = "FAILED" if result.findings else "ok"
    figures = " ".join(f"{name}={value}" for name, value in result.figures.items())
    print(f"{status:6} {path} seed={result.seed} {figures}")
    for finding in result.findings:
        print(f"  {finding}")
    return bool(result.findings)


def _check(paths):
    for path in paths:
        load_scenario(path)
        print(f"{path}: valid")


HELP = ProgramHelp(
    "cicadapond-scenario",
    "Runs scenarios of failures, in a small test language, on virtual time.",
    commands=(
        Command("run FILE...", "run scenarios and print what breaks their expectations"),
        Command("check FILE...", "check scenarios without running them"),
    ),
    flags=("seeds", "trace"),
    examples=(
        "cicadapond-scenario run reclaim.scenario --seeds=1,2,3",
        "cicadapond-scenario check reclaim.scenario",
    ),
    exit_codes={
        0: "no findings",
        EXIT_FINDINGS: "a run has findings",
        EXIT_USAGE: "a scenario is invalid or cannot be read, or the arguments are wrong",
    },
)

_COMMANDS = {"run": _run, "check": _check}


def _main(argv):
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(HELP.unknown_command(argv[1:]), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        command(argv[2:])
    except (SettingsError, OSError) as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run() -> None:
    """Runs the program."""
    run_command(HELP, _main)


if __name__ == "__main__":
    run()
