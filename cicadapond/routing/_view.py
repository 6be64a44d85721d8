"""What routing knows of one backend server; kept up to date by the fleet."""

import datetime

import attrs

from cicadapond.data import BackendServer, LoadReport


@attrs.define
class ServerView:
    """One backend server as this process sees it now.

    Attributes:
      server: The backend server.
      own_in_flight: Requests that this process has running there.
      peer_in_flight: Requests that the other processes of the system have running there.
      report: The last load report, own or from the watcher's digest; None before the first.
      report_at: The monotonic instant that the report speaks of.
      live_since: The monotonic instant at which the server was first seen live.
      leaving: Whether it takes no new work.
      failing_until: The monotonic instant until which it is avoided after a failure to connect.
    """

    server: BackendServer
    own_in_flight: int = 0
    peer_in_flight: int = 0
    report: LoadReport | None = None
    report_at: datetime.timedelta = datetime.timedelta()
    live_since: datetime.timedelta = datetime.timedelta()
    leaving: bool = False
    failing_until: datetime.timedelta = datetime.timedelta()
