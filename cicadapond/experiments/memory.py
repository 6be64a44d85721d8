"""Resident memory of a gateway process while many answers without end come at once.

The process is a real one on loopback; its stand-ins, the faulty server and the callers run here.
"""

import asyncio
import pathlib
import re
import sys
import tempfile
import urllib.request

from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.kernel import LoopClock
from cicadapond.platform.standin import Caller, EndlessAnswer, Fleet, FleetSettings
from cicadapond.standin._ports import free_endpoint, free_port_range

MACHINE_MEMORY_MB = 160
ENDLESS_COUNT = 50
SOUND_COUNT = 40
READY_TIMEOUT_S = 20.0
TRIAL_TIMEOUT_S = 60.0
# Answers of a plain service, and streams.
PLAIN_KINDS = (
    EndlessAnswer.LENGTH,
    EndlessAnswer.CHUNKS,
    EndlessAnswer.UNFRAMED,
    EndlessAnswer.ERROR,
)
STREAM_KINDS = (EndlessAnswer.EVENT, EndlessAnswer.COMMENTS, EndlessAnswer.EVENTS)
PEAK = re.compile(r"VmHWM:\s*(\d+) kB")
RESIDENT = re.compile(r"VmRSS:\s*(\d+) kB")


def _is_ready(port):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


def _memory_mb(process, pattern):
    """Returns what the system tells of a running process's memory in megabytes."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    return int(pattern.search(text).group(1)) * 1024 / 1e6


async def _run(kind, is_stream, directory):
    fleet = Fleet(FleetSettings(), LoopClock())
    await fleet.start()
    faulty = await asyncio.start_server(kind.serve, "127.0.0.1", 0, backlog=1024)
    prefix, service = ("e", "pool") if is_stream else ("s", "plain")
    for number in range(2):
        fleet.relay(f"{prefix}-{number}", faulty.sockets[0].getsockname()[1])
        fleet.list_server(f"{prefix}-{number}", service)
    ports = {each: free_endpoint().port for each in ("frontend", "readiness")}
    ports["peers"] = free_port_range(2)
    path = pathlib.Path(directory) / "edge.conf"
    path.write_text(fleet.settings_text(ports) + f"limits.memory_mb={MACHINE_MEMORY_MB}\n")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cicadapond.gateway.main",
        f"--settings={path}",
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await asyncio.to_thread(_is_ready, ports["readiness"]):
                await asyncio.sleep(0.1)
        idle = _memory_mb(process, RESIDENT)

        async def stream(number):
            caller = Caller(ports["frontend"])
            await caller.stream(f"stream-{number}")
            return await caller.read_response()

        async def plain(number):
            return await Caller(ports["frontend"]).exchange(f"plain-{number}", "/post/x")

        ill, sound = (stream, plain) if is_stream else (plain, stream)
        async with asyncio.timeout(TRIAL_TIMEOUT_S):
            answers = await asyncio.gather(
                *(ill(number) for number in range(ENDLESS_COUNT)),
                *(sound(number) for number in range(SOUND_COUNT)),
            )
        served = sum(each.status == 200 and each.is_complete for each in answers[ENDLESS_COUNT:])
        return idle, _memory_mb(process, PEAK), f"{served} of {SOUND_COUNT}"
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        faulty.close()
        await fleet.stop()


@experiments.register("memory")
class Memory(Experiment):
    """Measures the memory that answers without end take."""

    summary = "peak resident memory of a process during 50 answers without end at once"

    def run(self, seeds):
        rows = []
        for kinds, is_stream in ((PLAIN_KINDS, False), (STREAM_KINDS, True)):
            for kind in kinds:
                with tempfile.TemporaryDirectory() as directory:
                    rows.append((kind.value, *asyncio.run(_run(kind, is_stream, directory))))
        columns = ("answers", "idle, MB", "peak, MB", "sound requests served")
        title = f"Resident memory with {ENDLESS_COUNT} answers without end at once"
        return (Table(title, columns, tuple(rows)),)
