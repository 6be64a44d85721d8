"""Chooses the few engines that one placement compares; no I/O.

It answers many processes that place requests on the same engines with information that is some
hundred milliseconds old: if each of them compared all engines, all would choose the engine that
seemed emptiest and fill it together.  The better of a few chosen at random spreads the load and is
seldom full; it also costs the same with any number of engines.
"""

import random
import typing

from cicadapond.serving import ServerEntry

# Engines that are compared, of the process's own data centre as long as it has so many.
SAMPLE_SIZE = 2
# Draws before the servers of the data centre are listed instead.
MAX_DRAWS = 12


def sample_servers(
    servers: typing.Sequence[ServerEntry],
    is_preferred: typing.Callable[[ServerEntry], bool],
    rng: random.Random,
    size: int = SAMPLE_SIZE,
) -> list[ServerEntry]:
    """Returns a few different servers at random.

    Args:
      servers: The servers.
      is_preferred: Tells the servers that come first; others fill up the sample.
      rng: Draws them.
      size: How many to return, if there are so many.
    """
    chosen = []
    for _ in range(MAX_DRAWS):
        drawn = servers[int(rng.random() * len(servers))]
        if is_preferred(drawn) and drawn not in chosen:
            chosen.append(drawn)
            if len(chosen) == size:
                return chosen
    preferred = [entry for entry in servers if is_preferred(entry) and entry not in chosen]
    chosen += rng.sample(preferred, min(size - len(chosen), len(preferred)))
    rest = [entry for entry in servers if not is_preferred(entry)]
    return chosen + rng.sample(rest, min(size - len(chosen), len(rest)))
