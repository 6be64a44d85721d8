"""Assigns a model to each engine of a pool."""

import collections
import typing

from cicadapond.controller._observed import ObservedServer
from cicadapond.document import Intent, ModelIntent


def assign_models(
    intent: Intent, pool: str, engines: typing.Sequence[ObservedServer]
) -> dict[str, tuple[str, ModelIntent]]:
    """Divides a pool's engines of one zone among its models in proportion to their replicas.

    An engine keeps the model that it runs as far as the shares allow.

    Returns:
      The model's name and intent by server name; empty if no model uses the pool.
    """
    models = {name: model for name, model in intent.models.items() if model.pool == pool}
    if not models:
        return {}
    remaining = _shares(models, len(engines))
    assigned = {}
    for engine in sorted(engines, key=lambda engine: engine.server.name):
        name = _current_model(engine)
        if remaining[name]:
            assigned[engine.server.name] = name
            remaining[name] -= 1
    for engine in sorted(engines, key=lambda engine: engine.server.name):
        if engine.server.name not in assigned:
            name = max(remaining, key=lambda model: (remaining[model], model))
            assigned[engine.server.name] = name
            remaining[name] -= 1
    return {server: (name, models[name]) for server, name in assigned.items()}


def _shares(models, count):
    """Returns the number of engines for each model, by the largest remainder method."""
    total = sum(model.replicas for model in models.values()) or len(models)
    exact = {name: count * (model.replicas or 1) / total for name, model in models.items()}
    shares = collections.Counter({name: int(share) for name, share in exact.items()})
    by_remainder = sorted(exact, key=lambda name: (shares[name] - exact[name], name))
    while sum(shares.values()) < count:
        shares[by_remainder[sum(shares.values()) % len(by_remainder)]] += 1
    return shares


def _current_model(engine):
    return engine.state.model if engine.state is not None else None
