"""Tests of when refused callers are told to come back."""

import types

from cicadapond.advisories import ServerAdvisories
from cicadapond.data import Endpoint
from cicadapond.gateway._eligible import EligibleServers
from cicadapond.kernel import ManualClock, seconds
from cicadapond.serving import ResponseHead, ServerEntry

ENTRY = ServerEntry("e", "pool", Endpoint("::1", 1), "z", 8)


def test_callers_refused_while_others_wait_for_borrowed_permits_do_not_return_at_once():
    """Guards against a Retry-After of the 20 ms in which a keeper answers a waiting request."""
    advisories = ServerAdvisories(ManualClock(), "p", lambda: ("p", "q"))
    advisories.on_want = lambda: None
    advisories.record(ENTRY, ResponseHead(200, (), rate_limit=2.0))
    while advisories.take(ENTRY):
        pass
    registry = types.SimpleNamespace(usable=lambda service: [ENTRY])
    rollouts = types.SimpleNamespace(without_stopped=lambda usable: usable)
    parts = types.SimpleNamespace(advisories=advisories, registry=registry, rollouts=rollouts)
    servers = EligibleServers(parts, "pool")
    advisories.want([ENTRY])
    assert servers.time_until_permit() < seconds(0.1)
    assert servers.retry_after("r-1") >= seconds(1)
