"""Tests of the check for crashes after a connection broke."""

import asyncio
from unittest import mock

import attrs

from cicadapond.data import Endpoint
from cicadapond.gateway._crash_check import CrashCheck
from cicadapond.kernel import TaskGroup, VirtualClock, run_virtual
from cicadapond.serving import ServerEntry

EARLIER = ServerEntry("e", "pool", Endpoint("::1", 1), "z", 8, born=100)
RESTARTED = attrs.evolve(EARLIER, born=200)


def test_a_new_start_is_checked_while_its_earlier_start_is():
    """Guards against crashes that are not seen right after the start before crashed."""

    async def main():
        pool = mock.Mock(connect=mock.AsyncMock(return_value=None))
        parts = mock.Mock(clock=VirtualClock(), pool=pool)
        parts.links.explain_failures.return_value = False
        parts.crashes.record_server_down.return_value = ()
        check = CrashCheck(parts, TaskGroup())
        for entry in (EARLIER, EARLIER, RESTARTED):
            check.begin(entry)
        await asyncio.sleep(1)
        return [call.args[0] for call in parts.crashes.record_server_down.call_args_list]

    assert run_virtual(main()) == [EARLIER.start, RESTARTED.start]
