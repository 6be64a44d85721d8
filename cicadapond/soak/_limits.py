"""Limits of a gateway process, as of the machine that its settings describe."""

import asyncio
import contextlib
import os
import pathlib
import random
import resource
import signal
import typing

import attrs

MIN_CPU_SHARE, MAX_CPU_SHARE = 0.2, 1.0
MIN_MEMORY_MB, MAX_MEMORY_MB = 160, 552
MIN_DESCRIPTORS, MAX_DESCRIPTORS = 1024, 4100
# A share of a processor is allotted anew so often.
PERIOD_S = 0.1
POLL_S = 0.01
# Memory that is mapped and not resident, such as stacks; beyond it allocations fail.
UNUSED_MB = 128
_MB = 1024 * 1024
_PAGE = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen
class ProcessLimits:
    """What one process may use.

    Attributes:
      cpu_share: The share of a processor.
      memory_mb: The resident memory, in MB; a process with more is killed.
      descriptors: The number of open descriptors.
    """

    cpu_share: float = 1.0
    memory_mb: int = MAX_MEMORY_MB
    descriptors: int = MAX_DESCRIPTORS

    def settings(self) -> dict[str, int | float]:
        """Returns the settings that tell a process its limits."""
        share, memory, files = self.cpu_share, self.memory_mb, self.descriptors
        return {"cpu_quota": share, "memory_mb": memory, "max_fds": files}


def draw_limits(rng: random.Random) -> ProcessLimits:
    """Returns the limits of a process."""
    return ProcessLimits(
        round(rng.uniform(MIN_CPU_SHARE, MAX_CPU_SHARE), 2),
        # Most machines have the least memory.
        rng.choice((MIN_MEMORY_MB, rng.randint(MIN_MEMORY_MB, MAX_MEMORY_MB))),
        rng.randint(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
    )


class Enforcer:
    """Holds one running process to its limits.

    Args:
      pid: The process's id.
      limits: Its limits.
      is_paused: Whether the process is suspended for another reason, and must not be continued.
      on_excess: Called with the resident memory in MB when there is too much.

    Attributes:
      peak_mb: The highest resident memory, in MB.
      starved_s: How long it has waited for a processor that others used, in seconds.
    """

    def __init__(
        self,
        pid: int,
        limits: ProcessLimits,
        is_paused: typing.Callable[[], bool],
        on_excess: typing.Callable[[float], None],
    ):
        self.peak_mb = 0.0
        self.starved_s = 0.0
        self._pid = pid
        self._limits = limits
        self._is_paused = is_paused
        self._on_excess = on_excess
        self._is_held = False

    async def run(self) -> None:
        """Enforces the limits until the process has ended."""
        loop = asyncio.get_running_loop()
        data, files = (self._limits.memory_mb + UNUSED_MB) * _MB, self._limits.descriptors
        try:
            resource.prlimit(self._pid, resource.RLIMIT_DATA, (data, data))
            resource.prlimit(self._pid, resource.RLIMIT_NOFILE, (files, files))
            while True:
                begin = loop.time()
                used, self.starved_s = _processor_time(self._pid)
                self._check_memory()
                while (now := loop.time()) < begin + PERIOD_S:
                    spent = _processor_time(self._pid)[0] - used
                    if not self._is_held and spent >= self._limits.cpu_share * PERIOD_S:
                        self._is_held = True
                        os.kill(self._pid, signal.SIGSTOP)
                    await asyncio.sleep(min(POLL_S, begin + PERIOD_S - now))
                self.release()
        except (ProcessLookupError, FileNotFoundError):
            pass  # it has ended

    def release(self) -> None:
        """Continues the process, unless it is suspended for another reason."""
        if self._is_held and not self._is_paused():
            os.kill(self._pid, signal.SIGCONT)
        self._is_held = False

    def _check_memory(self):
        text = pathlib.Path(f"/proc/{self._pid}/statm").read_text(encoding="ascii")
        resident_mb = int(text.split()[1]) * _PAGE / _MB
        self.peak_mb = max(self.peak_mb, resident_mb)
        if resident_mb > self._limits.memory_mb:
            self._on_excess(resident_mb)


def _processor_time(pid):
    """Returns the time on a processor, and that of waiting for one, of a process in seconds."""
    spent, waited = 0, 0
    for path in pathlib.Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):  # the thread has ended
            fields = (path / "schedstat").read_text(encoding="ascii").split()
            spent, waited = spent + int(fields[0]), waited + int(fields[1])
    return spent / 1e9, waited / 1e9
