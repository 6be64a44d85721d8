"""Tests that relays between data centres are spread over the members."""

import collections

import pytest

from cicadapond.peer._topology import relays

ZONES = [f"z{number}" for number in range(10)]


def relayed_zones(members, count=2):
    """Returns how many data centres each member of the first one connects to."""
    names = [f"entry-{number}" for number in range(members)]
    chosen = relays("z0", names, ZONES[1:], count)
    assert all(len(set(relaying)) == min(count, members) for relaying in chosen.values())
    return collections.Counter(name for relaying in chosen.values() for name in relaying)


@pytest.mark.parametrize(("members", "most"), [(1, 9), (2, 9), (6, 3), (18, 1), (42, 1), (300, 1)])
def test_no_member_relays_more_than_its_share(members, most):
    assert max(relayed_zones(members).values()) == most


def test_all_compute_the_same_relays_from_the_same_members():
    names = [f"entry-{number}" for number in range(7)]
    assert relays("z0", names, ZONES[1:], 2) == relays("z0", names[::-1], ZONES[:0:-1], 2)


def test_a_member_that_goes_keeps_most_relays_where_they_were():
    names = [f"entry-{number}" for number in range(42)]
    before = relays("z0", names, ZONES[1:], 2)
    gone = before["z5"][0]
    after = relays("z0", [name for name in names if name != gone], ZONES[1:], 2)
    kept = sum(len(set(before[zone]) & set(after[zone])) for zone in before)
    assert kept >= 14
