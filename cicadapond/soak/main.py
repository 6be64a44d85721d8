"""cicadapond-soak: runs gateway processes under faults and checks what the product promises."""

import asyncio
import pathlib
import sys
import tempfile

from absl import app, flags

from cicadapond.soak._plan import read_seeds
from cicadapond.soak._run import SoakSettings, run_soak

_SEEDS = flags.DEFINE_string("seeds", "1", "Seeds with commas, or FIRST-LAST.")
_LENGTH = flags.DEFINE_float("length", 25.0, "For how many seconds faults begin.", 1.0)
_PROCESSES = flags.DEFINE_integer("processes", 3, "How many gateway processes run.", 1, 100)
_CALLERS = flags.DEFINE_integer("callers", 8, "How many callers send.", 1, 200)
_AT_ONCE = flags.DEFINE_integer("at_once", 1, "How many seeds are played side by side.", 1, 16)
_DIRECTORY = flags.DEFINE_string("directory", None, "Where logs go; by default a new one.")


async def _play(seeds, base):
    limit = asyncio.Semaphore(_AT_ONCE.value)
    failed = 0

    async def one(seed):
        nonlocal failed
        async with limit:
            directory = base / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
            cfg = SoakSettings(seed, _LENGTH.value, directory, _PROCESSES.value, _CALLERS.value)
            history, violations = await run_soak(cfg)
        whole = sum(call.is_whole and call.status == 200 for call in history.calls)
        print(
            f"seed {seed}: {len(history.calls)} requests, {whole} served, "
            f"{len(violations)} violations",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation}", flush=True)
        failed += bool(violations)

    await asyncio.gather(*(one(seed) for seed in seeds))
    return failed


def _main(argv):
    base = pathlib.Path(_DIRECTORY.value or tempfile.mkdtemp(prefix="cicadapond-soak-"))
    failed = asyncio.run(_play(read_seeds(_SEEDS.value), base))
    print(f"logs: {base}")
    sys.exit(1 if failed else 0)


def run() -> None:
    """Runs the program."""
    app.run(_main)


if __name__ == "__main__":
    run()
