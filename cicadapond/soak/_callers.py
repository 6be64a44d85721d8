"""Callers with keep-alive connections, and a load balancer that picks among ready processes."""

import asyncio
import itertools
import random

import tornado.httpclient

from cicadapond.platform.standin import Answer, Caller, stream_event
from cicadapond.soak._records import LOOKUP, PLAIN, STREAM, CallRecord, History

EVENTS_PER_STREAM = 4
PATHS = {PLAIN: "/post/x", LOOKUP: "/peek/x"}
WEIGHTS = {PLAIN: 0.4, LOOKUP: 0.3, STREAM: 0.3}
MEAN_REQUEST_GAP_S = 0.08
CALLER_TIMEOUT_S = 4.0
READY_POLL_S = 0.25
CRASHING_PART = "bad"
READY_TIMEOUT_S = 0.5
UNREADY_AFTER_MISSES = 2


class Balancer:
    """Polls the processes' readiness endpoints.

    A process is out of rotation after `UNREADY_AFTER_MISSES` failed probes in a row.

    Args:
      readiness: The readiness port of each process.
    """

    def __init__(self, readiness: list[int]):
        self._readiness = readiness
        self._misses = [UNREADY_AFTER_MISSES] * len(readiness)

    def ready(self) -> list[int]:
        """Returns the numbers of the processes that may be given new connections."""
        return [
            number for number, misses in enumerate(self._misses) if misses < UNREADY_AFTER_MISSES
        ]

    async def run(self) -> None:
        """Probes all processes every `READY_POLL_S` until it is cancelled."""
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        while True:
            await asyncio.gather(*(self._probe(client, n) for n in range(len(self._readiness))))
            await asyncio.sleep(READY_POLL_S)

    async def _probe(self, client, number):
        url = f"http://127.0.0.1:{self._readiness[number]}/readyz"
        try:
            await client.fetch(url, request_timeout=READY_TIMEOUT_S)
            self._misses[number] = 0
        except (OSError, tornado.httpclient.HTTPError):
            self._misses[number] += 1


class CallerLoop:
    """A caller that sends one request at a time and reuses its connection while it is open.

    Args:
      name: Prefix of its request ids.
      ports: The port on which each process accepts callers.
      balancer: Chooses among the processes.
      keys: Returns the keys to choose from.
      history: Receives a record of each request.
      rng: Source of all random choices.
    """

    def __init__(self, name, ports, balancer: Balancer, keys, history: History, rng):
        self._name = name
        self._ports = ports
        self._balancer = balancer
        self._keys = keys
        self._history = history
        self._rng: random.Random = rng
        self._connection: Caller | None = None
        self._process = 0
        self._streams = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_REQUEST_GAP_S))
            if self._connection is None and not self._connect():
                continue
            call, answer = await self._exchange(f"{self._name}-{number}")
            if call.kind == STREAM and not answer.is_complete and answer.event_ids():
                await self._take_up(call, answer)

    async def _take_up(self, call, answer):
        """Continues a stream that broke off, on a new connection."""
        if self._connect():
            await self._exchange(f"{call.id}-again", call, answer.event_ids()[-1])

    def _connect(self):
        ready = self._balancer.ready()
        if not ready:
            return False
        self._process = self._rng.choice(ready)
        self._connection = Caller(self._ports[self._process])
        return True

    async def _exchange(self, request_id, begun: CallRecord | None = None, last_event: int = 0):
        """Sends a request, or continues the stream of an earlier one; returns record and answer."""
        (kind,) = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        key = self._rng.choice(self._keys())
        loop = asyncio.get_running_loop()
        call = CallRecord(request_id, kind, key, self._process, loop.time())
        if begun is not None:
            call.kind, call.key, call.resumes = begun.kind, begun.key, begun.id
        answer = Answer()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self._send(call, last_event)
                answer = await self._connection.read_response()
        except TimeoutError:
            call.timed_out = True
            self._connection.abort()
        except (ConnectionError, OSError):
            pass  # the record's status stays None
        call.ended_at = loop.time()
        call.status, call.is_complete = answer.status, answer.is_complete
        call.is_correct = is_expected_answer(call, answer, last_event)
        call.versions = answer.versions()
        self._history.calls.append(call)
        if not answer.is_complete or answer.headers.get("connection", "").lower() == "close":
            self._connection = None
        return call, answer

    def _part(self, call):
        """Returns the part that crashes engines, or one that other prompts have too."""
        if self._rng.random() < self._history.crashing_share and not call.resumes:
            self._history.crashing_ids.add(call.id)
            return CRASHING_PART
        return f"b{self._streams % 3}"

    async def _send(self, call, last_event):
        token = f"Token {call.key}"
        if call.kind == STREAM:
            continuing = {"last_event_id": str(last_event), "resumes": call.resumes}
            headers = continuing if call.resumes else {}
            self._streams += 1
            parts = f"aa:400,{self._part(call)}:300,{self._name}-{self._streams}:30"
            headers["x_cicadapond_prefix_hash"] = parts
            await self._connection.stream(call.id, authorization=token, **headers)
        else:
            method = "POST" if call.kind == PLAIN else "GET"
            path = PATHS[call.kind]
            await self._connection.send(call.id, path, method=method, authorization=token)


def is_expected_answer(call: CallRecord, answer: Answer, last_event: int = 0) -> bool:
    """Returns whether the body received belongs to the request, in order.

    An answer that ended properly must have the full body; a truncated stream must be a prefix.  A
    continued stream begins after the last event of the one before.
    """
    if answer.status != 200:
        return True
    if call.kind != STREAM:
        return not answer.is_complete or answer.body == f"answer to {call.id}".encode()
    if len(answer.versions()) > 1:
        return False
    version = "".join(answer.versions())
    events = answer.body.split(b"\n\n")[:-1]
    numbers = range(last_event + 1, EVENTS_PER_STREAM + 1)
    expected = [stream_event(n, call.id, version).removesuffix(b"\n\n") for n in numbers]
    return events == (expected if answer.is_complete else expected[: len(events)])
