"""Routing's view of one backend server; kept up to date by the fleet."""

import datetime

import attrs

from cicadapond.data import BackendServer, LoadReport


@attrs.define
class ServerView:
    """The current state of one backend server as this process knows it.

    Attributes:
      server: The backend server.
      own_in_flight: Number of requests of this process in flight there.
      peer_in_flight: Number of requests of the other processes in flight there.
      report: The last load report, polled by this process or from the digest of the process that
        polls the server; None before the first.
      report_at: The monotonic instant at which the report was valid.
      live_since: The monotonic instant at which the server was first seen live.
      leaving: Whether it accepts no new work.
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
