"""Structured log lines: one JSON object a line, from a bounded queue that never blocks.

A line that finds the queue full, or the rate used up, is dropped and counted; the next line that
gets through says how many were.
"""

import asyncio
import collections
import os
import stat

import structlog

from cicadapond.kernel import Clock, Metrics

MAX_QUEUED_BYTES = 1024 * 1024
MAX_LINES_PER_SECOND = 2000
FLUSH_INTERVAL_S = 0.1
WRITE_BYTES = 64 * 1024


class EventLog:
    """Writes decisions as lines to a file descriptor.

    Args:
      process: The name of the process, in each line.
      descriptor: Where the lines go.
      clock: Gives the time of the lines.
      metrics: Takes counts of lines dropped.
    """

    def __init__(self, process: str, descriptor: int, clock: Clock, metrics: Metrics):
        self._descriptor = descriptor
        self._clock = clock
        self._metrics = metrics
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._dropped = 0
        self._second = -1
        self._lines = 0
        self._flushing: asyncio.TimerHandle | None = None
        self._logger = structlog.wrap_logger(
            _Sink(self._write_line),
            processors=[self._stamp, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.BoundLogger,
            process=process,
        )
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def queued_bytes(self) -> int:
        """How many bytes wait for a reader."""
        return self._queued_bytes

    def write(self, event: str, **fields) -> None:
        """Writes one line.

        Args:
          event: What happened, in snake case.
          fields: What decided it, with ages in milliseconds, and the outcome.
        """
        if self._is_over_rate():
            self._drop()
            return
        self._logger.msg(event, **fields)

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        self._flushing = None
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule()
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

    def _stamp(self, logger, name, event_dict):
        event_dict["at"] = self._clock.now().isoformat(timespec="milliseconds")
        if self._dropped:
            event_dict["dropped_before"] = self._dropped
            self._dropped = 0
        return event_dict

    def _write_line(self, text):
        line = text.encode() + b"\n"
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._drop()
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        if self._flushing is None:
            self._schedule()

    def _schedule(self):
        loop = asyncio.get_running_loop()
        self._flushing = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def _is_over_rate(self):
        second = int(self._clock.monotonic().total_seconds())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines > MAX_LINES_PER_SECOND

    def _drop(self):
        self._dropped += 1
        self._metrics.count("log_lines_dropped")


class _Sink:
    def __init__(self, write):
        self.msg = write
