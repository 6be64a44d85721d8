"""Callers with keep-alive connections, each of which sends one request at a time."""

import asyncio
import contextlib
import itertools
import random

import attrs

from cicadapond.platform.standin import Answer, Caller, stream_event
from cicadapond.soak._balancer import Balancer
from cicadapond.soak._operator import Operator
from cicadapond.soak._records import STREAM, STREAMS, CallRecord, History
from cicadapond.soak._requests import (
    WEIGHTS,
    Behaviour,
    draw_behaviour,
    draw_left_stream,
    draw_pace,
)

MEAN_REQUEST_GAP_S = 0.08
# A caller waits so much longer than the time that its request allows.
EXTRA_WAIT_S = 3.0
MAX_TAKE_UPS = 5
RESUMING_TRIES, RESUMING_GAP_S = 3, 0.3
RESUMED_STAY_S = 1.5
CRASHING_PART = "bad"


class CallerLoop:
    """A caller that sends one request at a time and reuses its connection while it is open.

    Args:
      name: Prefix of its request ids.
      balancer: Chooses among the processes.
      operator: Tells the keys to choose from, and the routes to probe.
      history: Receives a record of each request.
      rng: Source of all random choices.
      weights: How often it sends each kind of request.
    """

    def __init__(
        self,
        name: str,
        balancer: Balancer,
        operator: Operator,
        history: History,
        rng: random.Random,
        weights: dict[str, float] | None = None,
    ):
        self._name = name
        self._balancer = balancer
        self._operator = operator
        self._history = history
        self._rng = rng
        self._weights = WEIGHTS if weights is None else weights
        self._connection: Caller | None = None
        self._process = 0
        self._streams = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        try:
            for number in itertools.count():
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_REQUEST_GAP_S))
                if self._connection is None and not self._connect():
                    continue
                behaviour = draw_behaviour(
                    self._rng, self._weights, self._operator.probe_prefixes()
                )
                call, answer = await self._exchange(f"{self._name}-{number}", behaviour)
                if call.kind == STREAM:
                    await self._take_up(call, behaviour, answer)
        finally:
            self._disconnect()

    async def _take_up(self, call, behaviour, answer):
        """Continues a stream that broke off on new connections, some times."""
        last, number = 0, 0
        while not answer.is_complete and not call.has_left and number < MAX_TAKE_UPS:
            last = (whole_event_ids(answer) or [last])[-1]
            if not last or not self._connect():
                return
            number += 1
            request_id = f"{call.resumes or call.id}-again-{number}"
            call, answer = await self._exchange(request_id, behaviour, call, last)

    def _connect(self, process=None):
        self._disconnect()
        ready = self._balancer.ready()
        if not ready:
            return False
        self._process = self._rng.choice(ready) if process not in ready else process
        self._connection = Caller(self._balancer.port(self._process), draw_pace(self._rng))
        return True

    def _disconnect(self):
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _exchange(self, request_id, behaviour, broken=None, last_event=0):
        loop = asyncio.get_running_loop()
        call = CallRecord(
            request_id,
            behaviour.kind,
            self._rng.choice(self._operator.caller_keys()) if broken is None else broken.key,
            self._process,
            loop.time(),
            method=behaviour.method,
            target=behaviour.target,
            digest=behaviour.digest(),
            shape=behaviour.shape,
            time_limit=behaviour.time_limit,
            resumes=None if broken is None else broken.resumes or broken.id,
        )
        answer = Answer()
        try:
            async with asyncio.timeout(call.time_limit + EXTRA_WAIT_S):
                await self._converse(call, behaviour, last_event, answer)
        except TimeoutError:
            call.timed_out = True
        except OSError:
            pass  # the record says what came
        call.ended_at = loop.time()
        call.status, call.is_complete = answer.status, answer.is_complete
        call.is_correct = is_expected_answer(call, answer, last_event)
        call.versions = answer.versions() if call.kind in STREAMS else set()
        self._history.calls.append(call)
        is_closed = answer.headers.get("connection", "").lower() == "close"
        if not answer.is_complete or call.sent_whole_at is None or call.has_left or is_closed:
            self._disconnect()
        return call, answer

    async def _converse(self, call, behaviour: Behaviour, last_event, answer):
        connection = self._connection
        try:
            await self._send(call, behaviour, last_event)
            call.sent_whole_at = asyncio.get_running_loop().time()
        except OSError:
            if connection.is_open:  # it may have been refused before its end
                with contextlib.suppress(OSError):
                    await connection.read_response(answer)
            return
        if behaviour.half_closes:
            call.has_left = True
            connection.half_close()
        if behaviour.stay_s is None:
            await connection.read_response(answer)
            return
        try:
            async with asyncio.timeout(behaviour.stay_s):
                await connection.read_response(answer)
        except TimeoutError:
            call.has_left = True
            connection.abort()

    def _part(self, call):
        """Returns the part that crashes engines, or one that other prompts have too."""
        if self._rng.random() < self._history.crashing_share and not call.resumes:
            self._history.crashing_ids.add(call.id)
            return CRASHING_PART
        return f"b{self._streams % 3}"

    async def _send(self, call, behaviour, last_event):
        headers = {
            "authorization": f"Token {call.key}",
            "x_cicadapond_deadline_ms": str(round(1000 * call.time_limit)),
        }
        if call.resumes:
            headers |= {"last_event_id": str(last_event), "resumes": call.resumes}
        if call.kind in STREAMS:
            self._streams += 1
            parts = f"aa:400,{self._part(call)}:300,{self._name}-{self._streams}:30"
            headers["x_cicadapond_prefix_hash"] = parts
            headers["x_cicadapond_token_count"] = f"100,{5 * call.shape.events}"
        await self._connection.send(
            call.id, call.target, method=call.method, body=behaviour.upload, **headers
        )


