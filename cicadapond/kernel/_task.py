"""Tasks that own their state and sockets, and communicate by messages.

A `Task` runs one coroutine; other tasks communicate with it only through its `Mailbox`.  A
`TaskGroup` owns the tasks of one process and stops them together, by one teardown path that is
safe to call twice.
"""

import abc
import asyncio
import collections
import os
import traceback
import typing

from absl import logging

# Between the end of a task by an unexpected error and its next run.
RESTART_DELAY_S = 0.5
MAX_RECORDED_FAILURES = 100
# The innermost frames of a traceback that a log line has.
MAX_LOGGED_FRAMES = 4


def raised_at(exc: BaseException) -> list[str]:
    """Returns where an exception was raised, the innermost frame last, for a log line."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [f"{os.path.basename(each.filename)}:{each.lineno} {each.name}" for each in frames]


class Mailbox:
    """A bounded queue of messages to one task.

    Args:
      limit: The maximum number of messages.
    """

    def __init__(self, limit: int = 10_000):
        self._limit = limit
        self._messages = collections.deque()
        self._arrived = asyncio.Event()
        self.dropped = 0

    def post(self, message) -> bool:
        """Adds a message without waiting.

        Returns:
          Whether the message was added; if the mailbox is full, it is dropped and counted.
        """
        if len(self._messages) >= self._limit:
            self.dropped += 1
            return False
        self._messages.append(message)
        self._arrived.set()
        return True

    async def take(self):
        """Returns the oldest message, waiting for one if there is none."""
        while not self._messages:
            self._arrived.clear()
            await self._arrived.wait()
        return self._messages.popleft()

    def drain(self) -> list:
        """Removes and returns all messages without waiting."""
        messages = list(self._messages)
        self._messages.clear()
        return messages

    def __len__(self):
        return len(self._messages)


class Task(abc.ABC):
    """A unit of work that owns its state and sockets, run by a `TaskGroup`."""

    name = "task"

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until the work is done or the task is cancelled."""

    async def close(self) -> None:
        """Releases what the task owns; called once, after `run` has ended."""
        return None


class TaskGroup:
    """Runs the tasks of one process and stops them together.

    Args:
      on_failure: Called with the name of a task and the exception that it raised.
    """

    def __init__(self, on_failure: typing.Callable[[str, Exception], None] | None = None):
        self._on_failure = on_failure
        self._running: dict[asyncio.Task, Task | None] = {}
        self.failed: list[str] = []

    def start(self, task: Task, restarts: bool = False) -> asyncio.Task:
        """Starts a task; an exception that it raises is logged and recorded in `failed`.

        Args:
          task: The task.
          restarts: Whether it is run again after an exception, a while later; for tasks without
            which the process cannot do its work.
        """
        started = asyncio.ensure_future(self._supervise(task, restarts))
        self._running[started] = task
        started.add_done_callback(self._running.pop)
        return started

    def spawn(self, coro, name: str) -> asyncio.Task:
        """Starts a coroutine as part of the group; exceptions are handled as in `start`."""
        started = asyncio.ensure_future(self._run_logged(coro, name))
        self._running[started] = None
        started.add_done_callback(self._running.pop)
        return started

    def keep_running(self, run, name: str) -> asyncio.Task:
        """Runs a coroutine function as part of the group, again whenever it raises an exception.

        Args:
          run: The coroutine function, without arguments.
          name: Its name in the log.
        """
        return self.spawn(self._run_repeatedly(run, name), name)

    async def _supervise(self, task, restarts):
        try:
            if restarts:
                await self._run_repeatedly(task.run, task.name)
            else:
                await self._run_logged(task.run(), task.name)
        finally:
            await task.close()

    async def _run_repeatedly(self, run, name):
        failures = []
        while await self._run_logged(run(), name, failures) is None and failures:
            failures.clear()
            await asyncio.sleep(RESTART_DELAY_S)

    async def _run_logged(self, coro, name, failures=None):
        """Returns the result of a coroutine, None after an exception, which is logged.

        Args:
          coro: The coroutine.
          name: Its name in the log.
          failures: Receives the exception, if it is a list.
        """
        try:
            return await coro
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self.failed.append(f"{name}: {exc!r}")
            del self.failed[:-MAX_RECORDED_FAILURES]
            logging.exception("task %s failed", name)
            if self._on_failure is not None:
                self._on_failure(name, exc)
            if failures is not None:
                failures.append(exc)
            return None

    def __len__(self):
        return len(self._running)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended and released their resources."""
        running = list(self._running)
        for started in running:
            started.cancel()
        await asyncio.gather(*running, return_exceptions=True)
