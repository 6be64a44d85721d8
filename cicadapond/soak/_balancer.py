"""A load balancer that picks among the processes that say that they are ready."""

import asyncio

import tornado.httpclient

READY_POLL_S = 0.25
READY_TIMEOUT_S = 0.5
UNREADY_AFTER_MISSES = 2
# Probes beyond these wait for each other, so that suspended processes make others seem unready.
MAX_PROBES = 500


class Balancer:
    """Polls the processes' readiness endpoints.

    A process is out of rotation after `UNREADY_AFTER_MISSES` failed probes in a row.
    """

    def __init__(self):
        # Each process's ports for callers and of readiness, by number.
        self._ports: dict[int, tuple[int, int]] = {}
        self._misses: dict[int, int] = {}

    def add(self, number: int, frontend: int, readiness: int) -> None:
        """Adds a process; it is in rotation once a probe has succeeded."""
        self._ports[number] = (frontend, readiness)
        self._misses[number] = UNREADY_AFTER_MISSES

    def remove(self, number: int) -> None:
        """Takes a process out of rotation for good."""
        self._ports.pop(number, None)
        self._misses.pop(number, None)

    def port(self, number: int) -> int:
        """Returns the port on which a process accepts callers."""
        return self._ports[number][0]

    def ready(self) -> list[int]:
        """Returns the numbers of the processes that may be given new connections."""
        return [number for number, misses in self._misses.items() if misses < UNREADY_AFTER_MISSES]

    async def run(self) -> None:
        """Probes all processes every `READY_POLL_S` until it is cancelled."""
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True, max_clients=MAX_PROBES)
        try:
            while True:
                ports = [(number, readiness) for number, (_, readiness) in self._ports.items()]
                await asyncio.gather(*(self._probe(client, *each) for each in ports))
                await asyncio.sleep(READY_POLL_S)
        finally:
            client.close()

    async def _probe(self, client, number, port):
        url = f"http://127.0.0.1:{port}/readyz"
        try:
            await client.fetch(url, request_timeout=READY_TIMEOUT_S)
            misses = 0
        except (OSError, tornado.httpclient.HTTPError):
            misses = self._misses.get(number, 0) + 1
        if number in self._ports:
            self._misses[number] = misses
