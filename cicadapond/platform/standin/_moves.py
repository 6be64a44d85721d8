"""The memory of a stand-in engine: runs that are stopped, copies, and moves to other engines."""

import asyncio
import enum
import json

import attrs

BUSY, NO_RUN, NO_ROOM = 409, 404, 503
MOVE_PATH, HANDLE_PATH = "/kv-move", "/kv-handle/"


class MoveFault(enum.Enum):
    """A fault that is injected into one call that moves a run."""

    NO_ROOM = "the destination has no room; the run has been stopped"
    DECLINED = "the call is declined and the run goes on"
    BUSY = "another call for the run is said to be in progress; the run goes on"
    LOST_CALL = "the call has no effect and no answer comes"
    LOST_ANSWER = "the run is moved and no answer comes"
    SLOW = "the transfer takes ten times as long"
    DIES = "the engine dies while it copies"
    COPY_LOST = "the copy is gone when it is used"
    FOREIGN = "the answer is about another run with the same id"


SLOW_FACTOR = 10
# An engine must not work on a request any more this long after another one began it.
MAX_OVERLAP_S = 0.4


@attrs.define(eq=False)
class Run:
    """A request that an engine runs.

    Attributes:
      id: The request.
      events: How many events it has made.
      is_stopped: Whether it was stopped to be moved.
      is_moving: Whether it is being moved.
      is_left: Whether it ended as its connection was closed.
    """

    id: str
    events: int = 0
    is_stopped: bool = False
    is_moving: bool = False
    is_left: bool = False


@attrs.define
class EngineMemory:
    """The memory of one engine.

    Attributes:
      peers: All engines' memories by address, shared by them.
      transfer_s: How long a transfer takes, in seconds; moves from one engine wait for each other.
      faults: Faults to inject, one per call in order.
      runs: What it runs, by request.
      copies: The copies that it holds, by handle: the request's id and the events made.
      moves: The ids of the requests whose runs it moved away.
      freed: The handles that were freed.
      double_runs: When it began a request on which another engine worked for too long after, by
        the event loop's clock in seconds, and the request.
    """

    name: str
    peers: dict[str, "EngineMemory"] = attrs.field(factory=dict)
    transfer_s: float = 0.005
    faults: list[MoveFault] = attrs.field(factory=list)
    runs: dict[str, Run] = attrs.field(factory=dict)
    copies: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    moves: list[str] = attrs.field(factory=list)
    freed: list[str] = attrs.field(factory=list)
    double_runs: list[tuple[float, str]] = attrs.field(factory=list)
    has_room: bool = True
    link: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def begin(self, request_id: str) -> Run:
        """Records that a run begins."""
        self.runs[request_id] = run = Run(request_id)
        others = [
            (peer, peer.runs[request_id])
            for peer in {id(peer): peer for peer in self.peers.values()}.values()
            if peer is not self and request_id in peer.runs
        ]
        if others:
            loop = asyncio.get_running_loop()
            loop.call_later(MAX_OVERLAP_S, self._check_overlap, loop.time(), run, others)
        return run

    def _check_overlap(self, began_at, run, others):
        if run.is_left:  # its request came late, after its connection had been given up
            return
        if any(peer.runs.get(run.id) is other and not other.is_stopped for peer, other in others):
            self.double_runs.append((began_at, run.id))

    def end(self, run: Run) -> None:
        """Records that a run has ended."""
        if self.runs.get(run.id) is run:
            del self.runs[run.id]

    def use_copy(self, value: str, request_id: str) -> bool:
        """Returns whether the copy that a header names is here and of the request; uses it up."""
        handle = value.partition("/")[2]
        if self.copies.get(handle, ("", 0))[0] != request_id:
            return False
        for memory in (self, *self.peers.values()):
            memory.copies.pop(handle, None)
        return True

    def free(self, handle: str) -> None:
        """Frees a copy at both ends."""
        self.freed.append(handle)
        for memory in (self, *self.peers.values()):
            memory.copies.pop(handle, None)

    async def move(self, raw: bytes, crash) -> tuple[int, dict] | None:
        """Handles a call that moves a run; returns status and answer, None to answer nothing."""
        call = json.loads(raw)
        fault = self.faults.pop(0) if self.faults else None
        run = self.runs.get(call["id"])
        if fault is MoveFault.LOST_CALL:
            return None
        if fault is MoveFault.BUSY or (run is not None and run.is_moving):
            return BUSY, {}
        handle = self._kept(call["id"])
        if run is None and handle is None:
            return NO_RUN, {}
        if fault is MoveFault.DECLINED:
            return NO_ROOM, {}
        if run is not None:
            handle = f"{self.name}-{call['id']}-{len(self.moves)}"
            run.is_stopped = run.is_moving = call["last"]
            self.moves.append(run.id)
            self.copies[handle] = (run.id, run.events)
        return await self._copy(call, handle, fault, crash)

    async def _copy(self, call, handle, fault, crash):
        async with self.link:
            factor = SLOW_FACTOR if fault is MoveFault.SLOW else 1
            await asyncio.sleep(factor * self.transfer_s)
        if fault is MoveFault.DIES:
            await crash(by_prompt=False)
            return None
        destination = self.peers.get(call["to"])
        if destination is None or not destination.has_room or fault is MoveFault.NO_ROOM:
            return NO_ROOM, {"handle": handle}
        if handle not in self.copies:
            return NO_ROOM, {}  # freed meanwhile
        destination.copies[handle] = self.copies[handle]
        created = self.copies[handle][1]
        if fault is MoveFault.COPY_LOST:
            del destination.copies[handle]
        if fault is MoveFault.FOREIGN:
            created = 0
        if fault is MoveFault.LOST_ANSWER:
            return None
        return 200, {"handle": handle, "created": created}

    def _kept(self, request_id):
        return next((key for key, copy in self.copies.items() if copy[0] == request_id), None)
