"""Stand-ins that implement the platform's protocol, with fault injection, for tests and demo."""

from cicadapond.platform.standin._caller import Answer, Caller
from cicadapond.platform.standin._cloud import CloudModel, cloud_application
from cicadapond.platform.standin._endless import EndlessAnswer
from cicadapond.platform.standin._engine import (
    EngineFault,
    EngineModel,
    EngineServer,
    stream_event,
)
from cicadapond.platform.standin._fleet import STREAM_PREFIX, Fleet, FleetSettings
from cicadapond.platform.standin._moves import MoveFault
from cicadapond.platform.standin._parts import EventFault
from cicadapond.platform.standin._rollouts import RolloutModel, VersionDefect
from cicadapond.platform.standin._store import (
    StoreClient,
    StoreCopy,
    StoredRow,
    StoreModel,
    store_application,
)

__all__ = [
    "STREAM_PREFIX",
    "Answer",
    "Caller",
    "CloudModel",
    "EndlessAnswer",
    "EngineFault",
    "EngineModel",
    "EngineServer",
    "EventFault",
    "Fleet",
    "FleetSettings",
    "RolloutModel",
    "MoveFault",
    "StoreClient",
    "StoreCopy",
    "StoreModel",
    "StoredRow",
    "VersionDefect",
    "cloud_application",
    "store_application",
    "stream_event",
]
