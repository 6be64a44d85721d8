"""The prompt parts that a stand-in engine keeps, the calls that ask for them, and fetches."""

import asyncio
import collections
import enum
import json

import attrs

EVENTS_PATH, LIST_PATH = "/kv-events", "/kv-list"
MAX_WAIT_S = 1.0
# A call that waits less than this is priced as a probe.
MIN_UNPRICED_WAIT_S = 0.2


class EventFault(enum.Enum):
    """A fault that is injected into one call that asks for events or a list."""

    LOST = "events are said to be missing"
    RESET = "the connection is reset"
    UNREADABLE = "the answer is not JSON"
    SILENT = "no answer comes"


@attrs.define(eq=False)
class EngineParts:
    """What one engine keeps of prompts.

    Attributes:
      capacity: How many tokens it keeps.
      history: How many events it remembers.
      most: How many calls it keeps waiting; more are answered with 429.
      fetch_s: How long a fetch takes, in seconds; fetches from one engine wait for each other.
      peers: All engines' parts by address, shared by them.
      epoch: Identifies its run.
      faults: Faults to inject, one per call in order.
      dropped: How many of its next events never arrive.
      calls: The calls that it answered: events, list, refused or probe.
      fetched: The fetches that it did: the address, and the tokens that it got.
      prefilled: The tokens that it prefilled, by part.
    """

    capacity: int = 100_000
    history: int = 256
    most: int = 8
    fetch_s: float = 0.002
    peers: dict[str, "EngineParts"] = attrs.field(factory=dict)
    epoch: int = 1
    faults: list[EventFault] = attrs.field(factory=list)
    dropped: int = 0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    fetched: list[tuple[str, int]] = attrs.field(factory=list)
    prefilled: collections.Counter = attrs.field(factory=collections.Counter)
    kept: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    waiting: int = 0
    next: int = 1
    link: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _events: collections.deque = attrs.field(factory=collections.deque)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def restart(self) -> None:
        """Empties the memory, as a restart of the engine does."""
        self.kept.clear()
        self._events.clear()
        self.epoch += 1
        self.next = 1

    async def prefill(self, fields: dict[str, str]) -> None:
        """Prefills the prompt of a request, after the fetch that it asks for."""
        parts = _parts(fields)
        if "kv-fetch" in fields:
            await self._fetch(fields["kv-fetch"], parts)
        for name, tokens in parts:
            if self.kept.get(name, 0) < tokens:
                self.prefilled[name] += tokens - self.kept.get(name, 0)
            self._keep(name, tokens)

    async def _fetch(self, address, parts):
        source = self.peers.get(address)
        if source is None:
            self.fetched.append((address, 0))  # it has gone
            return
        async with source.link:
            await asyncio.sleep(self.fetch_s)
        tokens = 0
        for name, size in parts:
            found = min(size, source.kept.get(name, 0))
            if found > self.kept.get(name, 0):
                tokens += found - self.kept.get(name, 0)
                self._keep(name, found)
            if found < size:
                break
        self.fetched.append((address, tokens))

    def _keep(self, name, tokens):
        if self.kept.get(name, 0) < tokens:
            self.kept[name] = tokens
            self._record("+", name, tokens)
        self.kept.move_to_end(name)
        while sum(self.kept.values()) > self.capacity and len(self.kept) > 1:
            evicted, _ = self.kept.popitem(last=False)
            self._record("-", evicted, 0)

    def _record(self, sign, name, tokens):
        if self.dropped:
            self.dropped -= 1
        else:
            self._events.append([self.next, sign, "", name, tokens, "m"])
        self.next += 1
        while len(self._events) > self.history:
            self._events.popleft()
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, target: str, fields: dict[str, str]) -> tuple[int, bytes] | None:
        """Answers a call; returns status and body, None to reset the connection."""
        fault = self.faults.pop(0) if self.faults else None
        if fault is EventFault.RESET:
            return None
        if fault is EventFault.SILENT:
            await asyncio.sleep(3600)
        if fault is EventFault.UNREADABLE:
            return 200, b"{"
        if target.startswith(LIST_PATH):
            self.calls["list"] += 1
            held = [["", name, tokens, "m"] for name, tokens in self.kept.items()]
            return 200, json.dumps({"epoch": self.epoch, "next": self.next, "held": held}).encode()
        if self.waiting >= self.most:
            self.calls["refused"] += 1
            return 429, b""
        since = int(target.partition("since=")[2] or 0)
        wait_s = min(MAX_WAIT_S, int(fields.get("wait-ms", "0")) / 1000)
        self.calls["events" if wait_s >= MIN_UNPRICED_WAIT_S else "probe"] += 1
        await self._wait(since, wait_s)
        events = [event for event in self._events if event[0] >= since]
        is_lost = fault is EventFault.LOST or self._is_lost(since)
        answer = {"epoch": self.epoch, "next": self.next, "lost": is_lost, "events": events}
        return 200, json.dumps(answer).encode()

    async def _wait(self, since, wait_s):
        if since < self.next or wait_s <= 0.0:
            return
        self.waiting += 1
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass  # nothing has changed
        finally:
            self.waiting -= 1

    def _is_lost(self, since):
        """Returns whether events from a number on are no longer remembered, or never were."""
        first = self._events[0][0] if self._events else self.next
        return since > self.next or first > max(1, since)


def _parts(fields):
    entries = fields.get("x-cicadapond-prefix-hash", "").split(",")
    pairs = (entry.strip().rpartition(":") for entry in entries)
    return [(name, int(tokens)) for name, _, tokens in pairs if name and tokens.isdigit()]
