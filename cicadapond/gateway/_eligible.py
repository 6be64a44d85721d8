"""Which servers a request may still be sent to: by version, what they state, and what was tried.

It answers two loads: servers that accept fewer requests than come, and streams that callers take up
while several software versions run side by side.
"""

import asyncio
import contextlib
import datetime
import zlib

from cicadapond.continuation import UNKNOWN_VERSION
from cicadapond.gateway._origin_lookup import ORIGIN_POLL_INTERVAL, OriginSearch
from cicadapond.gateway._parts import Parts
from cicadapond.serving import ServerEntry

# Retry-After if no server accepts requests and none says when it will.
UNKNOWN_RETRY_AFTER = datetime.timedelta(seconds=1)
# Callers that are refused together return spread over this time.
RETRY_SPREAD = datetime.timedelta(milliseconds=500)


class EligibleServers:
    """The servers of a service that one request may be sent to.

    Args:
      parts: The components of this process.
      service: The service.
      route: The name of the request's route.

    Attributes:
      version: The software version at which a stream goes on, None while any may serve it.
      tried: The names of the servers that were tried.
    """

    def __init__(self, parts: Parts, service: str, route: str = ""):
        self._parts = parts
        self._service = service
        self._route = route
        self.version: str | None = None
        self.tried: set[str] = set()
        self._excluded: set[str] = set()

    def candidates(self) -> list[ServerEntry]:
        """Returns the untried servers that accept a request now and are in good health."""
        permitted = [entry for entry in self._untried() if self._parts.advisories.may_send(entry)]
        sound = self._parts.health.usable(permitted)
        return self._parts.rollouts.allowed(self._service, self._route, sound)

    def must_wait(self, left: datetime.timedelta) -> bool:
        """Returns whether the candidates stop too soon for the request, as a rollout completes.

        A stream that goes on at its version has no other servers to wait for.

        Args:
          left: The time to the request's deadline.
        """
        rollouts = self._parts.rollouts
        if self.version is not None or not rollouts.is_running(self._service):
            return False
        return rollouts.must_wait(self._service, self._route, self.candidates(), left)

    def limited(self) -> list[ServerEntry]:
        """Returns the untried servers that only their own statements exclude."""
        return self._limited(self._untried())

    def time_until_permit(self) -> datetime.timedelta | None:
        """Returns the time until one of the `limited` accepts a request, None if it is long."""
        return self._soonest(self._parts.advisories.time_until_permit, self.limited())

    def retry_after(self, request_id: str) -> datetime.timedelta | None:
        """Returns when to come back if no server of the service accepts requests now.

        Returns:
          When one does, by its own word, with a spread by the request's id; None if one does now,
          or if there is none.
        """
        usable = self._usable()
        limited = self._limited(usable)
        if not usable or len(limited) < len(usable):
            return None
        spread = zlib.crc32(request_id.encode()) / 2**32 * RETRY_SPREAD
        # A borrowed permit may come sooner, but requests wait for it here already.
        wait = self._soonest(self._parts.advisories.time_until_own_permit, limited)
        return (wait or UNKNOWN_RETRY_AFTER) + spread

    def exclude_start(self, entry: ServerEntry) -> None:
        """Leaves a start of a server out, as it may not be the one that answers."""
        self._excluded.add(entry.start)

    def include_start(self, entry: ServerEntry) -> None:
        """Takes back that a start of a server may not be the one that answers."""
        self._excluded.discard(entry.start)

    async def refresh_unserved(self, begun: datetime.timedelta, until: datetime.timedelta) -> bool:
        """Reads the changes of the server table if no known server has the stream's version.

        Args:
          begun: The monotonic time as of which the table is needed.
          until: The monotonic time up to which to wait for it.

        Returns:
          Whether servers of the version are known now.
        """
        if self.version is None or self._usable():
            return False
        await self._parts.refresh_servers(begun, until)
        return bool(self._usable())

    async def find_version(
        self, first_request_id: str | None, time_left: datetime.timedelta
    ) -> bool:
        """Finds the software version at which a continued stream goes on.

        Waits for a moment, as word of a stream that has just broken may be on its way, and looks it
        up in the store.

        Args:
          first_request_id: The id of the request that brought the stream's first event, None if the
            caller does not say.
          time_left: The time to the request's deadline.

        Returns:
          Whether the version is known.
        """
        parts = self._parts
        search = OriginSearch(parts, first_request_id, time_left)
        searched = 0
        while True:
            changes = parts.origins.changes
            self.version = None
            if first_request_id:
                self.version = parts.origins.find(first_request_id, since=searched)
            if self.version is None:
                searched = changes
            only = self._only_version() if self.version is None else None
            if only is not None and parts.registry.knows_all_versions(search.begun):
                self.version = only
            if self.version == UNKNOWN_VERSION:
                search.record(self.version)
                return False
            if self.version is not None and not search.awaits_confirmation():
                search.record(self.version)
                return True
            if self.version is None and not search.goes_on():
                search.record(None)
                return False
            if only is not None and self.version is None:
                # The stream may have begun at a version that is not known here yet.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(search.peers_wait().total_seconds()):
                        await parts.refresh_servers(search.begun)
                if parts.registry.knows_all_versions(search.begun):
                    continue
            await parts.clock.sleep(ORIGIN_POLL_INTERVAL)

    def _only_version(self):
        """Returns the one version that was in service lately, as far as is known; else None."""
        parts = self._parts
        if parts.version_history is not None and not parts.version_history.is_loaded:
            return None
        if parts.starts.has_unlisted(self._service):
            return None
        versions = parts.software_versions(self._service)
        # Streams are told without their service.
        others = parts.registry.software_versions_of_others(self._service)
        if len(versions) == 1 and parts.origins.versions() <= versions | others:
            return next(iter(versions))
        return None

    def _usable(self):
        usable = self._parts.registry.usable(self._service)
        if self.version is not None:
            usable = self._of_version(usable)
        return self._parts.rollouts.without_stopped(usable)

    def _of_version(self, servers):
        """Returns the servers of the stream's version, those whose start is sure if there are any.

        Others that only a crash speaks against are asked before the request is sent.
        """
        now, starts = self._parts.clock.now(), self._parts.starts
        same = [
            entry
            for entry in servers
            if entry.version == self.version and entry.start not in self._excluded
        ]
        sure = [entry for entry in same if starts.is_version_sure(entry, now)]
        if sure or self._parts.start_check is None:
            return sure
        return [entry for entry in same if starts.may_be_sure(entry, now)]

    def _untried(self):
        return [entry for entry in self._usable() if entry.name not in self.tried]

    def _limited(self, servers):
        return [entry for entry in servers if not self._parts.advisories.may_send(entry)]

    def _soonest(self, time_until, servers):
        waits = map(time_until, servers)
        return min((wait for wait in waits if wait is not None), default=None)
