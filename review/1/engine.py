"""A model engine in a process of its own, which may get into trouble.

Sound, it answers each request with four events.  In trouble, the body of its answer goes on without
end until the caller closes: small chunks that never complete an event.

Usage: engine.py PORT SWITCH; it is in trouble while the file SWITCH exists.
"""

import asyncio
import os
import sys

CHUNK = b"10\r\n" + b"data: and so on " + b"\r\n"  # 16 bytes
CHUNKS_PER_WRITE = 64


async def _serve(reader, writer):
    try:
        while await _serve_one(reader, writer):
            pass
    except (ConnectionError, asyncio.IncompleteReadError):
        pass  # the caller has closed the connection
    finally:
        writer.close()


async def _serve_one(reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:] if line]
    fields = {name.lower(): value.strip() for name, _, value in lines}
    await reader.readexactly(int(fields.get(b"content-length", b"0")))
    request_id = fields.get(b"x-cicadapond-attempt-id", b"")
    print(f"run: {request_id.decode()}", flush=True)
    writer.write(
        b"HTTP/1.1 200 OK\r\nx-cicadapond-attempt-id: " + request_id + b"\r\n"
        b"x-cicadapond-response-signature: s-" + request_id + b"\r\n"
        b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    while os.path.exists(sys.argv[2]):
        writer.write(CHUNK * CHUNKS_PER_WRITE)
        await writer.drain()
        await asyncio.sleep(0)
    for number in range(1, 5):
        event = b"event: v1\nid: %d\ndata: piece %d of %s\n\n" % (number, number, request_id)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def _main():
    server = await asyncio.start_server(_serve, "127.0.0.1", int(sys.argv[1]))
    async with server:
        await server.serve_forever()


asyncio.run(_main())
