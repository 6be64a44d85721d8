"""Settings of an entry process."""

import datetime

import attrs

from cicadapond.data import Endpoint
from cicadapond.kernel import setting
from cicadapond.platform import PlatformSettings

_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class EntrySettings:
    """What an entry process is told when it starts.

    `document` names files of the document's sections, by section, for a deployment that keeps no
    document in the table service.
    """

    name: str
    zone: str
    http: Endpoint
    admin: Endpoint
    platform: PlatformSettings
    document: dict[str, str] = setting(factory=dict)
    engine_adapter: str = "sse"
    service_adapter: str = "http"
    host_list_interval: datetime.timedelta = _SECOND
    silence_limit: datetime.timedelta = 5 * _SECOND
