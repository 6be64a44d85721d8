"""Tests that a document's values are its items that are not deleted, at the owner and in copies."""

import datetime

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.peer import Digest
from cicadapond.peer._documents import DigestWriter, Document, read_digest

KEYS = st.tuples(st.integers(0, 2), st.sampled_from("abcd"))


def values_of_items(document):
    found = {}
    for (section, key), (_, value) in document.items.items():
        if value is not None:
            found.setdefault(section, {})[key] = value
    return found


def non_empty_values(document):
    return {section: values for section, values in document.values.items() if values}


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(KEYS, st.one_of(st.none(), st.integers(1, 9))), max_size=150),
    st.sets(st.integers(0, 150)),
)
def test_values_match_the_items_at_the_owner_and_in_copies(puts, received_at):
    own, copy = Document(), Document()
    for number, ((section, key), value) in enumerate(puts):
        own.put(section, key, value)
        if number in received_at:
            base = 0 if copy.version < own.floor else copy.version
            copy.apply(own.floor, base, own.version, own.since(base))
            assert non_empty_values(copy) == non_empty_values(own)
        assert non_empty_values(own) == values_of_items(own)
        assert non_empty_values(copy) == values_of_items(copy)


def test_earlier_builds_see_nothing_of_a_restored_table_service():
    """They read the sections of this release by number, and leave others alone."""
    read_by_earlier_builds = {0, 1, 2, 3, 4, 5, 6, 7, 12, 14, 15}
    writer = DigestWriter(datetime.timedelta(), lambda server: False)
    writer.publish(Digest(), datetime.timedelta())
    restored = Digest(restored_copies={"servers": [1 << 44, 0, 1, []]}, restore={"era": 1})
    changed = writer.publish(restored, datetime.timedelta())
    assert len(changed) == 2
    assert not {section for _, section, _ in changed} & read_by_earlier_builds
    assert read_digest(writer.local, writer.wide) == restored
