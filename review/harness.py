"""Starts a small deployment for the cases: gateway processes before the project's stand-ins.

The store, the cloud and the backend servers run in the process of the case.  The gateways run as
processes of their own, with the command of deploy/system.toml.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import tomllib

from cicadapond.kernel import BootClock
from cicadapond.platform.standin import Caller, Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PEER_PORTS = 4
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0
READY_LIMIT_S = 0.8
# As on the platform: one probe a second, and two misses take a machine out of rotation.
PROBE_INTERVAL_S = 1.0
MISSES = 2
RESTART_DELAY_S = 0.5


def has_trouble() -> bool:
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, one line each with the time."""

    def __init__(self, directory: pathlib.Path):
        self._file = open(directory / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._begun = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._begun

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


class Gateway:
    """One machine's gateway process."""

    def __init__(self, number: int, deployment: "Deployment"):
        self.name = f"edge-{number}"
        self.number = number
        self.ports = {name: free_endpoint().port for name in ("frontend", "readiness", "metrics")}
        self.ports["peers"] = free_port_range(PEER_PORTS)
        self.misses = MISSES
        self.settings = deployment.directory / f"{self.name}.conf"
        self.log = deployment.directory / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def is_ready(self) -> bool:
        """Returns whether the platform gives it new connections."""
        return self.misses < MISSES

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        _, *arguments = deploy["roles"]["gateway"]["run"].split()
        # The machines of a case share one address, so each has a metrics port of its own.
        arguments = [each for each in arguments if not each.startswith("--metrics_port")]
        arguments.append(f"--metrics_port={self.ports['metrics']}")
        env = {
            "PATH": os.environ["PATH"],
            "HOME": tempfile.gettempdir(),
            "CICADAPOND_CONFIG": str(self.settings),
            "PYTHONPATH": "target/deps",
        }
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def probe(self) -> bool:
        """Asks once whether it is ready, as the platform does."""
        writer = None
        try:
            async with asyncio.timeout(READY_LIMIT_S):
                reader, writer = await asyncio.open_connection(HOST, self.ports["readiness"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            line = b""
        finally:
            if writer is not None:
                writer.close()
        is_ready = line.startswith(b"HTTP/1.1 200")
        self.misses = 0 if is_ready else self.misses + 1
        return is_ready


class Deployment:
    """Gateways, and the stand-ins of everything that they talk to."""

    def __init__(self, record: Record, machines: int, settings: FleetSettings):
        self.record = record
        self._directory = tempfile.TemporaryDirectory(prefix="cicadapond-review-")
        self.directory = pathlib.Path(self._directory.name)
        self.fleet = Fleet(settings, BootClock())
        self.gateways = [Gateway(number, self) for number in range(machines)]
        self.tasks: list[asyncio.Task] = []
        self._turn = 0

    async def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        await self.fleet.start()
        for gateway in self.gateways:
            gateway.settings.write_text(self.settings_text(gateway), encoding="utf-8")
            await gateway.start()
        async with asyncio.timeout(START_LIMIT_S):
            for gateway in self.gateways:
                while not await gateway.probe():
                    await asyncio.sleep(0.1)
        self.record.write(f"{len(self.gateways)} gateways are ready")
        self.tasks.append(asyncio.ensure_future(self._balance()))

    def settings_text(self, gateway: Gateway) -> str:
        """Returns the settings file of a gateway."""
        return self.fleet.settings_text(gateway.ports, gateway.name, gateway.number)

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.kill()
        await self.fleet.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        self._directory.cleanup()

    def choose(self) -> Gateway:
        """Returns the machine that gets the next connection, as the platform chooses it.

        One after the other of those in rotation; all of them if fewer than half are.
        """
        ready = [gateway for gateway in self.gateways if gateway.is_ready]
        if 2 * len(ready) < len(self.gateways):
            ready = self.gateways
        self._turn += 1
        return ready[self._turn % len(ready)]

    async def _balance(self):
        while True:
            before = [gateway.is_ready for gateway in self.gateways]
            await asyncio.gather(*(gateway.probe() for gateway in self.gateways))
            for gateway, was_ready in zip(self.gateways, before, strict=True):
                if gateway.is_ready != was_ready:
                    self.record.write(f"{gateway.name} ready: {gateway.is_ready}")
            await asyncio.sleep(PROBE_INTERVAL_S)

    def record_runs(self) -> None:
        """Writes to the record which server began to run which request."""
        for server in self.fleet.servers.values():
            for request in server.model.executed_requests:
                self.record.write(f"run: {request[0]} by {server.model.name}")


async def exchange(deployment: Deployment, request_id: str, path: str, limit_s: float, **headers):
    """Sends a request on a new connection and waits for its answer.

    Returns:
      The gateway, the answer, None if there was none within the limit, and the time it took.
    """
    gateway = deployment.choose()
    caller = Caller(gateway.ports["frontend"])
    begun = time.monotonic()
    answer = None
    deployment.record.write(f"sent: {request_id} {path} to {gateway.name}")
    try:
        async with asyncio.timeout(limit_s):
            # No two requests have the same body.
            await caller.send(request_id, path, body=f"body of {request_id}".encode(), **headers)
            answer = await caller.read_response()
    except (OSError, TimeoutError):
        pass  # recorded as no answer
    took = time.monotonic() - begun
    if answer is not None and answer.status is None:
        answer = None
    shown = "no answer" if answer is None else f"{answer.status}, complete: {answer.is_complete}"
    deployment.record.write(f"answered: {request_id} {shown}, after {took:.3f} s")
    if caller._writer is not None:
        caller.abort()
    return gateway, answer, took


async def _run(case, record):
    """Runs a case; SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await case(record)


def main(case, directory: pathlib.Path) -> None:
    """Runs a case and exits with its result.

    Args:
      case: A coroutine function of the record; returns whether the rule was broken.
      directory: The folder of the case.
    """
    record = Record(directory)
    try:
        is_broken = asyncio.run(_run(case, record))
    except (Exception, asyncio.CancelledError) as exc:
        record.write(f"the case could not run: {exc!r}")
        print(f"the case could not run: {exc!r}")
        sys.exit(NOT_RUN)
    result = "the rule was broken" if is_broken else "the rule held"
    record.write(result)
    print(result)
    sys.exit(BROKEN if is_broken else HELD)
