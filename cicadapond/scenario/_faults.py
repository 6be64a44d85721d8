"""The verbs of the scenario language: registered faults and operators' actions."""

import abc
import asyncio
import datetime

from cicadapond.data import Order, OrderKind, ServerKind
from cicadapond.kernel import Registry
from cicadapond.scenario._backends import MODEL
from cicadapond.scenario._network import PLATFORM
from cicadapond.scenario._script import FaultLine
from cicadapond.standin import EngineModel

verbs: "Registry[Verb]" = Registry("verb")

LOAD_VERSION_FENCING = 1
LOAD_POLL_INTERVAL = datetime.timedelta(seconds=1)
DEFAULT_NOTICE = datetime.timedelta(seconds=30)


class Verb(abc.ABC):
    """A fault or an operator's action; `end` reverts it after the duration of its line.

    `positional` is the number of positional arguments, `options` the keys of the others.
    """

    positional = 0
    options: tuple[str, ...] = ()
    needs_length = False

    @abc.abstractmethod
    async def begin(self, world, line: FaultLine) -> None:
        """Starts the fault or carries out the action."""

    async def end(self, world, line: FaultLine) -> None:
        """Reverts it; does nothing by default."""
        return None


# Backend servers


def _selected_backends(world, line):
    kind = line.option("kind")
    server_kind = ServerKind(kind) if kind is not None else None
    return world.backends.select(line.option("zone"), server_kind, line.option("count"))


@verbs.register("reclaim")
class Reclaim(Verb):
    """Gives notice that hosts will be reclaimed, and reclaims them when the notice ends."""

    options = ("zone", "kind", "count", "notice")

    async def begin(self, world, line):
        for backend in _selected_backends(world, line):
            world.backends.reclaim(backend, line.option("notice", DEFAULT_NOTICE))


@verbs.register("crash")
class Crash(Verb):
    """Crashes backend servers; they restart by themselves."""

    options = ("zone", "kind", "count")

    async def begin(self, world, line):
        for backend in _selected_backends(world, line):
            backend.model.crash()


@verbs.register("poison")
class Poison(Verb):
    """Makes every engine crash on prompts that contain "poison"."""

    async def begin(self, world, line):
        for model in world.backends.engine_models.values():
            model.faults.poison = "poison"

    async def end(self, world, line):
        for model in world.backends.engine_models.values():
            model.faults.poison = ""


@verbs.register("engine-fault")
class EngineFault(Verb):
    """Sets the shares of attempts that fail in engines, by kind of failure, and the slowness."""

    options = ("zone", "silent", "truncate", "late", "cross", "slowness")

    async def begin(self, world, line):
        for model in self._models(world, line):
            faults = model.faults
            faults.silent_share = line.option("silent", 0.0)
            faults.truncate_share = line.option("truncate", 0.0)
            faults.late_share = line.option("late", 0.0)
            faults.cross_share = line.option("cross", 0.0)
            faults.slowness = line.option("slowness", 1.0)

    async def end(self, world, line):
        for model in self._models(world, line):
            model.faults = type(model.faults)(poison=model.faults.poison)

    def _models(self, world, line):
        backends = world.backends.select(line.option("zone"), ServerKind.ENGINE, None)
        return [backend.model for backend in backends if isinstance(backend.model, EngineModel)]


@verbs.register("service-fault")
class ServiceFault(Verb):
    """Sets the shares of calls that fail in plain services, by kind of failure, and extra work."""

    options = ("zone", "before", "after", "silent", "refuse", "truncate", "slow")

    async def begin(self, world, line):
        for backend in world.backends.select(line.option("zone"), ServerKind.SERVICE, None):
            faults = backend.model.faults
            faults.crash_before = line.option("before", 0.0)
            faults.crash_after = line.option("after", 0.0)
            faults.silent = line.option("silent", 0.0)
            faults.refuse = line.option("refuse", 0.0)
            faults.truncate = line.option("truncate", 0.0)
            faults.extra_work = line.option("slow", datetime.timedelta())

    async def end(self, world, line):
        for backend in world.backends.select(line.option("zone"), ServerKind.SERVICE, None):
            backend.model.faults = type(backend.model.faults)()


