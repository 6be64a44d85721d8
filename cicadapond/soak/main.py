"""Program `cicadapond-soak`: runs gateway processes under faults and checks the guarantees."""

import asyncio
import collections
import pathlib
import sys
import tempfile

from absl import flags

from cicadapond.kernel._help import ProgramHelp, run_command
from cicadapond.soak._compared_times import medians
from cicadapond.soak._configuration_checks import probed_routes
from cicadapond.soak._neighbours import draw_neighbours
from cicadapond.soak._plan import SoakSettings, parse_seeds
from cicadapond.soak._records import HISTORY_NAME
from cicadapond.soak._resumed import resumed_streams
from cicadapond.soak._run import run_soak

_SEEDS = flags.DEFINE_string("seeds", "1", "Seeds separated by commas, or FIRST-LAST.")
_LENGTH = flags.DEFINE_float("length", 25.0, "Seconds during which faults are injected.", 1.0)
_PROCESSES = flags.DEFINE_integer("processes", 3, "Number of gateway processes.", 1, 200)
_CALLERS = flags.DEFINE_integer("callers", 8, "Number of callers.", 1, 200)
_STREAM_CALLERS = flags.DEFINE_integer(
    "stream_callers", 12, "Number of callers that send mostly long streams.", 0, 400
)
_ENDLESS = flags.DEFINE_integer(
    "endless", 60, "How many requests are at once at servers that send without end.", 0, 200
)
_AT_ONCE = flags.DEFINE_integer("at_once", 1, "Number of seeds to run in parallel.", 1, 16)
_RESTORES = flags.DEFINE_boolean(
    "restores", False, "Whether the store is restored from older copies among the faults."
)
_PARTITIONS = flags.DEFINE_boolean(
    "partitions",
    False,
    "Whether processes are cut off from each other, while engines of several software versions "
    "come and go.",
)
_ZONES = flags.DEFINE_integer("zones", 1, "Number of data centres.", 1, 10)
_RESUMING_CALLERS = flags.DEFINE_integer(
    "resuming_callers", 0, "Number of callers that leave streams and take them up again.", 0, 400
)
_NEIGHBOURS = flags.DEFINE_integer(
    "neighbours",
    -1,
    "How many busy processes share one core with all gateway processes; -1 to draw it by the seed.",
    -1,
    40,
)
_COMPARE = flags.DEFINE_boolean(
    "compare", True, "Whether times are compared with and without costly answers in the end."
)
_DIRECTORY = flags.DEFINE_string(
    "directory", None, "Directory for logs; by default a new temporary one."
)


async def _run_seeds(seeds, base):
    """Runs each seed in a process of its own, as servers and callers of one need a core."""
    limit = asyncio.Semaphore(_AT_ONCE.value)

    async def run_seed(seed):
        async with limit:
            arguments = [f"--{flag.name}={str(flag.value).lower()}" for flag in _PASSED_ON]
            running = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cicadapond.soak.main",
                f"--seeds={seed}",
                f"--directory={base}",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await running.communicate()
        lines = output.decode().splitlines(keepends=True)
        print("".join(line for line in lines if not line.startswith(_LOGS)), end="", flush=True)
        return running.returncode

    return any(await asyncio.gather(*(run_seed(seed) for seed in seeds)))


async def _run_seed(seed, base):
    directory = base / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    cfg = SoakSettings(
        seed,
        _LENGTH.value,
        directory,
        _PROCESSES.value,
        _CALLERS.value,
        _RESTORES.value,
        _STREAM_CALLERS.value,
        _ENDLESS.value,
        neighbours=draw_neighbours(seed) if _NEIGHBOURS.value < 0 else _NEIGHBOURS.value,
        compares_times=_COMPARE.value,
        zones=_ZONES.value,
        partitions=_PARTITIONS.value,
        resuming_callers=_RESUMING_CALLERS.value,
    )
    history, violations = await run_soak(cfg)
    history.write(directory / HISTORY_NAME)
    served = sum(call.is_complete and call.status == 200 for call in history.calls)
    found, missing = probed_routes(history)
    print(
        f"seed {seed}: {len(history.calls)} requests, {served} served, "
        f"{_outcomes(history)}{history.moved} moved, {history.restores} restores, "
        f"{len(history.configurations)} configurations, {found} probes served and {missing} "
        f"without a route, {history.endless_requests} endless answers, "
        f"{history.early_changes} early changes, "
        f"{cfg.neighbours} neighbours, {_factor(history)}"
        f"{resumed_streams(history)}{len(history.busy_spans)} times of a busy machine, "
        f"at most {max(history.peak_mb.values()):.0f} MB, "
        f"{len(violations)} violations",
        flush=True,
    )
    for violation in violations:
        print(f"  {violation}", flush=True)
    return bool(violations)


_PASSED_ON = (
    _LENGTH,
    _PROCESSES,
    _CALLERS,
    _STREAM_CALLERS,
    _ENDLESS,
    _NEIGHBOURS,
    _COMPARE,
    _RESTORES,
    _PARTITIONS,
    _ZONES,
    _RESUMING_CALLERS,
)
_LOGS = "logs: "

HELP = ProgramHelp(
    "cicadapond-soak",
    "Runs gateway processes under random faults from outside, and checks what callers, servers and"
    " the platform saw.",
    flags=(
        "seeds",
        "length",
        "processes",
        "callers",
        "stream_callers",
        "endless",
        "neighbours",
        "compare",
        "at_once",
        "restores",
        "partitions",
        "zones",
        "resuming_callers",
        "directory",
    ),
    examples=(
        "cicadapond-soak --seeds=1-4",
        "cicadapond-soak --seeds=5 --restores",
        "cicadapond-soak --seeds=301 --length=60",
        "cicadapond-soak --seeds=3 --partitions --processes=6 --zones=3 --resuming_callers=16",
    ),
    exit_codes={0: "all promises held", 1: "a promise was broken, or a process failed"},
)


def _outcomes(history):
    """Returns how many good and bad versions had which outcome, "" without rollouts."""
    counts = collections.Counter(
        f"{'good' if each.is_good else 'bad'} {each.outcome}" for each in history.rollouts
    )
    return "".join(f"{count} {outcome}, " for outcome, count in sorted(counts.items()))


def _factor(history):
    """Returns by what factor costly answers slowed other requests, "" if not compared."""
    found = medians(history)
    return f"factor {found.factor:.2f} of the median, " if found is not None else ""


def _main(argv):
    base = pathlib.Path(_DIRECTORY.value or tempfile.mkdtemp(prefix="cicadapond-soak-"))
    seeds = parse_seeds(_SEEDS.value)
    failed = asyncio.run(_run_seed(*seeds, base) if len(seeds) == 1 else _run_seeds(seeds, base))
    print(f"{_LOGS}{base}")
    sys.exit(1 if failed else 0)


def run() -> None:
    """Runs the program."""
    run_command(HELP, _main)


if __name__ == "__main__":
    run()
