"""Sockets: how long a silent peer is waited for."""

import asyncio
import datetime
import socket
import time

from cicadapond.data import Endpoint
from cicadapond.forwarding._channel import open_channel
from cicadapond.kernel import seconds

# A sound server may send and acknowledge nothing for so long.
SOUND_SILENCE = datetime.timedelta(seconds=2)


def options():
    """Returns the options of a channel's socket, in seconds, by name."""

    async def main():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
        channel = await open_channel(endpoint, seconds(1))
        sock = channel._transport.get_extra_info("socket")
        names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_USER_TIMEOUT")
        found = {name: sock.getsockopt(socket.SOL_TCP, getattr(socket, name)) for name in names}
        found["TCP_USER_TIMEOUT"] /= 1000
        channel.abort()
        server.close()
        return found

    return asyncio.run(main())


def given_up_after(found, silent_from):
    """Returns how long a peer that is silent from a time on, after its last word, is waited for.

    Linux gives up at a probe's time if the last one is unanswered and nothing was received for the
    user timeout, whatever the number of probes.
    """
    probe, unanswered = found["TCP_KEEPIDLE"], False
    while not (unanswered and probe >= found["TCP_USER_TIMEOUT"]):
        if probe < silent_from:
            return None  # the peer answered, and its silence counts from there
        unanswered = True
        probe += found["TCP_KEEPINTVL"]
    return probe - silent_from


def test_a_sound_server_that_is_silent_for_two_seconds_is_not_given_up():
    found = options()
    for silent_from in (0.0, 0.5 * found["TCP_KEEPIDLE"], found["TCP_KEEPIDLE"]):
        assert given_up_after(found, silent_from) >= SOUND_SILENCE.total_seconds()
    assert found["TCP_USER_TIMEOUT"] >= SOUND_SILENCE.total_seconds()


def test_a_connection_made_while_the_event_loop_was_delayed_is_not_given_up():
    """After a delay of 260 ms all servers counted as unreachable and requests were rejected."""

    async def main():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
        opening = asyncio.ensure_future(open_channel(endpoint, seconds(0.05)))
        await asyncio.sleep(0)
        time.sleep(0.1)  # the event loop is delayed
        channel = await opening
        server.close()
        assert channel is not None
        channel.abort()

    asyncio.run(main())
