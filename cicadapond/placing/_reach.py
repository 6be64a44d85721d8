"""Tells lost links of this process to a service's servers from servers that are down; no I/O.

A server that cannot be reached may be down.  If several in a row cannot, with no word from any
server of the service in between, the fault is more likely in the links of this process, and other
processes may still reach them.
"""

import datetime

import attrs

from cicadapond.kernel import Clock

# So many servers of a service in a row that cannot be reached count as lost links.
MIN_FAILED_SERVERS = 2
# Silence of a service, and time in which its servers fail, for which lost links rather than crashes
# one after the other explain that connections broke.
MIN_SILENCE = datetime.timedelta(milliseconds=300)
SAME_LOSS_WINDOW = datetime.timedelta(seconds=1)


@attrs.define
class _Service:
    """When each server could not be reached, since the last word from any of the service."""

    last_contact: datetime.timedelta
    failed: dict[str, datetime.timedelta] = attrs.field(factory=dict)


class ServiceReach:
    """Tracks the links of this process to the servers of each service.

    Args:
      clock: Gives the time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._services: dict[str, _Service] = {}

    def record_contact(self, service: str) -> None:
        """Records that a server of a service was reached."""
        known = self._service(service)
        known.last_contact = self._clock.monotonic()
        known.failed.clear()

    def record_failure(self, service: str, server: str) -> None:
        """Records that a server could not be reached."""
        self._service(service).failed[server] = self._clock.monotonic()

    def is_cut_off(self, service: str, servers: list[str]) -> bool:
        """Returns whether this process seems to reach none of a service's servers.

        Args:
          service: The service.
          servers: The names of its servers that accept requests.
        """
        known = self._services.get(service)
        if known is None or not known.failed:
            return False
        failed = len(known.failed.keys() & set(servers))
        return failed >= min(MIN_FAILED_SERVERS, len(servers)) and failed > 0

    def untried(self, service: str, servers: list[str]) -> set[str]:
        """Returns the servers that have not failed since the last contact with the service."""
        known = self._services.get(service)
        return set(servers) - (known.failed.keys() if known is not None else set())

    def explains_failures(self, service: str, servers: list[str]) -> bool:
        """Returns whether lost links explain that connections to the service's servers broke.

        Args:
          service: The service.
          servers: The names of its servers that accept requests.
        """
        known, now = self._services.get(service), self._clock.monotonic()
        if known is None or now - known.last_contact < MIN_SILENCE:
            return False
        lately = [
            server
            for server, at in known.failed.items()
            if server in servers and now - at <= SAME_LOSS_WINDOW
        ]
        return len(lately) >= MIN_FAILED_SERVERS

    def has_failures(self, service: str) -> bool:
        """Returns whether some server of a service could not be reached since the last contact."""
        known = self._services.get(service)
        return known is not None and bool(known.failed)

    def services_with_failures(self) -> list[str]:
        """Returns the services of which some server could not be reached since the last contact."""
        return [service for service, known in self._services.items() if known.failed]

    def _service(self, service):
        return self._services.setdefault(service, _Service(self._clock.monotonic()))
