"""Adapter to the users' platform: translates its names, formats and calls, and decides nothing."""

from cicadapond.platform._cloud import PlatformCloud
from cicadapond.platform._configuration import decode_configuration, field_name
from cicadapond.platform._engine_calls import PlatformEngineCalls
from cicadapond.platform._headers import PlatformHeaderCodec
from cicadapond.platform._part_calls import PlatformPartCalls
from cicadapond.platform._rollouts import PlatformRolloutCodec
from cicadapond.platform._servers import decode_server
from cicadapond.platform._settings import SETTINGS_VARIABLE, read_settings
from cicadapond.platform._store import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    SERVER_TABLE,
    PlatformStore,
    decode_own_row,
)

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TABLE",
    "SERVER_TABLE",
    "SETTINGS_VARIABLE",
    "PlatformCloud",
    "PlatformEngineCalls",
    "PlatformHeaderCodec",
    "PlatformPartCalls",
    "PlatformRolloutCodec",
    "PlatformStore",
    "decode_configuration",
    "decode_own_row",
    "decode_server",
    "field_name",
    "read_settings",
]
