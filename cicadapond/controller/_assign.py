"""Which model each engine of a pool shall run."""

import collections
import typing

from cicadapond.controller._observed import ServerSeen
from cicadapond.document import Intent, ModelIntent


def assign_models(
    intent: Intent, pool: str, engines: typing.Sequence[ServerSeen]
) -> dict[str, tuple[str, ModelIntent]]:
    """Shares a pool's engines of one zone among its models in proportion to their replicas.

    Engines keep the model that they run as far as the shares allow.

    Returns:
      By server name, the model's name and intent; empty if no model uses the pool.
    """
    models = {name: model for name, model in intent.models.items() if model.pool == pool}
    if not models:
        return {}
    left = _shares(models, len(engines))
    assigned = {}
    for seen in sorted(engines, key=lambda found: found.server.name):
        name = _current(seen)
        if left[name]:
            assigned[seen.server.name] = name
            left[name] -= 1
    for seen in sorted(engines, key=lambda found: found.server.name):
        if seen.server.name not in assigned:
            name = max(left, key=lambda found: (left[found], found))
            assigned[seen.server.name] = name
            left[name] -= 1
    return {server: (name, models[name]) for server, name in assigned.items()}


def _shares(models, count):
    """Returns whole shares of `count` by largest remainder, as a counter by model."""
    total = sum(model.replicas for model in models.values()) or len(models)
    exact = {name: count * (model.replicas or 1) / total for name, model in models.items()}
    shares = collections.Counter({name: int(share) for name, share in exact.items()})
    by_remainder = sorted(exact, key=lambda name: (shares[name] - exact[name], name))
    while sum(shares.values()) < count:
        shares[by_remainder[sum(shares.values()) % len(by_remainder)]] += 1
    return shares


def _current(seen):
    return seen.state.model if seen.state is not None else None
