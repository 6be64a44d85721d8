"""An open-loop load run against a deployment.

Each request is sent at its scheduled time, whether or not earlier ones have been answered, and
its latency counts from that time. Otherwise a stalled sender or server would hide the waits that
it caused (coordinated omission, a term of Gil Tene's).
"""

import asyncio
import random

import attrs
import tornado.curl_httpclient
import tornado.httpclient

from cicadapond.load._arrivals import ArrivalSettings, arrivals
from cicadapond.load._mix import CallSpec, Mix, mixes
from cicadapond.load._report import LoadReportFile

MAX_CLIENTS = 4096
CONNECT_TIMEOUT_SECONDS = 5.0
NO_STATUS = 599  # set by Tornado where no response was received


@attrs.frozen
class LoadSettings:
    """Settings of a load run.

    `targets` are base URLs such as "http://127.0.0.1:18080", used in turn.
    """

    targets: tuple[str, ...]
    arrival: str
    arrival_cfg: ArrivalSettings
    mix: str
    token: str = ""
    timeout_seconds: float = 60.0
    seed: int = 1


async def run_load(cfg: LoadSettings) -> LoadReportFile:
    """Sends the load and waits for every answer.

    Args:
      cfg: The settings of the run.

    Returns:
      The report.
    """
    rng = random.Random(cfg.seed)
    times = arrivals.create(cfg.arrival).times(cfg.arrival_cfg, rng)
    mix: Mix = mixes.create(cfg.mix)
    calls = [mix.call(number, rng) for number in range(len(times))]
    client = tornado.curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS
    )
    report = LoadReportFile()
    loop = asyncio.get_running_loop()
    start = loop.time()
    pending = []
    for number, (time, call) in enumerate(zip(times, calls, strict=True)):
        await asyncio.sleep(max(0.0, start + time - loop.time()))
        target = cfg.targets[number % len(cfg.targets)]
        in_flight = _InFlightCall(cfg, client, target, call, start + time, report)
        pending.append(asyncio.ensure_future(in_flight.run()))
    await asyncio.gather(*pending)
    report.seconds = loop.time() - start
    client.close()
    return report


class _InFlightCall:
    """One call in flight; records its latencies as chunks arrive."""

    def __init__(self, cfg, client, target, call: CallSpec, scheduled_at, report):
        self._cfg = cfg
        self._client = client
        self._url = target + call.path
        self._call = call
        self._scheduled_at = scheduled_at
        self._report = report
        self._last_chunk_at = None

    async def run(self):
        call = self._call
        headers = dict(call.headers) | {"Expect": ""}
        if self._cfg.token:
            headers["Authorization"] = f"Bearer {self._cfg.token}"
        response = await self._client.fetch(
            tornado.httpclient.HTTPRequest(
                self._url,
                method=call.method,
                body=call.body if call.method != "GET" else None,
                headers=headers,
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                request_timeout=self._cfg.timeout_seconds,
                streaming_callback=self._receive if call.streams else None,
            ),
            raise_error=False,
        )
        self._finish(response)

    def _receive(self, chunk):
        now = asyncio.get_running_loop().time()
        if self._last_chunk_at is None:
            self._report.record(f"{self._call.kind} first", now - self._scheduled_at)
        else:
            self._report.record(f"{self._call.kind} gap", now - self._last_chunk_at)
        self._last_chunk_at = now

    def _finish(self, response):
        elapsed = asyncio.get_running_loop().time() - self._scheduled_at
        tag = response.headers.get("Cicadapond-Outcome", "")
        if response.code == NO_STATUS:
            tag = "no-answer"
        status = f"{self._call.kind} {response.code} {tag}".rstrip()
        self._report.count(status)
        if response.code < 300:
            self._report.record(f"{self._call.kind} whole", elapsed)
