"""Reports of processes to the hubs of their data centre, and summaries of hubs for everybody.

A hub adds up the reports of its data centre, so that what each process receives does not grow with
the number of processes.  Both are sent as small items, of which only the changed ones travel.  No
I/O.
"""

import base64
import datetime
import typing

import attrs

from cicadapond.advisories import Advisory
from cicadapond.containment import Crash, CrashEvidence, Successes, merge_evidence
from cicadapond.continuation import Buckets, drop_old_buckets, merge_buckets
from cicadapond.gateway._costly_servers import CostlyAnswers
from cicadapond.gateway._run_totals import RunTotals, Totals
from cicadapond.placing import EngineWork
from cicadapond.residency import HeldParts, merge_groups
from cicadapond.usage import StoredCounts, UsageLedger

# A process tells of an engine in at most so many buckets.
MAX_BUCKETS = 64

Windows = typing.Mapping[int, typing.Mapping[str, int]]


@attrs.frozen
class ServiceDemand:
    """What requests need of a service: engines busy with prefill, and requests in progress."""

    prefilling: float = 0.0
    in_progress: float = 0.0

    def __add__(self, other: "ServiceDemand") -> "ServiceDemand":
        return ServiceDemand(
            self.prefilling + other.prefilling, self.in_progress + other.in_progress
        )


@attrs.frozen
class Report:
    """The work of one process, or the sum over a data centre.

    Attributes:
      sequence: The number of the report; it grows with each one of the same sender.
      configuration: The lowest version of the configuration in force.
      processes: How many processes it covers.
      participants: How many of them take part in rollouts; builds up to 7419c1c do not say so.
      restore_followers: How many of them keep the lease from builds that do not follow restores of
        the store; builds up to 9175507 do not say so.
      grant_takers: How many of them take quotas by grants; builds up to 8852417 do not say so.
      lineage: Identifies the succession of hubs whose counts of usage continue each other, "" in
        the report of a process.
      spending: Units of quota spent, by window and client account.
      usage: Requests started, by window and client account.
      departed: Usage of processes that ended lately, which new hubs did not hear from.
      demand: The demand for each service.
      engines: What was sent to each engine.
      advisories: What servers said of themselves, by server.
      origins: Streams in progress lately, by the version that began them.
      crash_evidence: Crashes of servers, and successes that speak against suspicion.
      costly: Costly answers of servers, by server; builds up to 9d21365 do not say so.
      cut_off: The services whose servers a process does not reach, by the process's name.
      rollouts: What was sent to old and new versions, and what came of it: running totals by an
        opaque key.
      held: What engines keep of shared prompt parts, by engine.
      shared_parts: Hashes of the prompt parts that requests share, by group.
      stored_usage: Usage that lease holders have stored, to be reported, by window and client
        account.
    """

    sequence: int = 0
    configuration: int = 0
    processes: int = 1
    lineage: str = ""
    spending: Windows = attrs.field(factory=dict)
    usage: Windows = attrs.field(factory=dict)
    departed: typing.Mapping[str, Windows] = attrs.field(factory=dict)
    demand: typing.Mapping[str, ServiceDemand] = attrs.field(factory=dict)
    engines: typing.Mapping[str, EngineWork] = attrs.field(factory=dict)
    advisories: typing.Mapping[str, Advisory] = attrs.field(factory=dict)
    origins: Buckets = attrs.field(factory=dict)
    crash_evidence: CrashEvidence = CrashEvidence()
    costly: typing.Mapping[str, CostlyAnswers] = attrs.field(factory=dict)
    cut_off: typing.Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    rollouts: Totals = attrs.field(factory=dict)
    held: typing.Mapping[str, HeldParts] = attrs.field(factory=dict)
    shared_parts: typing.Mapping[int, bytes] = attrs.field(factory=dict)
    participants: int = 0
    restore_followers: int = 0
    grant_takers: int = 0
    stored_usage: Windows = attrs.field(factory=dict)

    def as_items(self) -> dict[str, object]:
        """Returns the report in the form in which it is sent between processes."""
        items = {"": [self.sequence, self.configuration, self.processes, self.lineage]}
        items |= {f"s {number}": dict(counts) for number, counts in self.spending.items()}
        items |= {f"u {number}": dict(counts) for number, counts in self.usage.items()}
        items |= {f"w {number}": dict(counts) for number, counts in self.stored_usage.items()}
        for run, windows in self.departed.items():
            items[f"x {run}"] = {str(number): dict(counts) for number, counts in windows.items()}
        for service, demand in self.demand.items():
            items[f"d {service}"] = [round(demand.prefilling, 2), round(demand.in_progress, 2)]
        for engine, work in self.engines.items():
            items[f"e {engine}"] = [work.prefill_total_ms, work.in_flight]
        for server, advisory in self.advisories.items():
            items[f"a {server}"] = [
                advisory.born,
                advisory.rate_limit,
                _to_ms(advisory.said_at),
                advisory.is_leaving,
                advisory.brittle,
            ]
        items |= {f"o {number}": dict(versions) for number, versions in self.origins.items()}
        for server, crash in self.crash_evidence.crashes.items():
            items[f"c {server}"] = [_to_ms(crash.at), sorted(crash.traits)]
        for trait, successes in self.crash_evidence.successes.items():
            items[f"k {trait}"] = [successes.count, _to_ms(successes.last)]
        for server, answers in self.costly.items():
            items[f"m {server}"] = [answers.born, answers.count, _to_ms(answers.last_at)]
        items |= {f"r {process}": list(services) for process, services in self.cut_off.items()}
        if self.participants:
            items["q"] = self.participants
        if self.restore_followers:
            items["f"] = self.restore_followers
        if self.grant_takers:
            items["g"] = self.grant_takers
        items |= {f"v {key}": list(totals) for key, totals in self.rollouts.items()}
        for engine, held in self.held.items():
            items[f"h {engine}"] = [held.born, len(held.buckets)]
            # One item each, as only the changed ones travel.
            for number, bucket in enumerate(held.buckets):
                if bucket:
                    items[f"b {number} {engine}"] = _to_text(bucket)
        items |= {f"p {group}": _to_text(raw) for group, raw in self.shared_parts.items()}
        return items