class ResumingCaller(CallerLoop):
    """A caller that leaves each stream and takes it up again, with some tries at one process.

    Args:
      disturbed: The processes at which it takes up half of its streams, if there are any.
    """

    def __init__(self, *args, disturbed: set[int]):
        super().__init__(*args)
        self._disturbed = disturbed

    async def run(self) -> None:
        """Sends streams until it is cancelled."""
        try:
            for number in itertools.count():
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_REQUEST_GAP_S))
                if not self._connect():
                    continue
                behaviour = draw_left_stream(self._rng)
                call, answer = await self._exchange(f"{self._name}-{number}", behaviour)
                if not answer.is_complete:
                    await self._take_up(call, behaviour, answer)
        finally:
            self._disconnect()

    async def _take_up(self, call, behaviour, answer):
        last = (whole_event_ids(answer) or [0])[-1]
        if last >= behaviour.shape.events:
            return  # an engine would have nothing to add
        disturbed = sorted(self._disturbed & set(self._balancer.ready()))
        process = self._rng.choice(disturbed) if disturbed and self._rng.random() < 0.5 else None
        behaviour = attrs.evolve(behaviour, stay_s=RESUMED_STAY_S)
        for number in range(RESUMING_TRIES):
            if not last or not self._connect(process):
                return
            process = self._process
            request_id = f"{call.resumes or call.id}-again-{number + 1}"
            call, answer = await self._exchange(request_id, behaviour, call, last)
            if answer.status == 200:
                return
            await asyncio.sleep(RESUMING_GAP_S)


def whole_event_ids(answer: Answer) -> list[int]:
    """Returns the ids of the events that came whole, in order."""
    whole = answer.body.rpartition(b"\n\n")[0]
    return attrs.evolve(answer, body=whole).event_ids()


def is_expected_answer(call: CallRecord, answer: Answer, last_event: int = 0) -> bool:
    """Returns whether the body received belongs to the request, in order.

    An answer that ended properly must have the full body; a truncated stream must be a prefix.  A
    continued stream begins after the last event of the one before.
    """
    if answer.status != 200:
        return True
    if call.kind not in STREAMS:
        return not answer.is_complete or answer.body == f"answer to {call.id}".encode()
    if len(answer.versions()) > 1:
        return False
    version, filler = "".join(answer.versions()), call.shape.event_bytes
    events = answer.body.split(b"\n\n")[:-1]
    numbers = range(last_event + 1, call.shape.events + 1)
    expected = [stream_event(n, call.id, version, filler).removesuffix(b"\n\n") for n in numbers]
    return events == (expected if answer.is_complete else expected[: len(events)])