@verbs.register("load-version")
class LoadVersion(Verb):
    """Orders engines to drain, load a model version when idle, and resume."""

    options = ("zone", "version", "count")

    async def begin(self, world, line):
        for backend in world.backends.select(
            line.option("zone"), ServerKind.ENGINE, line.option("count")
        ):
            model = backend.model
            model.order(Order(OrderKind.DRAIN, LOAD_VERSION_FENCING))
            version = str(line.option("version"))
            model.order(Order(OrderKind.RUN, LOAD_VERSION_FENCING, model=MODEL, version=version))
            world.background_tasks.append(
                asyncio.ensure_future(_resume_once_loaded(model, version))
            )


async def _resume_once_loaded(model, version):
    while model.state().value.version != version:
        await model.clock.sleep(LOAD_POLL_INTERVAL)
    model.order(Order(OrderKind.RESUME, LOAD_VERSION_FENCING))


# Processes of the system


@verbs.register("kill")
class Kill(Verb):
    """Kills a process of the system and, if a duration is given, restarts it after that."""

    positional = 1

    async def begin(self, world, line):
        await world.kill(line.names()[0])

    async def end(self, world, line):
        await world.start_process(line.names()[0])


@verbs.register("stop")
class Stop(Verb):
    """Starts a planned stop of a process and, if a duration is given, restarts it after that."""

    positional = 1

    async def begin(self, world, line):
        world.stop_planned(line.names()[0])

    async def end(self, world, line):
        await world.start_process(line.names()[0])


@verbs.register("pause")
class Pause(Verb):
    """Pauses a process of the system."""

    positional = 1
    needs_length = True

    async def begin(self, world, line):
        world.process(line.names()[0]).pause()

    async def end(self, world, line):
        world.process(line.names()[0]).node.resume()


# The network


@verbs.register("partition")
class Partition(Verb):
    """Partitions two data centres from each other."""

    positional = 2
    needs_length = True

    async def begin(self, world, line):
        world.network.cut(*line.names())

    async def end(self, world, line):
        world.network.heal(*line.names())


@verbs.register("isolate")
class Isolate(Verb):
    """Partitions a data centre from the platform."""

    positional = 1
    needs_length = True

    async def begin(self, world, line):
        world.network.cut(line.names()[0], PLATFORM)

    async def end(self, world, line):
        world.network.heal(line.names()[0], PLATFORM)


@verbs.register("silence")
class Silence(Verb):
    """Makes an entry's open connections to backend servers silent permanently; new ones work."""

    positional = 1
    options = ("zone", "kind", "count")

    async def begin(self, world, line):
        for backend in _selected_backends(world, line):
            world.network.silence(line.names()[0], backend.server.name)


# The platform


@verbs.register("store-outage")
class StoreOutage(Verb):
    """Makes the table service and the object store unavailable."""

    needs_length = True

    async def begin(self, world, line):
        for faults in world.storage_faults():
            faults.outage = True

    async def end(self, world, line):
        for faults in world.storage_faults():
            faults.outage = False


@verbs.register("store-slow")
class StoreSlow(Verb):
    """Adds latency to the table service and the object store."""

    options = ("latency",)
    needs_length = True

    async def begin(self, world, line):
        for faults in world.storage_faults():
            faults.extra_latency = line.option("latency", datetime.timedelta(seconds=1))

    async def end(self, world, line):
        for faults in world.storage_faults():
            faults.extra_latency = datetime.timedelta()


@verbs.register("lose-answers")
class LoseAnswers(Verb):
    """Loses a share of answers after writes take effect, and a share of writes before they do."""

    options = ("after", "before")
    needs_length = True

    async def begin(self, world, line):
        for faults in world.storage_faults():
            faults.lose_after = line.option("after", 0.0)
            faults.lose_before = line.option("before", 0.0)

    async def end(self, world, line):
        for faults in world.storage_faults():
            faults.lose_after = 0.0
            faults.lose_before = 0.0


# Operators


@verbs.register("edit")
class EditSection(Verb):
    """Edits one field of a section of the document, or of one of its objects.

    For example `at 5s edit models object="shade-model" field=replicas value=4`.
    """

    positional = 1
    options = ("object", "field", "value")

    async def begin(self, world, line):
        await world.edit(
            line.names()[0], line.option("object"), line.option("field"), line.option("value")
        )
