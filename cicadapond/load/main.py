"""Program `cicadapond-load`: sends load to a deployment, runs experiments, plots reports.

cicadapond-load run --target=http://127.0.0.1:18080 --mix=day --rate=20 --seconds=30
cicadapond-load experiment NAME --seeds=1,2,3
cicadapond-load experiments
cicadapond-load report FILE [FILE ...]
cicadapond-load plot FILE [FILE ...] --out=latency.svg
"""

import asyncio
import json
import pathlib
import sys

import attrs
from absl import flags

from cicadapond.experiments import experiments
from cicadapond.kernel import load_plugins
from cicadapond.kernel._help import Command, ProgramHelp, run_command
from cicadapond.load._arrivals import ArrivalSettings, arrivals
from cicadapond.load._mix import mixes
from cicadapond.load._plot import plot_reports
from cicadapond.load._report import LoadReportFile, merge_reports
from cicadapond.load._run import LoadSettings, run_load

EXIT_USAGE = 2

_TARGET = flags.DEFINE_list("target", ["http://127.0.0.1:18080"], "Base URLs, used in turn.")
_MIX = flags.DEFINE_enum("mix", "question", mixes.names(), "Mix of calls to send.")
_ARRIVALS = flags.DEFINE_enum(
    "arrivals", "poisson", arrivals.names(), "Arrival process of the requests."
)
_RATE = flags.DEFINE_float("rate", 10.0, "Mean requests per second.", 0.001, 100_000)
_SECONDS = flags.DEFINE_float("seconds", 10.0, "Duration of the run in seconds.", 0.001, 86_400)
_BURST = flags.DEFINE_integer("burst_size", 20, "Requests per burst.", 1)
_TRACE = flags.DEFINE_string("trace", "", "File of arrival times in seconds, one per line.")
_TOKEN = flags.DEFINE_string("token", "", "The client account's bearer token.")
_TIMEOUT = flags.DEFINE_float("timeout", 60.0, "Timeout of a call in seconds.", 0.001)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals and calls.")
_SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3"], "Seeds of an experiment.")
_OUT = flags.DEFINE_string("out", "", "Where to write the report (run) or the plot (plot).")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of text.")


def _run(names):
    cfg = LoadSettings(
        targets=tuple(_TARGET.value),
        arrival=_ARRIVALS.value,
        arrival_cfg=ArrivalSettings(_RATE.value, _SECONDS.value, _BURST.value, _TRACE.value),
        mix=_MIX.value,
        token=_TOKEN.value,
        timeout_seconds=_TIMEOUT.value,
        seed=_SEED.value,
    )
    report = asyncio.run(run_load(cfg))
    if _OUT.value:
        pathlib.Path(_OUT.value).write_text(report.to_json(), encoding="utf-8")
    print(report.to_json() if _JSON.value else "\n".join(report.lines()))


def _experiment(names):
    seeds = tuple(int(seed) for seed in _SEEDS.value)
    for name in names:
        for table in experiments.create(name).run(seeds):
            print(json.dumps(attrs.asdict(table)) if _JSON.value else table.markdown() + "\n")


def _experiments(names):
    for name in experiments.names():
        print(f"{name:16} {experiments.create(name).summary}")


def _report(names):
    report = merge_reports([LoadReportFile.from_file(name) for name in names])
    print(report.to_json() if _JSON.value else "\n".join(report.lines()))


def _plot(names):
    plot_reports(
        {pathlib.Path(name).stem: LoadReportFile.from_file(name) for name in names},
        _OUT.value or "latency.svg",
    )


HELP = ProgramHelp(
    "cicadapond-load",
    "Sends load to a deployment, runs experiments on virtual time, and prints and plots reports.",
    commands=(
        Command("run", "send load to the targets and print a report"),
        Command("experiment NAME...", "run experiments and print their tables"),
        Command("experiments", "list the experiments"),
        Command("report FILE...", "merge report files and print the result"),
        Command("plot FILE...", "plot the latencies of report files"),
    ),
    flags=(
        "target",
        "mix",
        "arrivals",
        "rate",
        "seconds",
        "burst_size",
        "trace",
        "token",
        "timeout",
        "seed",
        "seeds",
        "out",
        "json",
    ),
    examples=(
        "cicadapond-load run --target=http://127.0.0.1:18080 --mix=day --rate=20 --seconds=30",
        "cicadapond-load experiment decisions --seeds=1,2",
    ),
    exit_codes={0: "done", EXIT_USAGE: "wrong arguments, or a file that cannot be read"},
)

_COMMANDS = {
    "run": _run,
    "experiment": _experiment,
    "experiments": _experiments,
    "report": _report,
    "plot": _plot,
}


def _main(argv):
    load_plugins("cicadapond.experiments")
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(HELP.unknown_command(argv[1:]), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        command(argv[2:])
    except (LookupError, OSError, ValueError) as exc:
        print(f"cicadapond-load: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run() -> None:
    """Runs the program."""
    run_command(HELP, _main)


if __name__ == "__main__":
    run()
