"""Creates the external services of an entry process, with real sockets, from its settings."""

import random

from cicadapond.entry._node import ExternalServices
from cicadapond.entry._settings import EntrySettings
from cicadapond.kernel import Clock, Metrics
from cicadapond.peer import NoPeers, PeerSettings, PeerTask, TcpTransport
from cicadapond.provider import (
    BudgetedTables,
    StoreClass,
    cloud_apis,
    host_lists,
    object_stores,
    table_services,
)


def make_external_services(
    cfg: EntrySettings, clock: Clock, metrics: Metrics, rng: random.Random
) -> ExternalServices:
    """Returns the external services that the settings name.

    Args:
      cfg: The entry's settings.
      clock: Gives the time.
      metrics: Takes counts.
      rng: Source of randomness for the table budget and the peers.
    """
    platform = cfg.platform

    def adapter(registry, settings):
        if settings is None:
            return None
        return registry.create(settings.adapter, settings, cfg.zone, clock, metrics)

    tables = adapter(table_services, platform.tables)
    objects = adapter(object_stores, platform.objects)
    storage = None
    if tables is not None:
        storage = BudgetedTables(tables, cfg.budget, clock, metrics, rng)
    if storage is not None and objects is not None:
        objects = storage.objects_for_class(objects, StoreClass.JOURNAL)
    return ExternalServices(
        hosts=adapter(host_lists, platform.hosts),
        peers=_peers(cfg, clock, metrics, rng),
        storage=storage,
        objects=objects,
        cloud=adapter(cloud_apis, platform.cloud),
    )


def _peers(cfg, clock, metrics, rng):
    if cfg.peer is None:
        return NoPeers()
    settings = PeerSettings(cfg.name, cfg.zone, cfg.peer.endpoint, seeds=cfg.peer.seeds)
    return PeerTask(settings, TcpTransport(metrics), clock, metrics, rng)
