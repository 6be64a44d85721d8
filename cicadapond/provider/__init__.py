"""The platform's services as abstract classes, one plug-in per platform.

Only the adapters in `cicadapond.plugins` know the platform's own protocols; all other code uses
the types of this package.
"""

from cicadapond.provider._api import (
    BuyRequest,
    ChangeFeed,
    Changes,
    CloudApi,
    CloudHost,
    HistoryLost,
    HostList,
    ObjectStore,
    Price,
    RawRow,
    Refused,
    Row,
    TableService,
    WeightStore,
    Write,
    cloud_apis,
    host_lists,
    object_stores,
    table_services,
    weight_stores,
)
from cicadapond.provider._budget import BudgetedTables, BudgetSettings
from cicadapond.provider._classes import StoreClass
from cicadapond.provider._era import MAX_ERA, VERSIONS_PER_ERA, era_of, number_of, version_in_era
from cicadapond.provider._rate import RateLimit
from cicadapond.provider._settings import AdapterSettings, PlatformSettings
from cicadapond.provider._sweep import SweepPlan, TableSweep

__all__ = [
    "AdapterSettings",
    "BudgetSettings",
    "BudgetedTables",
    "BuyRequest",
    "ChangeFeed",
    "Changes",
    "CloudApi",
    "CloudHost",
    "HistoryLost",
    "HostList",
    "MAX_ERA",
    "ObjectStore",
    "PlatformSettings",
    "Price",
    "RateLimit",
    "RawRow",
    "Refused",
    "Row",
    "StoreClass",
    "SweepPlan",
    "TableService",
    "TableSweep",
    "VERSIONS_PER_ERA",
    "WeightStore",
    "Write",
    "cloud_apis",
    "era_of",
    "host_lists",
    "number_of",
    "object_stores",
    "table_services",
    "version_in_era",
    "weight_stores",
]