def read_report(items: typing.Mapping[str, object]) -> Report | None:
    """Decodes a report; returns None if there is none or it is malformed."""
    if "" not in items:
        return None
    fields = {kind: {} for kind in "suwxdeaockmrvhbp"}
    participants = restore_followers = grant_takers = 0
    try:
        sequence, configuration, processes, lineage = items[""]
        for key, value in items.items():
            kind, _, name = key.partition(" ")
            match kind:
                case "s" | "u":
                    fields[kind][int(name)] = value
                case "w":
                    fields[kind][int(name)] = {str(key): int(n) for key, n in value.items()}
                case "x":
                    fields[kind][name] = {int(number): counts for number, counts in value.items()}
                case "d":
                    fields[kind][name] = ServiceDemand(*value)
                case "e":
                    fields[kind][name] = EngineWork(*value)
                case "a":
                    fields[kind][name] = _read_advisory(*value)
                case "o":
                    fields[kind][int(name)] = {str(k): bytes(v) for k, v in value.items()}
                case "c":
                    at_ms, traits = value
                    fields[kind][name] = Crash(_from_ms(at_ms), frozenset(map(str, traits)))
                case "k":
                    count, last_ms = value
                    fields[kind][name] = Successes(int(count), _from_ms(last_ms))
                case "m":
                    born, count, last_ms = value
                    fields[kind][name] = CostlyAnswers(int(born), int(count), _from_ms(last_ms))
                case "r":
                    fields[kind][name] = tuple(map(str, value))
                case "q":
                    participants = int(value)
                case "f":
                    restore_followers = int(value)
                case "g":
                    grant_takers = int(value)
                case "v":
                    fields[kind][name] = tuple(map(int, value))
                case "h":
                    born, count = value
                    fields[kind][name] = int(born), min(int(count), MAX_BUCKETS)
                case "b":
                    number, _, engine = name.partition(" ")
                    fields[kind].setdefault(engine, {})[int(number)] = _from_text(value)
                case "p":
                    fields[kind][int(name)] = _from_text(value)
        return Report(
            int(sequence),
            int(configuration),
            int(processes),
            str(lineage),
            spending=fields["s"],
            usage=fields["u"],
            departed=fields["x"],
            demand=fields["d"],
            engines=fields["e"],
            advisories=fields["a"],
            origins=fields["o"],
            crash_evidence=CrashEvidence(fields["c"], fields["k"]),
            costly=fields["m"],
            cut_off=fields["r"],
            rollouts=fields["v"],
            held=_read_held(fields["h"], fields["b"]),
            shared_parts=fields["p"],
            participants=participants,
            restore_followers=restore_followers,
            grant_takers=grant_takers,
            stored_usage=fields["w"],
        )
    except (AttributeError, OSError, OverflowError, TypeError, ValueError):
        return None


