"""Settings of the platform's adapters."""

import attrs

from cicadapond.data import BackendServer


@attrs.frozen
class AdapterSettings:
    """Which adapter reaches one of the platform's services, and where."""

    adapter: str
    url: str = ""
    servers: tuple[BackendServer, ...] = ()


@attrs.frozen
class PlatformSettings:
    """The platform's services; one left out is not used by this process."""

    hosts: AdapterSettings
    tables: AdapterSettings | None = None
    objects: AdapterSettings | None = None
    cloud: AdapterSettings | None = None
    weights: AdapterSettings | None = None
