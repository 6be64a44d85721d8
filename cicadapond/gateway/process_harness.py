"""A real gateway process on loopback, with stand-ins of the platform in the present process."""

import asyncio
import contextlib
import os
import pathlib
import re
import resource
import sys
import tempfile
import typing
import urllib.request

import attrs

from cicadapond.kernel import LoopClock
from cicadapond.platform.standin import Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

READY_TIMEOUT_S = 20.0
POLL_S = 0.1
PEAK = re.compile(r"VmHWM:\s*(\d+) kB")
RESIDENT = re.compile(r"VmRSS:\s*(\d+) kB")


@attrs.define
class GatewayProcess:
    """A running gateway process.

    Attributes:
      fleet: The stand-ins that it uses.
      ports: Its ports: frontend, readiness, metrics and peers.
      process: The process.
      output: The file that has its standard output and error.
    """

    fleet: Fleet
    ports: dict[str, int]
    process: asyncio.subprocess.Process
    output: pathlib.Path

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def peak_mb(self) -> float:
        """Returns the most resident memory that it has had, in megabytes."""
        return self._memory_mb(PEAK)

    def resident_mb(self) -> float:
        """Returns its resident memory in megabytes."""
        return self._memory_mb(RESIDENT)

    def descriptors(self) -> int:
        """Returns how many descriptors it has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _memory_mb(self, pattern):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return int(pattern.search(text).group(1)) * 1024 / 1e6


@contextlib.asynccontextmanager
async def gateway_process(
    fleet: Fleet, descriptors: int | None = None, **limits: int
) -> typing.AsyncIterator[GatewayProcess]:
    """Starts a gateway process before a fleet that has been started, and kills it at the end.

    Args:
      fleet: The stand-ins.
      descriptors: The system's limit on its open descriptors, None for that of this process.
      limits: The limits in its settings: memory_mb, max_fds.
    """
    ports = {name: free_endpoint().port for name in ("frontend", "readiness", "metrics")}
    ports["peers"] = free_port_range(2)
    with tempfile.TemporaryDirectory() as directory:
        path, output = pathlib.Path(directory) / "edge.conf", pathlib.Path(directory) / "output"
        path.write_text(fleet.settings_text(ports, **limits), encoding="utf-8")
        with output.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cicadapond.gateway.main",
                f"--settings={path}",
                f"--metrics_port={ports['metrics']}",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        if descriptors is not None:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await asyncio.to_thread(_is_ready, ports["readiness"]):
                    await asyncio.sleep(POLL_S)
            yield GatewayProcess(fleet, ports, process, output)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def started_fleet(cfg: FleetSettings | None = None) -> typing.AsyncIterator[Fleet]:
    """Starts the stand-ins of a fleet, and stops them at the end."""
    fleet = Fleet(cfg or FleetSettings(), LoopClock())
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def _is_ready(port):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False
