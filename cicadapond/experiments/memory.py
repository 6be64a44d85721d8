"""Resident memory of a gateway process while many answers without end come at once.

The process is a real one on loopback; its stand-ins, the faulty server and the callers run here.
"""

import asyncio

from cicadapond.experiments._table import Experiment, Table, experiments
from cicadapond.gateway.process_harness import gateway_process, started_fleet
from cicadapond.platform.standin import Caller, EndlessAnswer

MACHINE_MEMORY_MB = 160
ENDLESS_COUNT = 50
SOUND_COUNT = 40
TRIAL_TIMEOUT_S = 60.0
# Answers of a plain service, and streams.
PLAIN_KINDS = (
    EndlessAnswer.LENGTH,
    EndlessAnswer.CHUNKS,
    EndlessAnswer.UNFRAMED,
    EndlessAnswer.ERROR,
)
STREAM_KINDS = (EndlessAnswer.EVENT, EndlessAnswer.COMMENTS, EndlessAnswer.EVENTS)


async def _run(kind, is_stream):
    async with started_fleet() as fleet:
        faulty = await asyncio.start_server(kind.serve, "127.0.0.1", 0, backlog=1024)
        prefix, service = ("e", "pool") if is_stream else ("s", "plain")
        for number in range(2):
            fleet.relay(f"{prefix}-{number}", faulty.sockets[0].getsockname()[1])
            fleet.list_server(f"{prefix}-{number}", service)
        try:
            async with gateway_process(fleet, memory_mb=MACHINE_MEMORY_MB) as process:
                return await _ask(process, is_stream)
        finally:
            faulty.close()


async def _ask(process, is_stream):
    port, idle = process.ports["frontend"], process.resident_mb()

    async def stream(number):
        caller = Caller(port)
        await caller.stream(f"stream-{number}")
        return await caller.read_response()

    async def plain(number):
        return await Caller(port).exchange(f"plain-{number}", "/post/x")

    ill, sound = (stream, plain) if is_stream else (plain, stream)
    async with asyncio.timeout(TRIAL_TIMEOUT_S):
        answers = await asyncio.gather(
            *(ill(number) for number in range(ENDLESS_COUNT)),
            *(sound(number) for number in range(SOUND_COUNT)),
        )
    served = sum(each.status == 200 and each.is_complete for each in answers[ENDLESS_COUNT:])
    return idle, process.peak_mb(), f"{served} of {SOUND_COUNT}"


@experiments.register("memory")
class Memory(Experiment):
    """Measures the memory that answers without end take."""

    summary = "peak resident memory of a process during 50 answers without end at once"

    def run(self, seeds):
        rows = []
        for kinds, is_stream in ((PLAIN_KINDS, False), (STREAM_KINDS, True)):
            for kind in kinds:
                rows.append((kind.value, *asyncio.run(_run(kind, is_stream))))
        columns = ("answers", "idle, MB", "peak, MB", "sound requests served")
        title = f"Resident memory with {ENDLESS_COUNT} answers without end at once"
        return (Table(title, columns, tuple(rows)),)
