"""Simulated platform, engines and plain services ("stand-ins") for tests and the demo."""

from cicadapond.standin._cloud import (
    CloudFaults,
    CloudModel,
    CloudOffer,
    CloudTiming,
    DirectCloud,
)
from cicadapond.standin._engine import EngineModel, expected_tokens
from cicadapond.standin._engine_direct import DirectEngine
from cicadapond.standin._engine_settings import EngineFaults, EngineSettings, EngineTiming
from cicadapond.standin._faults import StorageFaults, StorageTiming
from cicadapond.standin._fleet import StaticFleet
from cicadapond.standin._host_list import DirectHostList, HostListModel
from cicadapond.standin._objects import DirectObjects, ObjectModel
from cicadapond.standin._service import RunCounts, ServiceFaults, ServiceModel, ServiceTiming
from cicadapond.standin._service_direct import DirectService
from cicadapond.standin._tables import DirectTables, TableModel
from cicadapond.standin._weights import DirectWeights, WeightModel, WeightSettings

__all__ = [
    "CloudFaults",
    "CloudModel",
    "CloudOffer",
    "CloudTiming",
    "DirectCloud",
    "DirectEngine",
    "DirectHostList",
    "DirectObjects",
    "DirectService",
    "DirectTables",
    "DirectWeights",
    "EngineFaults",
    "EngineModel",
    "EngineSettings",
    "EngineTiming",
    "HostListModel",
    "ObjectModel",
    "RunCounts",
    "ServiceFaults",
    "ServiceModel",
    "ServiceTiming",
    "StaticFleet",
    "StorageFaults",
    "StorageTiming",
    "TableModel",
    "WeightModel",
    "WeightSettings",
    "expected_tokens",
]
