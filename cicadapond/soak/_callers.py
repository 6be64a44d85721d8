"""Callers that keep their connections, and a balancer that sends new ones to ready processes."""

import asyncio
import itertools
import random

import tornado.httpclient

from cicadapond.platform.standin import Answer, Caller
from cicadapond.soak._records import LOOKUP, PLAIN, STREAM, CallRecord, History

EVENTS = 4
PATHS = {PLAIN: "/post/x", LOOKUP: "/peek/x"}
WEIGHTS = {PLAIN: 0.4, LOOKUP: 0.3, STREAM: 0.3}
MEAN_GAP_S = 0.08
PATIENCE_S = 4.0
READY_POLL_S = 0.25
READY_TIMEOUT_S = 0.5
MISSES = 2


class Balancer:
    """Knows which processes say that they are ready.

    Args:
      readiness: The readiness port of each process.
    """

    def __init__(self, readiness: list[int]):
        self._readiness = readiness
        self._misses = [MISSES] * len(readiness)

    def ready(self) -> list[int]:
        """Returns the processes that get new connections."""
        return [number for number, misses in enumerate(self._misses) if misses < MISSES]

    async def run(self) -> None:
        """Asks all processes again and again."""
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        while True:
            await asyncio.gather(*(self._ask(client, n) for n in range(len(self._readiness))))
            await asyncio.sleep(READY_POLL_S)

    async def _ask(self, client, number):
        url = f"http://127.0.0.1:{self._readiness[number]}/readyz"
        try:
            await client.fetch(url, request_timeout=READY_TIMEOUT_S)
            self._misses[number] = 0
        except (OSError, tornado.httpclient.HTTPError):
            self._misses[number] += 1


class CallerLoop:
    """One caller: a request after the other, on one connection for as long as it lasts.

    Args:
      name: Begins the ids of its requests.
      ports: Where each process accepts callers.
      balancer: Chooses among the processes.
      keys: Returns the keys to choose from.
      history: Takes what happened.
      rng: Decides everything random.
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

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        for number in itertools.count():
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_GAP_S))
            if self._connection is None and not self._connect():
                continue
            await self._exchange(f"{self._name}-{number}")

    def _connect(self):
        ready = self._balancer.ready()
        if not ready:
            return False
        self._process = self._rng.choice(ready)
        self._connection = Caller(self._ports[self._process])
        return True

    async def _exchange(self, request_id):
        (kind,) = self._rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        key = self._rng.choice(self._keys())
        loop = asyncio.get_running_loop()
        call = CallRecord(request_id, kind, key, self._process, loop.time())
        answer = Answer()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self._send(call)
                answer = await self._connection.answer()
        except TimeoutError:
            call.gave_up = True
            self._connection.leave()
        except (ConnectionError, OSError):
            pass  # the record says that nothing came
        call.ended_at = loop.time()
        call.status, call.is_whole = answer.status, answer.is_whole
        call.is_own = is_own(call, answer)
        self._history.calls.append(call)
        if not answer.is_whole or answer.headers.get("connection", "").lower() == "close":
            self._connection = None

    async def _send(self, call):
        token = f"Token {call.key}"
        if call.kind == STREAM:
            await self._connection.stream(call.id, authorization=token)
        else:
            method = "POST" if call.kind == PLAIN else "GET"
            path = PATHS[call.kind]
            await self._connection.send(call.id, path, method=method, authorization=token)


def is_own(call: CallRecord, answer: Answer) -> bool:
    """Returns whether all that came belongs to the request, in order, and is complete if whole."""
    if answer.status != 200:
        return True
    if call.kind != STREAM:
        return not answer.is_whole or answer.body == f"answer to {call.id}".encode()
    events = answer.body.decode().split("\n\n")[:-1]
    due = [f"id: {n}\ndata: piece {n} of {call.id}" for n in range(1, EVENTS + 1)]
    return events == (due if answer.is_whole else due[: len(events)])
