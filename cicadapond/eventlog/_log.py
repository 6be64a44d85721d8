"""Structured logging: one JSON object per line, written from a bounded queue without blocking.

Lines above the rate limit or the queue limit are dropped and counted; the next line gives their
number, which the log loses if that line is dropped too.
"""

import asyncio
import collections
import os
import select
import stat
import time

import structlog

from cicadapond.kernel import Clock, Metrics

MAX_QUEUED_BYTES = 1024 * 1024
MAX_LINES_PER_SECOND = 2000
FLUSH_INTERVAL_S = 0.1
WRITE_BYTES = 64 * 1024
CLOSE_TIMEOUT_S = 0.2


class EventLog:
    """Writes log events as lines to a file descriptor.

    Args:
      process: The name of the process, which each line contains.
      descriptor: The file descriptor; a pipe is made non-blocking.
      clock: The source of the timestamps.
      metrics: Receives the count of dropped lines.
    """

    def __init__(self, process: str, descriptor: int, clock: Clock, metrics: Metrics):
        self._descriptor = descriptor
        self._clock = clock
        self._metrics = metrics
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._dropped = 0
        self._current_second = -1
        self._lines_this_second = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self._logger = structlog.wrap_logger(
            _LineLogger(self._enqueue),
            processors=[self._add_context, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.BoundLogger,
            process=process,
        )
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def queued_bytes(self) -> int:
        """The number of bytes that have not been written yet."""
        return self._queued_bytes

    def write(self, event: str, **fields) -> None:
        """Queues one line; drops it if the rate limit or the queue limit is exceeded.

        Args:
          event: The name of the event, in snake case.
          fields: Further fields; for a decision its inputs, with ages in milliseconds, and its
            outcome.
        """
        if self._is_over_rate():
            self._count_dropped()
            return
        self._logger.msg(event, **fields)

    def flush(self) -> None:
        """Writes queued lines until the queue is empty or the write would block."""
        self._flush_timer = None
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                self._metrics.count("log_lines_dropped", len(self._queue))
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written == len(line):
                self._queue.popleft()
            else:
                self._queue[0] = line[written:]

    def close(self) -> None:
        """Writes queued lines as `flush`, and waits for the reader for up to `CLOSE_TIMEOUT_S`."""
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self._queue and (left_s := deadline - time.monotonic()) > 0:
            poll.poll(left_s * 1000)
            self.flush()

    def _add_context(self, logger, name, event_dict):
        event_dict["at"] = self._clock.now().isoformat(timespec="milliseconds")
        if self._dropped:
            event_dict["dropped_before"] = self._dropped
            self._dropped = 0
        return event_dict

    def _enqueue(self, text):
        line = text.encode() + b"\n"
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._count_dropped()
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        if self._flush_timer is None:
            self._schedule_flush()

    def _schedule_flush(self):
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def _is_over_rate(self):
        second = int(self._clock.monotonic().total_seconds())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return self._lines_this_second > MAX_LINES_PER_SECOND

    def _count_dropped(self):
        self._dropped += 1
        self._metrics.count("log_lines_dropped")


class _LineLogger:
    def __init__(self, write):
        self.msg = write