def _read_held(engines, buckets):
    """Returns what engines keep; a bucket that did not arrive with the others is empty."""
    return {
        engine: HeldParts(
            born, tuple(buckets.get(engine, {}).get(number, b"") for number in range(count))
        )
        for engine, (born, count) in engines.items()
    }


def _to_text(raw):
    return base64.b64encode(raw).decode()


def _from_text(text):
    return base64.b64decode(text, validate=True)


def _read_advisory(born, rate_limit, said_at_ms, is_leaving=False, brittle=None):
    rate = None if rate_limit is None else float(rate_limit)
    turned_away = None if brittle is None else int(brittle)
    return Advisory(int(born), rate, _from_ms(said_at_ms), bool(is_leaving), turned_away)


def _to_ms(at):
    return round(at.timestamp() * 1000)


def _from_ms(at_ms):
    return datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)


@attrs.define
class _Run:
    """One run of a process: its last report, and when it was last heard from."""

    report: Report
    heard: datetime.timedelta
    ended: bool = False


class ZoneReports:
    """The reports of the processes of one data centre, as a hub knows them.

    Args:
      own_run: This process's run.
      silence: A process that was not heard from for this long is not counted among `processes`.
      retention: Its demand and its requests in flight count for this long.
    """

    def __init__(self, own_run: str, silence: datetime.timedelta, retention: datetime.timedelta):
        self._own_run = own_run
        self._silence = silence
        self._retention = retention
        self._runs: dict[str, _Run] = {}
        self._usage = UsageLedger()
        self._spending = UsageLedger()
        # Those of ended processes too, as their callers take them up elsewhere.
        self._origins: dict[int, dict[str, bytes]] = {}
        self._prefill_totals: dict[str, int] = {}
        self._rollouts = RunTotals()
        self._lineage = ""
        self._sequence = 0

    @property
    def lineage(self) -> str:
        """The lineage of this hub's summaries; a new one if it knows of no earlier hub."""
        return self._lineage or self._own_run

    def record(self, run: str, report: Report, now: datetime.timedelta) -> None:
        """Stores the latest report of a run."""
        known = self._runs.get(run)
        if known is not None and known.report.sequence > report.sequence:
            return
        before = known.report.engines if known is not None else {}
        for engine, work in report.engines.items():
            last = before[engine].prefill_total_ms if engine in before else 0
            added = max(0, work.prefill_total_ms - last)
            self._prefill_totals[engine] = self._prefill_totals.get(engine, 0) + added
        before = known.report.origins if known is not None else {}
        merge_buckets(
            self._origins,
            {
                number: versions
                for number, versions in report.origins.items()
                if versions != before.get(number)
            },
        )
        drop_old_buckets(self._origins)
        if known is None:
            self._end_earlier_runs(run)
        self._runs[run] = _Run(report, now)
        self._usage.merge(run, report.usage)
        self._spending.merge(run, report.spending)
        self._rollouts.record(run, report.rollouts, now)

    def record_heard(self, run: str, heard: datetime.timedelta) -> None:
        """Records when a process was last heard from."""
        if run in self._runs:
            self._runs[run].heard = max(heard, self._runs[run].heard)

    def record_ended(self, run: str) -> None:
        """Records that a process has ended; what it counted remains."""
        if run in self._runs:
            self._runs[run].ended = True

    def continue_from(self, summary: Report) -> None:
        """Takes over what an earlier hub told of this data centre."""
        # If two hubs began without knowing of each other, the lineage that began earlier remains.
        if not self._lineage or _start(summary.lineage) < _start(self._lineage):
            self._lineage = summary.lineage
        for run, windows in summary.departed.items():
            self._usage.merge(run, windows)

    def total(self, floor: Windows, now: datetime.timedelta) -> Report:
        """Returns the sum over the data centre.

        Args:
          floor: The usage that earlier hubs told, which the sum does not fall below.
          now: The monotonic time.
        """
        self._forget(now)
        self._sequence += 1
        self._lineage = self.lineage
        counted = [
            run
            for run in self._runs.values()
            if not run.ended and now - run.heard <= self._retention
        ]
        usage = UsageLedger()
        usage.merge("", floor)
        usage.merge("", self._usage.totals())
        demand: dict[str, ServiceDemand] = {}
        in_flight: dict[str, int] = {}
        advisories: dict[str, Advisory] = {}
        for run in counted:
            for service, need in run.report.demand.items():
                demand[service] = demand.get(service, ServiceDemand()) + need
            for engine, work in run.report.engines.items():
                in_flight[engine] = in_flight.get(engine, 0) + work.in_flight
            for server, advisory in run.report.advisories.items():
                known = advisories.get(server)
                if known is None or (advisory.born, advisory.said_at) > (known.born, known.said_at):
                    advisories[server] = advisory
        stored = StoredCounts()
        for run in self._runs.values():
            stored.merge(run.report.stored_usage)
        heard = [run.report for run in counted if now - run.heard <= self._silence]
        ended = {name for name, run in self._runs.items() if run.ended}
        departed = (self._usage.sources() - self._runs.keys()) | ended
        return Report(
            self._sequence,
            min((run.report.configuration for run in counted), default=0),
            len(heard),
            self._lineage,
            spending=self._spending.totals(),
            usage=usage.totals(),
            departed={run: self._usage.counts(run) for run in sorted(departed)},
            demand=demand,
            engines={
                engine: EngineWork(self._prefill_totals.get(engine, 0), count)
                for engine, count in in_flight.items()
            },
            advisories=advisories,
            origins={number: dict(versions) for number, versions in self._origins.items()},
            crash_evidence=merge_evidence(run.report.crash_evidence for run in counted),
            costly=_latest_costly(counted),
            cut_off={
                process: services
                for run in counted
                for process, services in run.report.cut_off.items()
            },
            rollouts=self._rollouts.sums(now),
            held=_latest_held(counted),
            shared_parts=merge_groups(run.report.shared_parts for run in counted),
            participants=sum(report.participants for report in heard),
            restore_followers=sum(report.restore_followers for report in heard),
            grant_takers=sum(report.grant_takers for report in heard),
            stored_usage=stored.counts(),
        )

    def _end_earlier_runs(self, run):
        process = run.rpartition("/")[0]
        for name, known in self._runs.items():
            if name.rpartition("/")[0] == process:
                known.ended = True

    def _forget(self, now):
        for name, run in list(self._runs.items()):
            if now - run.heard > self._retention:
                del self._runs[name]


def _latest_costly(runs):
    """Returns the last costly answer of each server that the processes tell of."""
    found: dict[str, CostlyAnswers] = {}
    for run in runs:
        for server, answers in run.report.costly.items():
            known = found.get(server)
            if known is None or (answers.born, answers.last_at) > (known.born, known.last_at):
                found[server] = answers
    return found


def _latest_held(runs):
    """Returns what the processes last told of each engine's latest start."""
    found: dict[str, HeldParts] = {}
    for run in sorted(runs, key=lambda run: run.heard):
        for engine, held in run.report.held.items():
            if engine not in found or held.born >= found[engine].born:
                found[engine] = held
    return found


def _start(run):
    """Returns the start time of a run in Unix milliseconds."""
    start = run.rpartition("/")[2]
    return int(start) if start.isdigit() else 0
