"""Processor time of the gateway's decisions for a request, by processes and engines; no I/O.

Measures the check of route, key and quota, the placement, the check of what the servers state where
all of them state a limit, the merge of another process's digest, the search for what crashes
servers, the lookup of where a stream began, and the peak memory of placement and digests.  The
placement is measured again with a directory of the prompt parts that the engines keep, and the
memory of that.
"""

import random
import time
import tracemalloc

from cicadapond.advisories import ServerAdvisories
from cicadapond.containment import Crash, Successes, find_culprits, traits_of
from cicadapond.continuation import BUCKET, ORIGIN_RETENTION, StreamOrigins, bucket_number
from cicadapond.data import Endpoint
from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import ManualClock, seconds
from cicadapond.placing import EngineWork, Placer, ServerHealth
from cicadapond.quotas import SPENDING_WINDOW, QuotaShares
from cicadapond.residency import (
    Following,
    PartDirectory,
    Publication,
    Residency,
    SharedParts,
    part_hash,
)
from cicadapond.routes import ActiveConfiguration
from cicadapond.serving import (
    CallerRequest,
    ClientAccount,
    Configuration,
    Generation,
    PromptPart,
    RequestLimits,
    ResponseHead,
    Route,
    RouteKind,
    ServerEntry,
    WeightedService,
)
from cicadapond.usage import UsageWindows

# (processes, engines): the users' deployments today, after their growth, and the target size.
SIZES = ((6, 15), (80, 36), (420, 600))
REQUESTS = 400
ROUTES, ACCOUNTS, SUBJECTS = 250, 16, 110
# Servers that crashed lately, and the requests that each of them ran.
CRASHES, REQUESTS_PER_CRASH = 32, 30
# Data centres, and the streams of each version that one tells of in each bucket.
ZONES, STREAMS_PER_BUCKET = 10, 30
HASH_BYTES = 6
MICROSECONDS = 1e6
# Between two placements, so that what engines have queued does not only grow.
REQUEST_INTERVAL = seconds(0.002)


def _configuration():
    routes = tuple(
        Route(
            name=f"r-{number}",
            host="a.example",
            prefix=f"/r{number}/",
            kind=RouteKind.STREAM,
            services=(WeightedService("pool", 1.0),),
            timeout=seconds(15),
            objective=seconds(0.8),
        )
        for number in range(ROUTES)
    )
    accounts = tuple(
        ClientAccount(f"a-{number}", frozenset((f"k-{number}",)), rate=1e6, burst=1e6)
        for number in range(ACCOUNTS)
    )
    limits = RequestLimits(16384, 4194304, seconds(3), seconds(15))
    return Configuration(1, routes, {}, limits, accounts)


def _request(rng):
    path = f"/r{rng.randrange(ROUTES)}/x"
    key = f"k-{rng.randrange(ACCOUNTS)}"
    parts = (
        PromptPart("system", 512),
        PromptPart(f"t-{rng.randrange(SUBJECTS)}", 4870),
        PromptPart(f"o-{rng.getrandbits(32)}", 6610),
    )
    generation = Generation(11992, 384, parts)
    return CallerRequest(
        "r", "POST", path.encode(), "a.example", path, (), key=key, generation=generation
    )


def _crashes(rng, now):
    return [
        Crash(
            now + seconds(number),
            frozenset(
                trait for _ in range(REQUESTS_PER_CRASH) for trait in traits_of(_request(rng), None)
            ),
        )
        for number in range(CRASHES)
    ]


def _engines(count):
    return [
        ServerEntry(f"e-{number}", "pool", Endpoint("::1", 1), f"z{number % 10}", 64)
        for number in range(count)
    ]


def _directory(clock, servers, rng):
    """Returns a directory of engines that each keep half of the parts that requests share."""
    directory, told = PartDirectory(clock), {}
    keys = [part_hash("system"), *(part_hash(f"t-{number}") for number in range(SUBJECTS))]
    for server in servers:
        kept = {key: 5382 for key in keys if rng.random() < 0.5}
        told.setdefault(server.zone, {})[server.name] = Publication(clock, 0).update(
            kept, len(servers)
        )
    for zone, engines in told.items():
        directory.apply(zone, engines)
    return directory


