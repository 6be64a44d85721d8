"""What it changes that processes know which prompt parts engines keep, under named loads; no I/O.

Runs the deployment of `_parts_world` with a guess of what engines keep, with what they tell, and
with fetches between them.
"""

from cicadapond.experiments._holds import QueueHold
from cicadapond.experiments._load_world import LONG, Load, WorldSettings
from cicadapond.experiments._parts_world import PartsSettings, PartsWorld
from cicadapond.experiments._table import Experiment, Table, experiments

DURATION_MS = 15_000.0
WARM_UP_MS = 2000.0
LOADS = (
    Load("calm"),
    Load("1.4x", rate=lambda now, kind: 1.4),
    Load("burst of 2x", rate=lambda now, kind: 2.0 if 4000 <= now < 7000 else 1.0),
    Load("7 of 22 engines reclaimed", gone=lambda now: 7 if now >= 5000 else 0),
    Load(
        "uneven engines",
        slowness=lambda number: 1.0 + 1.4 * (number % 3 == 0),
        pace=lambda now, number: 2.5 if (int(now / 600) * 7 + number) % 7 == 0 else 1.0,
    ),
    Load(
        "hot part",
        rate=lambda now, kind: 1.5 if kind is LONG and 4000 <= now < 9000 else 1.0,
        hot_part_share=lambda now: 0.5 if 4000 <= now < 9000 else 0.0,
    ),
)
WAYS = (
    ("guessed", None),
    ("told", PartsSettings(fetches=False)),
    ("told and fetched", PartsSettings()),
)


@experiments.register("residency")
class Residency(Experiment):
    """Compares what engines tell of the prompt parts that they keep with a guess."""

    summary = "answers in time and shared parts prefilled again, with what engines tell or a guess"

    def run(self, seeds):
        rows = []
        for load in LOADS:
            for name, parts in WAYS:
                for seed in seeds:
                    cfg = WorldSettings(duration_ms=DURATION_MS)
                    world = PartsWorld(parts, load, cfg, seed, QueueHold).run()
                    total, again = world.shared_tokens(WARM_UP_MS)
                    rows.append(
                        (
                            load.name,
                            name,
                            seed,
                            world.value(WARM_UP_MS),
                            world.share_in_time(WARM_UP_MS, kind="long"),
                            world.share_in_time(WARM_UP_MS, kind="short"),
                            total / 1e6,
                            again / 1e6,
                            world.fetched_tokens() / 1e6,
                        )
                    )
        columns = (
            "load",
            "what engines keep",
            "seed",
            "value in time",
            "long in time",
            "short in time",
            "shared tokens prefilled (M)",
            "again within 10 s (M)",
            "fetched (M)",
        )
        return (Table("What engines keep, 58 processes and 22 engines", columns, tuple(rows)),)
