"""The settings of a gateway process.

Durations are `datetime.timedelta`.
"""

import datetime
import enum

import attrs

from cicadapond.data import Endpoint
from cicadapond.memory import DEFAULT_MEMORY_BYTES
from cicadapond.serving import QuotaOverage


@attrs.frozen
class Bounds:
    """Limits that the deployment imposes.

    Attributes:
      max_revocation_delay: The maximum time for which a revoked key may still be used, None if
        unbounded.
      drain: How long a leaving server still accepts requests.
      grace: The time from SIGTERM to SIGKILL.
      retry_ratio: The retries allowed per request to a service, over `retry_window`.
      retry_slack: The retries allowed in addition.
      quota_overage: By how much accounts may exceed their quotas.
      lease: The shortest term of the duty lease: within it a duty must not pass to another process
        and back.
      usage_window: The length of the period that a usage report covers.
      usage_report_delay: How long after the end of a window its report is due.
      exposure_share: The share of a service's requests that a version that turns out to be bad may
        get while a rollout decides on it.
      exposure_tolerance: The requests that it may get in addition.
      rollback: How long after its 50th bad response it may still be sent requests.
    """

    max_revocation_delay: datetime.timedelta | None
    drain: datetime.timedelta
    grace: datetime.timedelta
    retry_ratio: float
    retry_window: datetime.timedelta
    retry_slack: float
    lease: datetime.timedelta
    usage_window: datetime.timedelta
    usage_report_delay: datetime.timedelta
    exposure_share: float = 0.1
    exposure_tolerance: float = 50.0
    rollback: datetime.timedelta = datetime.timedelta(seconds=5)
    quota_overage: QuotaOverage = QuotaOverage()


@attrs.frozen
class Duties:
    """The platform calls that the lease holder makes, and their maximum rate.

    `checks_fencing` says whether the platform refuses calls with an old fencing number.
    """

    reports_usage: bool
    orders_servers: bool
    calls_per_second: float
    checks_fencing: bool = True


class ZoneCostUse(enum.Enum):
    """For which services the cost of leaving the data centre follows from load and distance.

    It is constant for the others.  `AUTO` stands for services whose engines report the pace of
    their hosts, `ON` for all services with engines.
    """

    OFF = "off"
    AUTO = "auto"
    ON = "on"


class ResidencyUse(enum.Enum):
    """For which services it is followed which prompt parts the engines keep.

    Their configuration must say how engines tell it, and how fast their links are.  `AUTO` stands
    for services whose engines report the pace of their hosts, `ON` for all.
    """

    OFF = "off"
    AUTO = "auto"
    ON = "on"


@attrs.frozen
class GatewaySettings:
    """The settings of one gateway process.

    Attributes:
      frontend: The endpoint on which it accepts callers.
      readiness: The endpoint of its readiness check.
      peers: The endpoints on which it may listen for the other gateway processes; it uses the
        first.
      metrics: The endpoint on which it serves metrics, None to serve none.
      store: The endpoint of the platform's store.
      cloud: The endpoint of the platform's cloud API, None if no duty needs it.
      max_descriptors: The limit on open file descriptors.
      link_mbps: The bandwidth of the machine's link in megabits per second, 0 if it is not known.
      memory_bytes: The memory of the machine; a process that takes more is killed.
      is_first_start: Whether the whole system starts for the first time.
      zone_costs: For which services the cost of leaving the data centre is planned.
      rolls_out: Whether the system shifts the traffic of services to new server versions.
      residency: For which services it is followed which prompt parts the engines keep.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    frontend: Endpoint
    readiness: Endpoint
    peers: tuple[Endpoint, ...]
    store: Endpoint
    bounds: Bounds
    store_writes_per_second: float
    store_reads_per_second: float
    duties: Duties
    cloud: Endpoint | None = None
    metrics: Endpoint | None = None
    max_descriptors: int = 1024
    link_mbps: float = 0.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    is_first_start: bool = False
    zone_costs: ZoneCostUse = ZoneCostUse.OFF
    rolls_out: bool = False
    residency: ResidencyUse = ResidencyUse.OFF
