"""Stand-ins that implement the platform's protocol, with fault injection, for tests and demo."""

from cicadapond.platform.standin._caller import CALLERS_HOST, Answer, Caller, Pace, Upload
from cicadapond.platform.standin._cloud import CloudModel, cloud_application
from cicadapond.platform.standin._endless import EndlessAnswer
from cicadapond.platform.standin._engine import EngineServer
from cicadapond.platform.standin._engine_faults import Decline, EngineFault, ReportFault
from cicadapond.platform.standin._engine_model import EngineModel
from cicadapond.platform.standin._fleet import STREAM_PREFIX, Fleet, FleetSettings
from cicadapond.platform.standin._moves import MoveFault
from cicadapond.platform.standin._parts import EventFault
from cicadapond.platform.standin._rollouts import RolloutModel, VersionDefect
from cicadapond.platform.standin._routes import send_to, services_of, split
from cicadapond.platform.standin._store import (
    StoreClient,
    StoreCopy,
    StoredRow,
    StoreModel,
    store_application,
)
from cicadapond.platform.standin._streams import StreamShape, stream_event

__all__ = [
    "CALLERS_HOST",
    "STREAM_PREFIX",
    "Answer",
    "Caller",
    "CloudModel",
    "Decline",
    "EndlessAnswer",
    "EngineFault",
    "EngineModel",
    "EngineServer",
    "EventFault",
    "Fleet",
    "FleetSettings",
    "RolloutModel",
    "MoveFault",
    "Pace",
    "ReportFault",
    "StoreClient",
    "StoreCopy",
    "StoreModel",
    "StoredRow",
    "StreamShape",
    "Upload",
    "VersionDefect",
    "cloud_application",
    "send_to",
    "services_of",
    "split",
    "store_application",
    "stream_event",
]
