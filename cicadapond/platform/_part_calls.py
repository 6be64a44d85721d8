"""Calls that ask engines which prompt parts they keep, in the platform's protocol."""

import datetime
import json

from cicadapond.data import Endpoint
from cicadapond.forwarding import HttpClient, NoConnection, ReplyLost
from cicadapond.kernel import Clock, Metrics, ProcessorShare
from cicadapond.memory import MemoryBudget
from cicadapond.residency import (
    CallsExceeded,
    NoAnswer,
    PartCalls,
    PartChange,
    PartEvents,
    PartList,
)

EVENTS_PATH = "/kv-events"
LIST_PATH = "/kv-list"
TARGET = b"x-cicadapond-target-instance"
WAIT = b"wait-ms"
OK, TOO_MANY_CALLS = 200, 429
# The longest wait that the platform accepts.
MAX_WAIT = datetime.timedelta(milliseconds=1000)
# The answer to a call that waits arrives this long after its wait at the latest.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=1500)
KEPT, EVICTED = "+", "-"


class PlatformPartCalls(PartCalls):
    """The engines of the platform, accessed over HTTP.

    Args:
      clock: The clock.
      metrics: Receives the counts of connections.
      memory: Counts the bytes of answers; the default has no bound.
      processor: Gives turns to costly answers.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        memory: MemoryBudget | None = None,
        processor: ProcessorShare | None = None,
    ):
        self._clock = clock
        self._metrics = metrics
        self._memory = memory
        self._processor = processor
        self._clients: dict[Endpoint, HttpClient] = {}

    async def events(self, server, since, wait):
        wait = min(wait, MAX_WAIT)
        waits = (WAIT, b"%d" % (wait // datetime.timedelta(milliseconds=1)))
        target = f"{EVENTS_PATH}?since={since}"
        return await self._call(server, target, (waits,), wait + ANSWER_TIMEOUT, read_events)

    async def list(self, server):
        return await self._call(server, LIST_PATH, (), ANSWER_TIMEOUT, read_list)

    def drop_server(self, server):
        client = self._clients.pop(server.endpoint, None)
        if client is not None:
            client.close()

    async def _call(self, server, target, headers, timeout, read):
        client = self._clients.get(server.endpoint)
        if client is None:
            # Engines without changes answer alike; changes that are read twice do no harm.
            client = HttpClient(
                server.endpoint,
                self._clock,
                self._metrics,
                answers_repeat=True,
                memory=self._memory,
                processor=self._processor,
            )
            self._clients[server.endpoint] = client
        headers = ((TARGET, server.name.encode()), *headers)
        reply = await client.call("GET", target, headers, b"", timeout)
        match reply:
            case NoConnection():
                return NoAnswer("no connection to the engine")
            case ReplyLost(reason=reason):
                return NoAnswer(reason)
        if reply.status == TOO_MANY_CALLS:
            return CallsExceeded()
        if reply.status != OK:
            return NoAnswer(f"the engine answered {reply.status}")
        try:
            return read(json.loads(reply.body))
        except (AttributeError, KeyError, RecursionError, TypeError, ValueError) as exc:
            self.drop_server(server)  # the next answer on it could be a late one too
            return NoAnswer(f"the engine's answer is unreadable: {exc!r}")


def read_events(answer: dict) -> PartEvents:
    """Decodes an answer with events; raises AttributeError, KeyError, TypeError or ValueError."""
    changes = []
    for _, sign, _, part, tokens, *_ in answer["events"]:
        if sign not in (KEPT, EVICTED):
            raise ValueError(f"unknown kind of event {sign!r}")
        changes.append(PartChange(str(part), max(0, int(tokens))))
    return PartEvents(
        str(answer["epoch"]), int(answer["next"]), bool(answer.get("lost")), tuple(changes)
    )


def read_list(answer: dict) -> PartList:
    """Decodes a list of parts; raises AttributeError, KeyError, TypeError or ValueError."""
    parts = {str(part): max(0, int(tokens)) for _, part, tokens, *_ in answer["held"]}
    return PartList(str(answer["epoch"]), int(answer["next"]), parts)
