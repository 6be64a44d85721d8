"""A gateway process of a soak."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import typing

import cicadapond
from cicadapond.peer.partition import Direction
from cicadapond.soak._limits import Enforcer, ProcessLimits
from cicadapond.soak._records import History, MemoryExcess
from cicadapond.standin._ports import free_endpoint, free_port_range

PROGRAM = pathlib.Path(cicadapond.__file__).with_name("launch.py")
PROGRAM_NAME = "gateway.partitioned"
PEER_PORTS = 2
# The platform's time from SIGTERM to SIGKILL, and some more for the process to exit.
GRACE_S = 9.0
# A process that has waited so long for processors that others used may end late.
MAX_STARVED_S = 1.0


class GatewayProcess:
    """A gateway process, with signals and exit checks; it can be started again after it exited.

    Args:
      number: Its number, new for each process.
      directory: Where its settings and its log are written.
      history: Receives what is noticed of it.
      limits: What it may use.
      prepare: Called in the new process before it runs the program.
    """

    def __init__(
        self,
        number: int,
        directory: pathlib.Path,
        history: History,
        limits: ProcessLimits,
        prepare: typing.Callable[[], None] | None = None,
    ):
        self.number = number
        self.limits = limits
        self.ports = {name: free_endpoint().port for name in ("frontend", "readiness")}
        self.ports["peers"] = free_port_range(PEER_PORTS)
        self.path = directory / f"edge-{number}.conf"
        self._log = directory / f"edge-{number}.log"
        self._history = history
        self._prepare = prepare
        self._running: asyncio.subprocess.Process | None = None
        self._exit_task: asyncio.Task | None = None
        self._expects_exit = False
        self._is_paused = False
        self._is_over = False
        self._enforcer: Enforcer | None = None
        self._cut_ports: dict[int, Direction] = {}

    async def start(self) -> None:
        """Starts the process; its output goes to its log."""
        self._expects_exit = self._is_paused = self._is_over = False
        self._history.starts.append((self.number, asyncio.get_running_loop().time()))
        with open(self._log, "ab") as log:
            self._running = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                PROGRAM,
                PROGRAM_NAME,
                f"--settings={self.path}",
                "--residency=on",
                env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
                stdin=asyncio.subprocess.PIPE,
                stdout=log,
                stderr=log,
                preexec_fn=self._prepare,
            )
        self.cut(self._cut_ports)
        self._exit_task = asyncio.ensure_future(self._wait(self._running))

    def cut(self, ports: dict[int, Direction]) -> None:
        """Cuts its connections to these ports of other processes, and restores all others.

        They stay cut when it is started again.
        """
        self._cut_ports = ports
        if self._running is not None and self._running.returncode is None:
            names = {port: held.name for port, held in ports.items()}
            self._running.stdin.write(json.dumps(names).encode() + b"\n")

    async def _wait(self, running):
        enforcer = Enforcer(running.pid, self.limits, lambda: self._is_paused, self._end_excess)
        self._enforcer = enforcer
        enforcing = asyncio.ensure_future(enforcer.run())
        status = await running.wait()
        enforcing.cancel()
        peaks = self._history.peak_mb
        peaks[self.number] = max(enforcer.peak_mb, peaks.get(self.number, 0.0))
        if not self._expects_exit:
            self._history.unexpected_exits.append((self.number, status))

    def _end_excess(self, resident_mb):
        """Kills the process as its machine does when it holds too much memory."""
        if not self._is_over:
            self._is_over = self._expects_exit = True
            at, limit = asyncio.get_running_loop().time(), self.limits.memory_mb
            excess = MemoryExcess(self.number, at, resident_mb, limit)
            self._history.memory_excesses.append(excess)
            self.send(signal.SIGKILL)

    @property
    def peer_ports(self) -> range:
        """The ports on which it accepts connections of other gateways."""
        return range(self.ports["peers"], self.ports["peers"] + PEER_PORTS)

    @property
    def has_ended(self) -> bool:
        """Whether it has been started and has exited."""
        return self._running is not None and self._running.returncode is not None

    def pause(self) -> None:
        """Suspends the process."""
        self._is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets the process go on."""
        self._is_paused = False
        self.send(signal.SIGCONT)

    @property
    def starved_s(self) -> float:
        """How long it has waited for a processor that others used, in seconds."""
        return 0.0 if self._enforcer is None else self._enforcer.starved_s

    def handles(self, number: signal.Signals) -> bool:
        """Returns whether it handles a signal; it does not while its interpreter starts."""
        try:
            text = pathlib.Path(f"/proc/{self._running.pid}/status").read_text(encoding="ascii")
        except FileNotFoundError:
            return False
        caught = next(line for line in text.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._running.returncode is None:
            # The one of `subprocess` would also wait for the process, whose status is then lost.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._running.pid, number)

    async def kill(self) -> None:
        """Kills the process, if it runs, and waits until it has exited."""
        self._expects_exit = True
        if self._running is not None:
            self.send(signal.SIGKILL)
            await self._exit_task

    async def stop(self) -> None:
        """Stops the process gracefully; an exit by a signal or with an error is unexpected."""
        self._expects_exit = True
        before, handled = self.starved_s, self.handles(signal.SIGTERM)
        self.resume()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await asyncio.shield(self._exit_task)
        except TimeoutError:
            await self.kill()
            if self.starved_s > before + MAX_STARVED_S:
                return
        status = self._running.returncode
        # While the interpreter starts, a process cannot handle SIGTERM yet.
        if status != 0 and not self._is_over and (status != -signal.SIGTERM or handled):
            self._history.unexpected_exits.append((self.number, status))
