"""Tests of the store's era: what responses tell of it, and that a restore is logged."""

import pytest

from cicadapond.kernel import Metrics
from cicadapond.platform._era import StoreEra
from cicadapond.platform._headers import parse_store_era
from cicadapond.provider import MAX_ERA


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def era_of(*values):
    return parse_store_era([(b"date", b"x"), *((b"store-era", value) for value in values)])


@pytest.mark.parametrize("values, era", [((), None), ((b"0",), 0), ((b" 12 ",), 12)])
def test_an_era_is_read_from_its_header(values, era):
    assert era_of(*values) == era


@pytest.mark.parametrize(
    "values", [(b"",), (b"-1",), (b"1.5",), (b"x",), (b"1", b"2"), (b"%d" % (MAX_ERA + 1),)]
)
def test_a_malformed_era_is_logged_once_and_the_known_one_stays(values):
    log = Log()
    era = StoreEra(log, Metrics())
    era.observe(3, 10, None)
    for _ in range(2):
        assert era.observe(era_of(*values), 11, 3) == 3
    assert [event for event, _ in log.lines] == ["store_era_unreadable"]
    assert era.current == 3


def test_a_restore_is_logged_with_the_versions_around_it():
    log, metrics = Log(), Metrics()
    era = StoreEra(log, metrics)
    for told, version in ((None, 5), (None, 40), (1, 30), (1, 31), (None, 32), (0, 33)):
        era.observe(told, version, era.current)
    fields = {"era": 1, "last_era": 0, "version": 30, "last_version": 40}
    assert log.lines == [("store_restored", fields)]
    assert metrics.counter("store_restores") == 1


def test_the_first_response_tells_the_era_and_no_restore():
    log = Log()
    StoreEra(log, Metrics()).observe(7, 1, None)
    assert log.lines == []
