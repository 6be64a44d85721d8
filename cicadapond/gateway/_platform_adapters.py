"""Builds the adapters through which a gateway process reaches the platform."""

import resource

from cicadapond.forwarding import HttpClient
from cicadapond.gateway._adapters import PlatformAdapters
from cicadapond.kernel import ProcessorShare
from cicadapond.memory import CallerSlots, MemoryBudget, bound_of, max_connections
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
    decode_own_row,
    decode_server,
)


def platform_adapters(cfg, clock, log, metrics) -> PlatformAdapters:
    """Returns the platform adapters of one process."""
    memory, processor = MemoryBudget(bound_of(cfg.memory_bytes)), ProcessorShare()
    descriptors = min(cfg.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    slots = CallerSlots(clock, max_connections(memory.bound_bytes, descriptors))
    store = PlatformStore(HttpClient(cfg.store, clock, metrics, memory=memory), log, metrics)
    # The cloud's answers are all alike, so that a late copy could not be told from an answer.
    cloud = None
    if cfg.cloud:
        client = HttpClient(cfg.cloud, clock, metrics, reuses_connections=False, memory=memory)
        cloud = PlatformCloud(client)
    return PlatformAdapters(
        header_codec=PlatformHeaderCodec(),
        memory=memory,
        processor=processor,
        caller_slots=slots,
        tables=store,
        feed=store,
        cloud=cloud,
        decode_configuration=decode_configuration,
        decode_server=decode_server,
        decode_own_row=decode_own_row,
        configuration_row=(OPERATOR_TABLE, CONFIGURATION_KEY),
        server_table=SERVER_TABLE,
        rollout_codec=PlatformRolloutCodec() if cfg.rolls_out else None,
        engine_calls=PlatformEngineCalls(clock, metrics, memory, processor),
        part_calls=PlatformPartCalls(clock, metrics, memory, processor),
    )
