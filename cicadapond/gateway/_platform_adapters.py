"""Builds the adapters through which a gateway process reaches the platform."""

from cicadapond.forwarding import HttpClient
from cicadapond.gateway._node import PlatformAdapters
from cicadapond.platform import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    SERVER_TABLE,
    PlatformCloud,
    PlatformEngineCalls,
    PlatformHeaderCodec,
    PlatformPartCalls,
    PlatformRolloutCodec,
    PlatformStore,
    decode_configuration,
    decode_server,
)


def platform_adapters(cfg, clock, log, metrics) -> PlatformAdapters:
    """Returns the platform adapters of one process."""
    store = PlatformStore(HttpClient(cfg.store, clock, metrics), log, metrics)
    # The cloud's answers are all alike, so that a late copy could not be told from an answer.
    cloud = None
    if cfg.cloud:
        cloud = PlatformCloud(HttpClient(cfg.cloud, clock, metrics, reuses_connections=False))
    return PlatformAdapters(
        header_codec=PlatformHeaderCodec(),
        tables=store,
        feed=store,
        cloud=cloud,
        decode_configuration=decode_configuration,
        decode_server=decode_server,
        configuration_row=(OPERATOR_TABLE, CONFIGURATION_KEY),
        server_table=SERVER_TABLE,
        rollout_codec=PlatformRolloutCodec() if cfg.rolls_out else None,
        engine_calls=PlatformEngineCalls(clock, metrics),
        part_calls=PlatformPartCalls(clock, metrics),
    )
