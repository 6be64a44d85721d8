"""A stand-in engine in a process of its own; `engine.py JSON` with its options.

id, port: its own.  events, interval_s: of each stream.  is_unframed: its answers have neither a
length nor chunks and end with their channel.  crashes_on: the body of the request that crashes it
once it begins to run it.  crashing_part: the part of a prompt that does so.  declines: the body of the plain request that it runs and answers 404,
without a receipt.  work_s: the time that a plain request takes.  slots: runs at once.

It writes one JSON list a line to standard output: [time, what, request id, more].
"""

import asyncio
import json
import os
import signal
import sys
import time

OPTIONS = json.loads(sys.argv[1])
ID = OPTIONS["id"]


def tell(what, request_id, **more):
    print(json.dumps([time.time(), what, request_id, {"engine": ID, **more}]), flush=True)


def event(request_id, number):
    by = f" by {OPTIONS['version']}" if "version" in OPTIONS else ""
    return f"id: {number}\ndata: piece {number} of {request_id}{by}\n\n".encode()


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = {}
    for line in lines[1:]:
        if ": " in line:
            name, value = line.split(": ", 1)
            fields[name.lower()] = value
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return method, target, fields, body


def head_of(status, request_id, *more):
    lines = [f"HTTP/1.1 {status} X", f"X-Cicadapond-Attempt-Id: {request_id}",
             f"X-Cicadapond-Instance-Id: {ID}", *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def receipt(request_id):
    return f"X-Cicadapond-Response-Signature: {ID}.{request_id}"


async def serve(reader, writer):
    try:
        while await serve_one(reader, writer):
            pass
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def serve_one(reader, writer):
    method, target, fields, body = await read_request(reader)
    request_id = fields.get("x-cicadapond-attempt-id", "")
    if fields.get("x-cicadapond-target-instance", ID) != ID:
        writer.write(head_of(421, request_id, "X-Cicadapond-Not-Executed: 1", "Content-Length: 0"))
        return True
    if target == "/report":
        text = json.dumps({"phase": "mixed", "models": [], "busy": False, "sequence": 1,
                           "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000,
                           "handles": 0}).encode()
        writer.write(head_of(200, "", f"Content-Length: {len(text)}") + text)
        return True
    parts = fields.get("x-cicadapond-prefix-hash", "")
    if OPTIONS.get("crashing_part") and OPTIONS["crashing_part"] in parts:
        await asyncio.sleep(0.05)
        tell("crashes", request_id)
        os.kill(os.getpid(), signal.SIGKILL)
    if OPTIONS.get("crashes_on") and body == OPTIONS["crashes_on"].encode():
        await asyncio.sleep(0.03)
        tell("crashes", request_id)
        os.kill(os.getpid(), signal.SIGKILL)
    tell("runs", request_id, method=method, target=target, body=body.decode("latin-1"),
         tenant=fields.get("x-cicadapond-tenant"), after=fields.get("last-event-id"))
    if "x-cicadapond-token-count" in fields:
        return await stream(reader, writer, request_id, int(fields.get("last-event-id", "0")))
    await asyncio.sleep(OPTIONS.get("work_s", 0.0225))
    if OPTIONS.get("declines") and body == OPTIONS["declines"].encode():
        text = b"no such shade"
        writer.write(head_of(404, request_id, f"Content-Length: {len(text)}") + text)
        tell("declines", request_id)
        return True
    text = f"answer of {ID} to {request_id}".encode()
    framing = () if OPTIONS.get("is_unframed") else (f"Content-Length: {len(text)}",)
    writer.write(head_of(200, request_id, receipt(request_id), *framing) + text)
    await writer.drain()
    tell("ends", request_id)
    return bool(framing)


async def stream(reader, writer, request_id, after):
    is_unframed = OPTIONS.get("is_unframed")
    framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
    await asyncio.sleep(0.05)
    writer.write(head_of(200, request_id, receipt(request_id), "Content-Type: text/event-stream",
                         framing))
    left = asyncio.ensure_future(reader.read(1))
    try:
        for number in range(after + 1, OPTIONS.get("events", 40) + 1):
            data = event(request_id, number)
            writer.write(data if is_unframed else f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.wait((left,), timeout=OPTIONS.get("interval_s", 0.1))
            if left.done():
                tell("left", request_id, events=number)
                return False
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        tell("ends", request_id, events=OPTIONS.get("events", 40))
        return not is_unframed
    finally:
        left.cancel()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS["port"], reuse_address=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
