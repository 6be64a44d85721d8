"""Reports and their sums over a data centre: nothing is lost or counted twice as hubs change."""

import attrs
import pytest

from cicadapond.advisories import Advisory
from cicadapond.gateway._reports import Report, ServiceDemand, ZoneReports, read_report
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import EngineWork
from cicadapond.usage import UsageLedger

START = ManualClock().now()
SILENCE, RETENTION = seconds(3), seconds(20)


def report(sequence, usage=0, spending=0, in_flight=0, prefill=0, limits=(), origins=()):
    return Report(
        sequence,
        configuration=4,
        spending={100: {"acme": spending}},
        usage={20: {"acme": usage}},
        demand={"pool": ServiceDemand(0.5, in_flight)},
        engines={"e": EngineWork(prefill, in_flight)},
        advisories=dict(limits),
        origins=dict(origins),
    )


def zone_reports(run):
    return ZoneReports(run, SILENCE, RETENTION)


class Consumer:
    """What a process makes of the summaries of one data centre."""

    def __init__(self):
        self.ledger = UsageLedger()

    def receive(self, summary):
        self.ledger.merge(f"zone {summary.lineage}", summary.usage)

    def usage(self):
        return self.ledger.total(20).get("acme", 0)


def test_a_report_survives_its_transport():
    total = zone_reports("h/1")
    total.record("a/1", report(1, 2, 30, 4, 50), seconds(0))
    total.record_ended("a/1")
    origins = {7: {"v1": b"123456", "v2": b"abcdef"}}
    limits = {"e": Advisory(3, 1.6, START), "f": Advisory(0, None, START)}
    total.record("b/1", report(1, 3, 10, 1, 20, limits, origins), seconds(0))
    summary = total.total({}, seconds(1))
    assert summary.advisories == limits
    assert summary.origins == origins
    assert read_report(summary.as_items()) == summary


@pytest.mark.parametrize(
    "items",
    [
        {},
        {"": None},
        {"": [1, 2]},
        {"": [1, 2, 3, ""], "u x": {}},
        {"": 1, "e a": [1]},
        {"": [1, 2, 3, ""], "a e": [0, 1.0, 1e30]},
    ],
)
def test_a_malformed_report_is_none(items):
    assert read_report(items) is None


def test_reports_are_added_up():
    total = zone_reports("h/1")
    total.record("a/1", report(1, 2, 30, 4, 50), seconds(0))
    total.record("a/1", report(2, 3, 40, 1, 70), seconds(0))
    total.record("b/1", report(1, 5, 10, 2, 20), seconds(0))
    summary = total.total({}, seconds(1))
    assert summary.usage == {20: {"acme": 8}}
    assert summary.spending == {100: {"acme": 50}}
    assert summary.demand == {"pool": ServiceDemand(1.0, 3)}
    assert summary.engines == {"e": EngineWork(90, 3)}
    assert (summary.processes, summary.configuration) == (2, 4)


def test_processes_of_earlier_builds_are_told_from_those_that_take_part_in_rollouts():
    # Guards against a trial while processes run that know no rollouts, and against a report that
    # those cannot read: they expect four fields in its head and ignore unknown kinds.
    rollouts = {"pool\t1\tr\ta": (3, 1)}
    new = attrs.evolve(report(1), participants=1, restore_followers=1, rollouts=rollouts)
    assert len(new.as_items()[""]) == 4
    assert new.as_items().keys() - report(1).as_items().keys() == {"q", "f", "v pool\t1\tr\ta"}
    total = zone_reports("h/1")
    total.record("h/1", new, seconds(0))
    # As 0fc5517 and 7419c1c write it.
    old = {"": [5, 4, 1, ""], "u 20": {"acme": 2}, "d pool": [0.5, 0], "e e": [70, 0]}
    total.record("old/1", read_report(old), seconds(0))
    summary = read_report(total.total({}, seconds(1)).as_items())
    assert (summary.processes, summary.participants, summary.restore_followers) == (2, 1, 1)
    total.record("old/2", attrs.evolve(new, sequence=1), seconds(2))
    summary = total.total({}, seconds(2))
    assert (summary.processes, summary.participants, summary.restore_followers) == (2, 2, 2)
    # A hub of an earlier build counts no participants, as it is itself none.
    assert read_report({"": [5, 4, 2, "old/1"]}).participants == 0


def test_a_silent_process_is_not_counted_and_later_needs_no_servers():
    total = zone_reports("h/1")
    total.record("a/1", report(1, 2, 0, 4), seconds(0))
    total.record("h/1", report(1), seconds(25))
    assert total.total({}, seconds(2)).processes == 2
    total.record_heard("a/1", seconds(1))
    assert total.total({}, seconds(5)).processes == 1
    assert total.total({}, seconds(5)).demand["pool"].in_progress == 4
    summary = total.total({}, seconds(25))
    assert summary.demand["pool"].in_progress == 0
    assert summary.usage == {20: {"acme": 2}}


