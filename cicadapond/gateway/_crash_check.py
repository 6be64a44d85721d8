"""Finds out whether a server crashed, after a connection to it broke."""

import datetime

from cicadapond.continuation import ORIGIN_RETENTION
from cicadapond.gateway._parts import Parts
from cicadapond.kernel import TaskGroup
from cicadapond.serving import ServerEntry

CRASH_CHECK_DELAY = datetime.timedelta(milliseconds=60)
CRASH_CHECK_TIMEOUT = datetime.timedelta(milliseconds=500)
# A server that was out of reach is tried again after this time, and each time after twice as long,
# while streams that have begun there since may be taken up.
FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=100)


class CrashCheck:
    """Checks servers whose connections broke.

    Args:
      parts: The components of this process.
      tasks: Runs the checks.
    """

    def __init__(self, parts: Parts, tasks: TaskGroup):
        self._parts = parts
        self._tasks = tasks
        self._checking: set[str] = set()
        # The starts that are asked once they are reached.
        self._out_of_reach: set[str] = set()

    def begin(self, entry: ServerEntry) -> None:
        """Begins to check a start of a server, unless it is being checked."""
        self._parts.starts.record_broken(entry)
        if entry.start not in self._checking:
            self._checking.add(entry.start)
            self._tasks.spawn(self._check(entry), "check server")

    async def _check(self, entry):
        parts = self._parts
        try:
            await parts.clock.sleep(CRASH_CHECK_DELAY)
            conn = await parts.pool.connect(entry.name, entry.endpoint, CRASH_CHECK_TIMEOUT)
        finally:
            self._checking.discard(entry.start)
        if conn is None:
            parts.links.failed(entry)
        if conn is None and parts.links.explain_failures(entry.service):
            parts.crashes.record_server_up(entry.start)
            parts.log.write("server_out_of_reach", server=entry.start)
            if parts.start_check is not None and entry.start not in self._out_of_reach:
                self._out_of_reach.add(entry.start)
                self._tasks.spawn(self._ask_when_reached(entry), "ask for a start")
        elif conn is None:
            parts.starts.record_down(entry)
            suspects = parts.crashes.record_server_down(entry.start)
            parts.log.write("server_down", server=entry.start, suspects=list(suspects))
            parts.publish_soon()
        else:
            conn.close()
            parts.links.worked(entry)
            parts.crashes.record_server_up(entry.start)
            if parts.start_check is not None:  # it may have started again meanwhile
                parts.start_check.check_soon(entry)

    async def _ask_when_reached(self, entry):
        """Asks a server that was out of reach which start it is, as it may have ended meanwhile."""
        parts, delay = self._parts, FIRST_RETRY_DELAY
        try:
            while delay < ORIGIN_RETENTION:
                await parts.clock.sleep(delay)
                delay *= 2
                listed = parts.registry.find(entry.name)
                if listed is None or listed.start != entry.start:
                    break
                conn = await parts.pool.connect(entry.name, entry.endpoint, CRASH_CHECK_TIMEOUT)
                if conn is not None:
                    conn.close()
                    parts.links.worked(entry)
                    parts.start_check.check_soon(entry)
                    break
        finally:
            self._out_of_reach.discard(entry.start)
