"""A stand-in engine of a plain service that has room for few requests, in a process of its own.

`busy.py JSON` with its options.  id, port: its own.  work_s: the time that a request takes.
slots: how many run at once.  queue: how many more wait.  brittle: it says in all its answers that it
falls over if it has to turn more than so many requests away within a second, and does so.
retry_after: for how many seconds it wants nothing from a machine that it turns away.

It writes one JSON list a line to standard output: [time, what, request id, more].
"""

import asyncio
import collections
import json
import os
import signal
import sys
import time

import engine

OPTIONS, ID = engine.OPTIONS, engine.ID
RUNNING, WAITING = set(), collections.deque()
TURNED_AWAY = collections.deque()


def statements():
    lines = [f"X-Cicadapond-Server-Load: {len(RUNNING)},{len(WAITING)},{OPTIONS['slots']}"]
    if OPTIONS.get("brittle") is not None:
        lines.append(f"Server-Brittle: {OPTIONS['brittle']}")
    return lines


async def serve(reader, writer):
    try:
        while True:
            await serve_one(reader, writer)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def serve_one(reader, writer):
    method, target, fields, body = await engine.read_request(reader)
    request_id = fields.get("x-cicadapond-attempt-id", "")
    if fields.get("x-cicadapond-target-instance", ID) != ID:
        writer.write(engine.head_of(421, request_id, "X-Cicadapond-Not-Executed: 1",
                                    "Content-Length: 0"))
        return
    if target == "/healthz":
        writer.write(engine.head_of(200, request_id, *statements(), "Content-Length: 0"))
        return
    if len(RUNNING) >= OPTIONS["slots"]:
        if len(WAITING) >= OPTIONS["queue"]:
            turn_away(request_id, writer)
            return
        turn = asyncio.get_running_loop().create_future()
        WAITING.append(turn)
        await turn
    RUNNING.add(request_id)
    engine.tell("runs", request_id, method=method, target=target)
    await asyncio.sleep(OPTIONS["work_s"])
    RUNNING.discard(request_id)
    while WAITING and len(RUNNING) < OPTIONS["slots"]:
        WAITING.popleft().set_result(None)
        await asyncio.sleep(0)
    text = f"answer of {ID} to {request_id}".encode()
    writer.write(engine.head_of(200, request_id, engine.receipt(request_id), *statements(),
                                f"Content-Length: {len(text)}") + text)
    await writer.drain()
    engine.tell("ends", request_id)


def turn_away(request_id, writer):
    now = time.monotonic()
    TURNED_AWAY.append(now)
    while now - TURNED_AWAY[0] > 1.0:
        TURNED_AWAY.popleft()
    engine.tell("turns away", request_id, in_a_second=len(TURNED_AWAY))
    if OPTIONS.get("brittle") is not None and len(TURNED_AWAY) > OPTIONS["brittle"]:
        engine.tell("falls over", request_id)
        os.kill(os.getpid(), signal.SIGKILL)
    pause = [f"Retry-After: {OPTIONS['retry_after']}"] if "retry_after" in OPTIONS else []
    writer.write(engine.head_of(503, request_id, "X-Cicadapond-Not-Executed: 1", *statements(),
                                *pause, "Content-Length: 0"))


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS["port"], reuse_address=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
