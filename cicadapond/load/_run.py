"""An open-loop run against a deployment.

Each request is sent at its own time whether or not earlier ones are answered, and is timed from
the time at which it should have been sent: a stalled sender or server cannot hide the waits that
it caused (coordinated omission, as named by Gil Tene).
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
CONNECT_SECONDS = 5.0
NO_STATUS = 599


@attrs.frozen
class LoadSettings:
    """What to send, where, and for how long.

    `targets` are base addresses such as "http://127.0.0.1:18080", used in turn.
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
      cfg: What to send, where, and for how long.

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
        sending = _Sending(cfg, client, target, call, start + time, report)
        pending.append(asyncio.ensure_future(sending.run()))
    await asyncio.gather(*pending)
    report.seconds = loop.time() - start
    client.close()
    return report


class _Sending:
    """One call on its way; takes its times as bytes arrive."""

    def __init__(self, cfg, client, target, call: CallSpec, due, report):
        self._cfg = cfg
        self._client = client
        self._url = target + call.path
        self._call = call
        self._due = due
        self._report = report
        self._last = None

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
                connect_timeout=CONNECT_SECONDS,
                request_timeout=self._cfg.timeout_seconds,
                streaming_callback=self._receive if call.streams else None,
            ),
            raise_error=False,
        )
        self._finish(response)

    def _receive(self, chunk):
        now = asyncio.get_running_loop().time()
        if self._last is None:
            self._report.record(f"{self._call.kind} first", now - self._due)
        else:
            self._report.record(f"{self._call.kind} gap", now - self._last)
        self._last = now

    def _finish(self, response):
        elapsed = asyncio.get_running_loop().time() - self._due
        tag = response.headers.get("Cicadapond-Outcome", "")
        if response.code == NO_STATUS:
            tag = "no-answer"
        status = f"{self._call.kind} {response.code} {tag}".rstrip()
        self._report.count(status)
        if response.code < 300:
            self._report.record(f"{self._call.kind} whole", elapsed)
