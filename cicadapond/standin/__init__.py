"""Stand-ins of the platform, the engines and the plain services, for tests and the demo."""

from cicadapond.standin._faults import StorageFaults, StorageTiming
from cicadapond.standin._objects import DirectObjects, ObjectModel
from cicadapond.standin._tables import DirectTables, TableModel

__all__ = [
    "DirectObjects",
    "DirectTables",
    "ObjectModel",
    "StorageFaults",
    "StorageTiming",
    "TableModel",
]
