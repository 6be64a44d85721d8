"""Stand-ins of the platform, the engines and the plain services, for tests and the demo."""

from cicadapond.standin._cloud import (
    CloudFaults,
    CloudModel,
    CloudOffer,
    CloudTiming,
    DirectCloud,
)
from cicadapond.standin._faults import StorageFaults, StorageTiming
from cicadapond.standin._host_list import DirectHostList, HostListModel
from cicadapond.standin._objects import DirectObjects, ObjectModel
from cicadapond.standin._tables import DirectTables, TableModel
from cicadapond.standin._weights import DirectWeights, WeightModel, WeightSettings

__all__ = [
    "CloudFaults",
    "CloudModel",
    "CloudOffer",
    "CloudTiming",
    "DirectCloud",
    "DirectHostList",
    "DirectObjects",
    "DirectTables",
    "DirectWeights",
    "HostListModel",
    "ObjectModel",
    "StorageFaults",
    "StorageTiming",
    "TableModel",
    "WeightModel",
    "WeightSettings",
]
