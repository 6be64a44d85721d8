"""What an entry costs: a plain call through it against the service directly, and tokens a second.

The measurement runs against an entry and stand-ins that were started by hand as processes of
their own, with the settings in `cicadapond/demo/overhead`.  Its callers are few, ask again as
soon as they are answered, and speak HTTP themselves, so that they cost little beside the entry.
"""

import asyncio
import json
import time

import attrs

from cicadapond.data import Endpoint
from cicadapond.experiments._table import Experiment, Table, experiments

ENTRY = Endpoint("127.0.0.1", 21700)
SERVICE = Endpoint("127.0.0.1", 21721)
KEY = "overhead-key"
CALL_SECONDS = 6.0
STREAM_SECONDS = 8.0
CALLERS = (1, 16)
STREAMS = (16, 64, 120)
STREAM_TOKENS = 100
MILLISECONDS = 1000.0


@attrs.frozen
class Probe:
    """One kind of request to one address."""

    endpoint: Endpoint
    request: bytes


def probe(endpoint: Endpoint, method: str, path: str, body: bytes = b"", urgency: int = 0) -> Probe:
    """Returns a request as it is sent."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nPriority: u={urgency}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return Probe(endpoint, head.encode() + body)


DIRECT = probe(SERVICE, "GET", "/stock/12")
THROUGH = probe(ENTRY, "GET", "/services/counter-app/stock/12")
STREAM_BODY = json.dumps(
    {
        "model": "shade-model",
        "prompt": "Which red suits a prairie winter?",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
)
STREAM_PROBES = {
    name: probe(ENTRY, "POST", "/v1/completions", STREAM_BODY.encode(), urgency)
    for name, urgency in (("interactive", 0), ("standard", 3), ("batch", 5))
}


@attrs.define
class Counts:
    """What came of the requests: durations in seconds, and pieces of streams."""

    durations: list[float] = attrs.field(factory=list)
    events: int = 0
    failures: int = 0


async def _caller(found: Probe, counts, end):
    """Asks again and again over one connection."""
    reader, writer = await asyncio.open_connection(found.endpoint.host, found.endpoint.port)
    while time.perf_counter() < end:
        started = time.perf_counter()
        writer.write(found.request)
        head = await reader.readuntil(b"\r\n\r\n")
        await _read_body(reader, head.lower(), counts)
        counts.durations.append(time.perf_counter() - started)
        counts.failures += not head.startswith(b"HTTP/1.1 2")
    writer.close()


async def _read_body(reader, head, counts):
    if b"transfer-encoding: chunked" not in head:
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        return
    while size := int(await reader.readline(), 16):
        chunk = await reader.readexactly(size + 2)
        counts.events += chunk.count(b"data: {")
    await reader.readline()


async def measure(found: Probe, callers: int, duration: float) -> Counts:
    """Lets some callers ask for a time.

    Args:
      found: What they ask.
      callers: How many they are.
      duration: In seconds.
    """
    counts = Counts()
    end = time.perf_counter() + duration
    await asyncio.gather(*(_caller(found, counts, end) for _ in range(callers)))
    return counts


def _call_row(name, found, callers):
    counts = asyncio.run(measure(found, callers, CALL_SECONDS))
    durations = sorted(counts.durations)
    middle = durations[len(durations) // 2] * MILLISECONDS
    slow = durations[int(0.99 * len(durations))] * MILLISECONDS
    return (name, callers, len(durations) / CALL_SECONDS, middle, slow, counts.failures)


def _stream_row(priority, streams):
    started = time.perf_counter()
    counts = asyncio.run(measure(STREAM_PROBES[priority], streams, STREAM_SECONDS))
    elapsed = time.perf_counter() - started
    tokens = len(counts.durations) * STREAM_TOKENS
    return (priority, streams, tokens / elapsed, counts.events / elapsed, counts.failures)


@experiments.register("overhead")
class OverheadExperiment(Experiment):
    """Needs an entry and stand-ins started by hand; seeds change nothing."""

    summary = "cost of an entry on real sockets; start entry and stand-ins first"

    def run(self, seeds):
        calls = tuple(
            _call_row(name, found, callers)
            for callers in CALLERS
            for name, found in (("service directly", DIRECT), ("through the entry", THROUGH))
        )
        columns = ("path", "callers", "requests/s", "p50 (ms)", "p99 (ms)", "failures")
        streams = tuple(
            _stream_row(priority, streams) for priority in STREAM_PROBES for streams in STREAMS
        )
        stream_columns = ("priority", "streams", "tokens/s", "events/s", "failures")
        return (
            Table("A plain call", columns, calls),
            Table("Tokens through one entry process", stream_columns, streams),
        )
