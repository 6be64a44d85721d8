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
    PlatformStore,
    decode_configuration,
    decode_server,
)


def platform_adapters(cfg, clock, metrics) -> PlatformAdapters:
    """Returns the platform adapters of one process."""
    store = PlatformStore(HttpClient(cfg.store, clock, metrics))
    cloud = PlatformCloud(HttpClient(cfg.cloud, clock, metrics)) if cfg.cloud else None
    return PlatformAdapters(
        header_codec=PlatformHeaderCodec(),
        tables=store,
        feed=store,
        cloud=cloud,
        decode_configuration=decode_configuration,
        decode_server=decode_server,
        configuration_row=(OPERATOR_TABLE, CONFIGURATION_KEY),
        server_table=SERVER_TABLE,
        engine_calls=PlatformEngineCalls(clock, metrics),
    )
