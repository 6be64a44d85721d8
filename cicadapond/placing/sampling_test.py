"""The sample of engines prefers a data centre, and is never short of servers that exist."""

import random

import pytest

from cicadapond.data import Endpoint
from cicadapond.placing._sampling import sample_servers
from cicadapond.serving import ServerEntry


@pytest.mark.parametrize(("near", "far"), [(0, 5), (1, 300), (2, 0), (1, 0), (40, 40)])
def test_near_servers_come_first_and_far_ones_fill_up(near, far):
    servers = [
        ServerEntry(f"e-{number}", "pool", Endpoint("::1", 1), "a" if number < near else "b", 8)
        for number in range(near + far)
    ]
    for seed in range(50):
        chosen = sample_servers(servers, lambda entry: entry.zone == "a", random.Random(seed))
        assert len({entry.name for entry in chosen}) == min(2, near + far)
        assert sum(entry.zone == "a" for entry in chosen) == min(2, near)
