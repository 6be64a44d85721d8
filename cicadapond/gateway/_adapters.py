"""The ways of a gateway process to the platform, as its program passes them to `Node`."""

import typing

import attrs

from cicadapond.forwarding import ConnectionPool, HeaderCodec
from cicadapond.gateway._cloud import Cloud
from cicadapond.gateway._engine_calls import EngineCalls
from cicadapond.gateway._rollout_codec import RolloutCodec
from cicadapond.kernel import Metrics, ProcessorShare
from cicadapond.memory import CallerSlots, MemoryBudget
from cicadapond.peer import TcpTransport, Transport
from cicadapond.provider import TableService
from cicadapond.residency import PartCalls


@attrs.frozen
class PlatformAdapters:
    """The adapters through which a gateway process reaches the platform.

    `decode_configuration` and `decode_server` decode rows that others write to the store, and
    `decode_own_row` the value of one that the processes write, None if it cannot;
    `configuration_row` is the table and key of the configuration, `server_table` the table of
    backend servers.  `rollout_codec` translates the rows of rollouts, None if there are none.
    Without `engine_calls` no stream is moved between engines; without `part_calls` it is guessed
    which prompt parts they keep.  `memory` bounds what the process holds of others' bytes,
    `processor` the time that it spends on costly ones, and `caller_slots` its connections with
    callers, None for any number of them.  `make_transport` makes the transport to the other gateway
    processes, `make_relay_pool` the connections over which requests are passed on to them.
    """

    header_codec: HeaderCodec
    memory: MemoryBudget
    processor: ProcessorShare
    tables: TableService
    feed: object
    cloud: Cloud | None
    decode_configuration: object
    decode_server: object
    decode_own_row: typing.Callable[[bytes], object]
    configuration_row: tuple[str, str]
    server_table: str
    rollout_codec: RolloutCodec | None = None
    engine_calls: EngineCalls | None = None
    part_calls: PartCalls | None = None
    caller_slots: CallerSlots | None = None
    make_transport: typing.Callable[[Metrics], Transport] = TcpTransport
    make_relay_pool: typing.Callable[..., ConnectionPool] = ConnectionPool
