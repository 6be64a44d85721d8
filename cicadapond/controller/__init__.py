"""The controller, which brings hosts and engines to the document's intent.

One controller is active in each data centre, the holder of its lease.
"""

from cicadapond.controller._drains import Drains, PeerDrains
from cicadapond.controller._memory import ControlMemory
from cicadapond.controller._observed import ObservedServer, ObservedState
from cicadapond.controller._operator_drains import OperatorDrain, OperatorDrains
from cicadapond.controller._orders import (
    Action,
    BeginDrain,
    Buy,
    EndDrain,
    EngineOrder,
    Release,
)
from cicadapond.controller._parts import ControlParts, ControlSettings, Lease
from cicadapond.controller._reconcile import reconcile
from cicadapond.controller._task import ControllerTask

__all__ = [
    "Action",
    "BeginDrain",
    "Buy",
    "ControlMemory",
    "ControlParts",
    "ControlSettings",
    "ControllerTask",
    "Drains",
    "EndDrain",
    "EngineOrder",
    "Lease",
    "ObservedServer",
    "ObservedState",
    "OperatorDrain",
    "OperatorDrains",
    "PeerDrains",
    "Release",
    "reconcile",
]
