"""Documents: what is read is what is not deleted, however it came."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapond.peer._documents import Document

KEYS = st.tuples(st.integers(0, 2), st.sampled_from("abcd"))


def kept(document):
    found = {}
    for (section, key), (_, value) in document.items.items():
        if value is not None:
            found.setdefault(section, {})[key] = value
    return found


def read(document):
    return {section: values for section, values in document.values.items() if values}


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(KEYS, st.one_of(st.none(), st.integers(1, 9))), max_size=150),
    st.sets(st.integers(0, 150)),
)
def test_values_are_what_the_items_hold_at_the_owner_and_at_others(puts, heard_at):
    own, other = Document(), Document()
    for number, ((section, key), value) in enumerate(puts):
        own.put(section, key, value)
        if number in heard_at:
            base = 0 if other.version < own.floor else other.version
            other.apply(own.floor, base, own.version, own.since(base))
            assert read(other) == read(own)
        assert read(own) == kept(own)
        assert read(other) == kept(other)