def test_the_counts_of_a_process_that_restarted_remain():
    total = zone_reports("h/1")
    total.record("a/1", report(1, usage=5, in_flight=3, prefill=100), seconds(0))
    total.record("a/2", report(1, usage=2, in_flight=1, prefill=10), seconds(2))
    summary = total.total({}, seconds(3))
    assert summary.usage == {20: {"acme": 7}}
    assert summary.engines == {"e": EngineWork(110, 1)}
    assert summary.departed == {"a/1": {20: {"acme": 5}}}


def test_a_rolling_stop_of_a_data_centre_loses_no_count():
    """Two processes restart in turn; each new hub did not hear from the runs before it."""
    consumer = Consumer()
    first, second = zone_reports("a/1"), zone_reports("b/1")
    for hub in (first, second):
        hub.record("a/1", report(1, usage=10), seconds(0))
        hub.record("b/1", report(1, usage=4), seconds(0))
    summary = first.total({}, seconds(1))
    second.continue_from(summary)
    consumer.receive(summary)
    # a stops; b becomes the hub, and a's next run hears from it before it becomes the hub.
    second.record_ended("a/1")
    second.record("b/1", report(2, usage=6), seconds(2))
    summary = second.total(consumer.ledger.counts(f"zone {second.lineage}"), seconds(2))
    consumer.receive(summary)
    third = zone_reports("a/2")
    third.continue_from(summary)
    third.record("b/1", report(3, usage=7), seconds(3))
    third.record_ended("b/1")
    third.record("a/2", report(1, usage=1), seconds(3))
    consumer.receive(third.total(consumer.ledger.counts(f"zone {third.lineage}"), seconds(4)))
    assert consumer.usage() == 10 + 7 + 1


def test_counts_before_and_after_a_stop_of_all_processes_are_added():
    consumer = Consumer()
    before = zone_reports("a/1")
    before.record("a/1", report(1, usage=10), seconds(0))
    consumer.receive(before.total({}, seconds(1)))
    after = zone_reports("a/2")
    after.record("a/2", report(1, usage=3), seconds(2))
    consumer.receive(after.total({}, seconds(3)))
    assert consumer.usage() == 13


def test_two_hubs_that_began_apart_agree_on_the_earlier_lineage():
    first, second = zone_reports("a/1"), zone_reports("b/2")
    summaries = [hub.total({}, seconds(1)) for hub in (first, second)]
    first.continue_from(summaries[1])
    second.continue_from(summaries[0])
    assert first.lineage == second.lineage == "a/1"


def test_the_newest_statement_about_a_server_is_told():
    total = zone_reports("h/1")
    older = Advisory(1, 5.0, START + seconds(9))
    newer = Advisory(2, 1.0, START)
    ended = Advisory(2, None, START + seconds(1))
    for run, advisory in (("a/1", newer), ("b/1", ended), ("c/1", older)):
        total.record(run, report(1, limits={"e": advisory}), seconds(0))
    assert total.total({}, seconds(1)).advisories == {"e": ended}


def test_the_streams_of_an_ended_process_are_still_told():
    total = zone_reports("h/1")
    total.record("a/1", report(1, origins={7: {"v1": b"aaaaaa"}}), seconds(0))
    total.record("a/1", report(2, origins={7: {"v1": b"aaaaaabbbbbb"}}), seconds(0))
    total.record("b/1", report(1, origins={7: {"v1": b"cccccc", "v2": b"dddddd"}}), seconds(0))
    total.record_ended("a/1")
    assert total.total({}, seconds(1)).origins == {
        7: {"v1": b"aaaaaabbbbbbcccccc", "v2": b"dddddd"}
    }


def test_what_a_holder_has_stored_is_told_to_all_also_after_its_end():
    """Guards against a window that the next holder withholds, as its row was lost."""
    total = zone_reports("h/1")
    stored = {number: {"acme": number} for number in range(20, 24)}
    total.record("a/1", attrs.evolve(report(1), stored_usage=stored), seconds(0))
    total.record("b/1", attrs.evolve(report(1), stored_usage={24: {"acme": 1}}), seconds(0))
    total.record_ended("a/1")
    summary = total.total({}, seconds(1))
    assert summary.stored_usage == {21: {"acme": 21}} | {
        number: {"acme": number} for number in (22, 23)
    } | {24: {"acme": 1}}
    assert read_report(summary.as_items()) == summary
    # Builds that know no eras ignore the kind, and expect four fields in the head.
    items = attrs.evolve(report(1), stored_usage={20: {"acme": 7}}).as_items()
    assert len(items[""]) == 4
    assert items.keys() - report(1).as_items().keys() == {"w 20"}
    assert read_report(items | {"w 20": {"acme": "many"}}) is None
