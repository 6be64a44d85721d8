"""Overhead of an entry: plain calls through it and directly to the service, and tokens a second.

The measurement needs an entry and stand-ins that were started by hand as separate processes, with
the settings in `cicadapond/demo/overhead`.  A few closed-loop callers write and parse HTTP
themselves, so that their own cost is small compared with the entry's.
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
    """A request, as sent, and its destination."""

    endpoint: Endpoint
    request: bytes


def build_probe(
    endpoint: Endpoint, method: str, path: str, body: bytes = b"", urgency: int = 0
) -> Probe:
    """Returns a probe with the encoded request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nPriority: u={urgency}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return Probe(endpoint, head.encode() + body)


DIRECT = build_probe(SERVICE, "GET", "/stock/12")
VIA_ENTRY = build_probe(ENTRY, "GET", "/services/counter-app/stock/12")
STREAM_BODY = json.dumps(
    {
        "model": "shade-model",
        "prompt": "Which red suits a prairie winter?",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
)
STREAM_PROBES = {
    name: build_probe(ENTRY, "POST", "/v1/completions", STREAM_BODY.encode(), urgency)
    for name, urgency in (("interactive", 0), ("standard", 3), ("batch", 5))
}


@attrs.define
class LoadResult:
    """Results of the requests: durations in seconds, stream events and failures."""

    durations: list[float] = attrs.field(factory=list)
    events: int = 0
    failures: int = 0


async def _send_repeatedly(probe: Probe, result, deadline):
    """Sends the request repeatedly over one connection until the deadline."""
    reader, writer = await asyncio.open_connection(probe.endpoint.host, probe.endpoint.port)
    while time.perf_counter() < deadline:
        started = time.perf_counter()
        writer.write(probe.request)
        head = await reader.readuntil(b"\r\n\r\n")
        await _read_body(reader, head.lower(), result)
        result.durations.append(time.perf_counter() - started)
        result.failures += not head.startswith(b"HTTP/1.1 2")
    writer.close()


async def _read_body(reader, head, result):
    if b"transfer-encoding: chunked" not in head:
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        return
    while size := int(await reader.readline(), 16):
        chunk = await reader.readexactly(size + 2)
        result.events += chunk.count(b"data: {")
    await reader.readline()


async def measure(probe: Probe, callers: int, duration: float) -> LoadResult:
    """Runs concurrent closed-loop callers.

    Args:
      probe: The request that they send.
      callers: Number of callers.
      duration: Seconds to run.
    """
    result = LoadResult()
    deadline = time.perf_counter() + duration
    await asyncio.gather(*(_send_repeatedly(probe, result, deadline) for _ in range(callers)))
    return result


def _call_row(name, probe, callers):
    result = asyncio.run(measure(probe, callers, CALL_SECONDS))
    durations = sorted(result.durations)
    median_ms = durations[len(durations) // 2] * MILLISECONDS
    p99_ms = durations[int(0.99 * len(durations))] * MILLISECONDS
    return (name, callers, len(durations) / CALL_SECONDS, median_ms, p99_ms, result.failures)


def _stream_row(priority, streams):
    started = time.perf_counter()
    result = asyncio.run(measure(STREAM_PROBES[priority], streams, STREAM_SECONDS))
    elapsed = time.perf_counter() - started
    tokens = len(result.durations) * STREAM_TOKENS
    return (priority, streams, tokens / elapsed, result.events / elapsed, result.failures)


@experiments.register("overhead")
class OverheadExperiment(Experiment):
    """Needs an entry and stand-ins started by hand; the seeds are not used."""

    summary = "overhead of an entry on real sockets; start the entry and stand-ins first"

    def run(self, seeds):
        calls = tuple(
            _call_row(name, probe, callers)
            for callers in CALLERS
            for name, probe in (("service directly", DIRECT), ("through the entry", VIA_ENTRY))
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
