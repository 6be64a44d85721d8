"""Tests that a document's values are its items that are not deleted, at the owner and in copies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.peer._documents import Document

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
