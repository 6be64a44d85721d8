"""Each member's digest as a versioned document of small items, so that only changes travel.

A member has two documents.  The wide one goes to every process of the system; the local one
(counts and loads, which change all the time) only to processes of the member's own data centre.
Each item has the version at which it last changed.  A process that has some version of a document
can be brought up to date by any process that has a newer one, with just the items above that
version.
"""

import datetime
import enum
import typing

import attrs

from cicadapond.data import LoadReport
from cicadapond.peer._api import Digest


class Section(enum.IntEnum):
    """Parts of a digest, numbered as on the wire."""

    REVISION = 0
    IN_FLIGHT = 1
    LEAVING = 2
    DRAINS = 3
    LOADS = 4
    CONVICTED = 5
    SUSPECTS = 6
    SERVING = 7
    COPIES = 12
    RESTORED_COPIES = 13
    REPORT = 14
    SUMMARY = 15
    RESTORE = 16


# Changes in these sections are flooded: each relay that receives one sends it on to all other data
# centres it is connected to.  Other changes come only from relays of the member's data centre.
FLOODED = frozenset((Section.LEAVING, Section.DRAINS, Section.CONVICTED, Section.SUSPECTS))
# Changes in these sections are sent at once; others wait for their interval.
URGENT = FLOODED | {
    Section.REVISION,
    Section.COPIES,
    Section.RESTORED_COPIES,
    Section.REPORT,
    Section.SUMMARY,
    Section.RESTORE,
}
# While a process sends more than its link is meant to carry, changes in these sections are held and
# merged; they change all the time, and a later one replaces an earlier one.
HELD = frozenset((Section.REPORT, Section.SUMMARY))
# An in-flight count is sent when it becomes or ceases to be zero, and when it changes by the larger
# of this number and this share of its old value.
MIN_COUNT_CHANGE = 2
COUNT_CHANGE_SHARE = 0.25
# A load is sent again within the data centre after this time, changed or not.
MAX_LOAD_AGE = datetime.timedelta(seconds=5)
MAX_TOMBSTONES = 64
_MILLISECOND = datetime.timedelta(milliseconds=1)
_EMPTY: dict = {}


