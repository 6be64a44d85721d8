"""Backend servers: what is listed, ordered and said of them.

Start times are in Unix milliseconds.
"""

import datetime

import attrs

from cicadapond.data import Endpoint


@attrs.frozen
class ServerEntry:
    """A backend server as listed in the server table.

    Attributes:
      name: The name of the server, to which requests are addressed.
      born: The start time in Unix milliseconds, 0 if unknown; tells starts under the same name
        apart.
      is_leaving: Whether it accepts no new requests.
      is_reclaimable: Whether its data centre may reclaim it.
      left: How long a leaving server still runs, None if unknown.
      version: The version of its software, "" if unknown.  Streams of different versions do not fit
        together.
    """

    name: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    born: int = 0
    is_leaving: bool = False
    is_reclaimable: bool = False
    left: datetime.timedelta | None = None
    version: str = ""

    @property
    def start(self) -> str:
        """Identifies this start of the server among all starts under its name."""
        return f"{self.name}/{self.born}"


@attrs.frozen(order=True)
class ServerOrder:
    """How many servers of one kind a service is to have in a data centre."""

    service: str
    zone: str
    reclaimable: bool
    count: int


@attrs.frozen
class LoadHeader:
    """The load that a server reports in a response.

    `pace` is how long work takes on its host at the moment, as a multiple of the usual time; None
    if the server does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None
