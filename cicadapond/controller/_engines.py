"""Which orders the engines of a zone get: loads, rolling version changes, drains and stops."""

import math

import attrs

from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import Observed, ServerSeen
from cicadapond.controller._orders import BeginDrain, EndDrain, EngineOrder
from cicadapond.data import Order, OrderKind
from cicadapond.document import ModelIntent
from cicadapond.kernel import seconds

ROLE = "serve"
LOAD_TARGET = seconds(120)
DEFAULT_LOADS = 1
SURGE_WAIT = seconds(180)


@attrs.frozen
class Wanted:
    """One engine and the model that it shall run."""

    seen: ServerSeen
    name: str
    model: ModelIntent

    @property
    def current(self) -> bool:
        """Whether the engine is ready with the wanted model and version."""
        state = self.seen.state
        if state is None or state.loading is not None:
            return False
        return (state.model, state.version) == (self.name, self.model.version)

    @property
    def serves(self) -> bool:
        """Whether the engine takes work, of whatever version."""
        seen = self.seen
        if seen.state is None or seen.noticed or seen.draining or seen.ordered:
            return False
        return bool(seen.state.version) and seen.state.loading is None

    @property
    def outdated(self) -> bool:
        """Whether the engine has another version than it shall; a blank one has none."""
        state = self.seen.state
        return state is not None and bool(state.version) and not self.current


def load_limit(seen: Observed, model: str, version: str) -> int:
    """Returns how many loads of a model version may run at once in a zone.

    All loads share the weight store's rate, so more at once would only make each one slower:
    as many run as can finish within LOAD_TARGET.
    """
    size = seen.weight_sizes.get((model, version))
    if not size or not seen.weight_rate:
        return DEFAULT_LOADS
    return max(1, math.floor(seen.weight_rate * LOAD_TARGET.total_seconds() / size))


def ready_orders(wanted: Wanted) -> list:
    """Returns the orders for an engine that is ready with what it shall run."""
    seen = wanted.seen
    orders = []
    if set(seen.state.adapters) != set(wanted.model.adapters):
        orders.append(_order(seen, OrderKind.ADAPTERS, adapters=wanted.model.adapters))
    if seen.state.role != ROLE:
        orders.append(_order(seen, OrderKind.ROLE, role=ROLE))
    if seen.state.draining:
        orders.append(_order(seen, OrderKind.RESUME))
    if seen.draining and not orders:
        orders.append(EndDrain(seen.server.name))
    return orders


def run_order(wanted: Wanted) -> EngineOrder:
    """Returns the order to run the wanted model and version, and no other."""
    return _order(wanted.seen, OrderKind.RUN, model=wanted.name, version=wanted.model.version)


def drain_orders(seen: ServerSeen) -> list:
    """Returns the orders that keep a server draining."""
    orders = [] if seen.draining else [BeginDrain(seen.server.name)]
    if seen.state is not None and not seen.state.draining:
        orders.append(_order(seen, OrderKind.DRAIN))
    return orders


def stop_order(seen: ServerSeen) -> EngineOrder:
    """Returns the order to end once nothing is in flight."""
    return _order(seen, OrderKind.STOP)


def is_idle(seen: ServerSeen) -> bool:
    """Returns whether nothing runs on a server, by everybody's count and its own."""
    return seen.drained and seen.in_flight == 0 and (seen.state is None or not seen.state.running)


def may_load(wanted: Wanted) -> bool:
    """Returns whether an engine may load now without cutting off a request."""
    state = wanted.seen.state
    if state.loading is not None:
        return False
    return is_idle(wanted.seen) or not (state.version or state.running)


def drains_to_begin(
    pool: str,
    engines: list[Wanted],
    planned: int | None,
    seen: Observed,
    memory: ControlMemory,
) -> list[Wanted]:
    """Returns the engines of one pool and zone whose version change may begin.

    An engine drains only while as many as planned go on serving without it, and only once the
    new version is ready somewhere.  Where no host more can be had for SURGE_WAIT, one engine at
    a time drains as long as another one serves its model.
    """
    outdated = [found for found in engines if found.outdated and found.serves]
    if not outdated:
        memory.surge_since.pop(pool, None)
        return []
    serving = sum(found.serves for found in engines)
    spare = 0 if planned is None else serving - planned
    ready = [found for found in outdated if _new_is_ready(found, engines, seen)]
    if spare > 0 and ready:
        memory.surge_since.pop(pool, None)
        return _least_busy(ready)[:spare]
    since = memory.surge_since.setdefault(pool, seen.now)
    return _one_without_surge(outdated, engines, seen, since)


def _one_without_surge(outdated, engines, seen, since):
    changing = any(found.outdated and not found.serves for found in engines)
    if seen.now - since < SURGE_WAIT or changing:
        return []
    return [found for found in _least_busy(outdated) if _others_serve(found, engines, seen)][:1]


def _new_is_ready(wanted, engines, seen):
    key = (wanted.name, wanted.model.version)
    here = any(found.current and found.serves and found.name == wanted.name for found in engines)
    return here or seen.ready_elsewhere.get(key, 0) > 0


def _others_serve(wanted, engines, seen):
    model = wanted.seen.state.model
    here = sum(found.serves and found.seen.state.model == model for found in engines) - 1
    elsewhere = sum(count for (name, _), count in seen.ready_elsewhere.items() if name == model)
    return here + elsewhere > 0


def _least_busy(engines):
    return sorted(engines, key=lambda found: (found.seen.in_flight, found.seen.server.name))


def _order(seen, kind, **fields) -> EngineOrder:
    return EngineOrder(seen.server, Order(kind=kind, fencing=0, **fields))
