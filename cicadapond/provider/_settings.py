"""Settings of the platform's adapters."""

import attrs

from cicadapond.data import BackendServer


@attrs.frozen
class AdapterSettings:
    """The adapter for one of the platform's services, and the service's address."""

    adapter: str
    url: str = ""
    servers: tuple[BackendServer, ...] = ()


@attrs.frozen
class PlatformSettings:
    """The platform's services; this process does not use a service that is None."""

    hosts: AdapterSettings
    tables: AdapterSettings | None = None
    objects: AdapterSettings | None = None
    cloud: AdapterSettings | None = None
    weights: AdapterSettings | None = None