def _origins(clock, rng):
    """Returns what the data centres have told of streams at two versions."""
    origins = StreamOrigins(clock)
    newest = bucket_number(clock.now())
    for zone in range(ZONES):
        buckets = {
            newest
            - age: {version: rng.randbytes(HASH_BYTES * STREAMS_PER_BUCKET) for version in "ab"}
            for age in range(ORIGIN_RETENTION // BUCKET)
        }
        origins.apply(f"z{zone}", buckets)
    return origins


def _microseconds_per_call(call):
    before = time.process_time()
    for _ in range(REQUESTS):
        call()
    return (time.process_time() - before) / REQUESTS * MICROSECONDS


def _measure(processes, engines, seed):
    rng, clock = random.Random(seed), ManualClock()
    active_configuration = ActiveConfiguration(clock, seconds(5), seconds(2))
    active_configuration.apply(_configuration())
    active_configuration.confirm_current(clock.monotonic())
    placer, health = Placer(clock, "z0"), ServerHealth(clock, "z0")
    quotas = QuotaShares(clock, begins_full=True)
    servers = _engines(engines)
    process_names = tuple(sorted(f"p-{number}" for number in range(processes)))
    advisories = ServerAdvisories(clock, process_names[0], lambda: process_names)
    for server in servers:
        advisories.record(server, ResponseHead(200, (), rate_limit=5.0))
    number = UsageWindows(SPENDING_WINDOW).number(clock.now())
    spending = {number: {f"a-{account}": 1000.0 for account in range(ACCOUNTS)}}
    work = {server.name: EngineWork(100, 2) for server in servers[:60]}

    def place():
        clock.advance(REQUEST_INTERVAL)
        placement = placer.place(health.usable(servers), _request(rng).generation)
        placer.mark_answer_begun(placement.request)
        placer.mark_ended(placement.request)

    def admit():
        found = active_configuration.find(_request(rng))
        quotas.take(found.account, 12376, 1.0)

    def check_statements():
        return [server for server in servers if advisories.may_send(server)]

    def merge_digest():
        name = rng.choice(process_names)
        spending[number][f"a-{rng.randrange(ACCOUNTS)}"] += 1000.0
        quotas.apply_spending(name, spending, includes_own=False)
        placer.apply_others_work(name, "hub", work, includes_own=False)

    crashes = _crashes(rng, clock.now())

    def find_crash_causes():
        find_culprits(crashes, lambda trait: Successes())

    place()
    merge_digest()  # a process of a deployment always knows some of the others' work
    tracemalloc.start()
    directory = _directory(clock, servers, random.Random(seed))
    directory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    by_name = {server.name: server for server in servers}
    following = Following(0.001)
    residency = Residency(
        clock, "z0", directory, SharedParts(clock), lambda service: following, by_name.get
    )
    knowing = Placer(clock, "z0", cached_parts=residency)

    def place_by_directory():
        clock.advance(REQUEST_INTERVAL)
        placement = knowing.place(health.usable(servers), _request(rng).generation)
        knowing.mark_answer_begun(placement.request)
        knowing.mark_ended(placement.request)

    place_by_directory()
    knowing.apply_others_work("z1", "hub", work, includes_own=False)
    origins = _origins(clock, rng)

    def find_stream():
        origins.find(f"r-{rng.getrandbits(32)}")

    changes = origins.changes
    for zone in range(ZONES):
        told = {bucket_number(clock.now()): {"a": rng.randbytes(HASH_BYTES)}}
        origins.apply(f"z{zone}", told)

    def look_again():
        origins.find(f"r-{rng.getrandbits(32)}", since=changes)

    operations = (
        admit,
        place,
        place_by_directory,
        check_statements,
        merge_digest,
        find_crash_causes,
        find_stream,
        look_again,
    )
    costs = [_microseconds_per_call(operation) for operation in operations]
    tracemalloc.start()
    for name in process_names:
        quotas.apply_spending(name, spending, includes_own=False)
        placer.apply_others_work(name, "hub", work, includes_own=False)
    for _ in range(REQUESTS):
        place()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (processes, engines, *costs, peak / 1e6, directory_bytes / 1e6)


@experiments.register("decisions")
class DecisionsExperiment(Experiment):
    """Measures the processor time and memory of the gateway's decisions."""

    summary = "processor time of the gateway's decisions by processes and engines"

    def run(self, seeds):
        columns = (
            "processes",
            "engines",
            "route, key and quota (µs)",
            "placing (µs)",
            "placing by a directory (µs)",
            "statements of all servers (µs)",
            "one digest heard (µs)",
            "causes of 32 crashes (µs)",
            "a stream looked up (µs)",
            "looked up again, all data centres heard (µs)",
            "peak memory (MB)",
            "directory (MB)",
        )
        rows = tuple(_measure(*size, seed) for seed in seeds for size in SIZES)
        return (Table("Decisions of one gateway process", columns, rows),)
