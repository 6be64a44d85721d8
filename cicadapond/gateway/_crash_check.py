"""Finds out whether a server crashed, after a connection to it broke."""

import datetime

from cicadapond.gateway._parts import Parts
from cicadapond.kernel import TaskGroup
from cicadapond.serving import ServerEntry

CRASH_CHECK_DELAY = datetime.timedelta(milliseconds=60)
CRASH_CHECK_TIMEOUT = datetime.timedelta(milliseconds=500)


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