@attrs.define
class Document:
    """Items of one document: (section, key) to (version, value); a value of None is a deletion.

    `values` has the values that are not deleted, by section and key, because documents are read
    far more often than they change.  Deletions up to version `floor` are no longer kept.
    """

    version: int = 0
    floor: int = 0
    items: dict = attrs.field(factory=dict)
    values: dict[int, dict] = attrs.field(factory=dict)
    tombstones: int = 0

    def put(self, section: int, key: str, value) -> None:
        """Sets an item of the process's own document; a value of None deletes it."""
        self.version += 1
        self._set(section, key, self.version, value)
        self.tombstones += value is None
        if self.tombstones > MAX_TOMBSTONES:
            self._collect_tombstones()

    def _set(self, section, key, version, value):
        self.items[section, key] = (version, value)
        if value is not None:
            self.values.setdefault(section, {})[key] = value
        elif section in self.values:
            self.values[section].pop(key, None)

    def _collect_tombstones(self):
        """Drops the older half of the deletions and raises the floor above them."""
        deleted = sorted(
            (item[0], item_key) for item_key, item in self.items.items() if item[1] is None
        )
        for version, item_key in deleted[: len(deleted) // 2]:
            del self.items[item_key]
            self.floor = version
        self.tombstones = len(deleted) - len(deleted) // 2

    def since(self, version: int) -> list:
        """Returns the items above a version in order of version, in their wire form."""
        items = [
            (section, key, item[0], item[1])
            for (section, key), item in self.items.items()
            if item[0] > version
        ]
        items.sort(key=lambda item: item[2])
        return items

    def apply(self, floor: int, base: int, top: int, items: list) -> list:
        """Applies items of another process: all that changed above `base` up to `top`.

        The version rises only if nothing is missing below `base`, so that this copy is always
        complete up to its version.

        Returns:
          The (section, key) of the items that were newer than those of this copy.
        """
        if self.version < floor and self.floor < floor:
            self.items.clear()
            self.values.clear()
            self.version = 0
        changed = []
        for section, key, version, value in items:
            known = self.items.get((section, key))
            if known is None or known[0] < version:
                self._set(section, key, version, value)
                changed.append((section, key))
        if base <= self.version < top:
            self.version = top
        if floor > self.floor:
            self.floor = floor
            self._drop_below_floor()
        return changed

    def _drop_below_floor(self):
        floor = self.floor
        old = [
            item_key
            for item_key, item in self.items.items()
            if item[1] is None and item[0] <= floor
        ]
        for item_key in old:
            del self.items[item_key]


# Conversion between digests and items


def _load_value(report):
    age = report.age // _MILLISECOND
    kv_used = round(report.kv_used, 2)
    return [report.running, report.waiting, report.slots, kv_used, age, report.leaving]


def _load_report(server, value, serving):
    running, waiting, slots, kv_used, age, leaving = value
    age *= _MILLISECOND
    model, version = serving
    return LoadReport(server, running, waiting, slots, kv_used, age, leaving, model, version)


def _from_timestamp(value):
    return datetime.datetime.fromtimestamp(value, datetime.UTC)


def _count_changed(old, new):
    if not old or not new:
        return old != new
    return abs(new - old) >= max(MIN_COUNT_CHANGE, COUNT_CHANGE_SHARE * old)


class DigestWriter:
    """Turns the digests that a process publishes into items of its two documents.

    In-flight counts are sent when they change by enough to matter for routing, and at every change
    where a drain waits for them; loads are sent when they change by enough, and in its own data
    centre also at a fixed interval.

    Args:
      wide_loads: The shortest interval at which changed loads are sent to other data centres.
      is_wide_server: Whether in-flight counts for a backend server are sent to other data centres.
    """

    def __init__(
        self, wide_loads: datetime.timedelta, is_wide_server: typing.Callable[[str], bool]
    ):
        self.local = Document()
        self.wide = Document()
        self._wide_loads = wide_loads
        self._is_wide_server = is_wide_server
        self._load_times: dict[tuple[bool, str], datetime.timedelta] = {}

    def publish(self, digest: Digest, now: datetime.timedelta) -> list:
        """Updates the documents from a digest.

        Returns:
          What changed, as (wide, section, key).
        """
        changed = []
        self._replace(True, Section.REVISION, {"": digest.revision}, changed)
        self._replace(True, Section.LEAVING, digest.leaving, changed)
        self._replace(True, Section.DRAINS, digest.drains, changed)
        convicted = {key: end.timestamp() for key, end in digest.convicted.items()}
        self._replace(True, Section.CONVICTED, convicted, changed)
        self._replace(True, Section.SUSPECTS, digest.suspects, changed)
        serving = {
            name: [report.model, report.version]
            for name, report in digest.loads.items()
            if report.model
        }
        self._replace(True, Section.SERVING, serving, changed)
        self._replace(True, Section.COPIES, digest.copies, changed)
        self._replace(True, Section.RESTORED_COPIES, digest.restored_copies, changed)
        self._replace(True, Section.RESTORE, digest.restore, changed)
        self._replace(False, Section.REPORT, digest.report, changed)
        self._replace(True, Section.SUMMARY, digest.summary, changed)
        self._publish_counts(digest, changed)
        self._publish_loads(digest, now, changed)
        return changed

    def _replace(self, wide, section, values, changed, differs=None):
        document = self.wide if wide else self.local
        for key in [key for key in document.values.get(section, _EMPTY) if key not in values]:
            document.put(section, key, None)
            changed.append((wide, section, key))
        for key, value in values.items():
            known = document.items.get((section, key), (0, None))[1]
            if differs(known, value, key) if differs else known != value:
                document.put(section, key, value)
                changed.append((wide, section, key))

    def _publish_counts(self, digest, changed):
        exact = digest.leaving.keys() | digest.drains.keys()

        def differs(known, value, key):
            return known != value if key in exact else _count_changed(known, value)

        counts = {name: count for name, count in digest.in_flight.items() if count}
        wide = {
            name: count
            for name, count in counts.items()
            if name in exact or self._is_wide_server(name)
        }
        self._replace(False, Section.IN_FLIGHT, counts, changed, differs)
        self._replace(True, Section.IN_FLIGHT, wide, changed, differs)

    def _publish_loads(self, digest, now, changed):
        values = {name: _load_value(report) for name, report in digest.loads.items()}
        for wide, interval in ((False, MAX_LOAD_AGE), (True, self._wide_loads)):

            def differs(known, value, key, wide=wide, interval=interval):
                due = now - self._load_times.get((wide, key), -interval) >= interval
                load_changed = known is None or _load_changed(known, value, wide)
                if (
                    known is None
                    or (load_changed and not wide)
                    or (due and (load_changed or not wide))
                ):
                    self._load_times[wide, key] = now
                    return True
                return False

            self._replace(wide, Section.LOADS, values, changed, differs)
        for known in [known for known in self._load_times if known[1] not in values]:
            del self._load_times[known]


def _load_changed(known, value, wide):
    if known[5] != value[5]:
        return True
    if wide:
        return _count_changed(known[0] + known[1], value[0] + value[1])
    return _count_changed(known[0], value[0]) or _count_changed(known[1], value[1])


def read_digest(local: Document, wide: Document) -> Digest:
    """Returns the digest that a member's documents hold; an empty one if a value is malformed."""
    sections = {
        section: wide.values.get(section, _EMPTY) | local.values.get(section, _EMPTY)
        for section in Section
    }
    serving = sections[Section.SERVING]
    loads = sections[Section.LOADS]
    try:
        return Digest(
            revision=sections[Section.REVISION].get("", 0),
            in_flight=sections[Section.IN_FLIGHT],
            leaving=sections[Section.LEAVING],
            drains=sections[Section.DRAINS],
            loads={
                key: _load_report(key, value, serving.get(key, ("", "")))
                for key, value in loads.items()
            },
            convicted={
                key: _from_timestamp(end) for key, end in sections[Section.CONVICTED].items()
            },
            suspects=sections[Section.SUSPECTS],
            copies=sections[Section.COPIES],
            restored_copies=sections[Section.RESTORED_COPIES],
            restore=sections[Section.RESTORE],
            report=sections[Section.REPORT],
            summary=sections[Section.SUMMARY],
        )
    except (TypeError, ValueError, OverflowError):
        return Digest()
