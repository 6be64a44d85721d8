"""What the log of a process tells of its end, and of errors that no task handles."""

import asyncio
import contextlib

from cicadapond.eventlog._log import EventLog
from cicadapond.kernel import raised_at


@contextlib.contextmanager
def log_end(log: EventLog):
    """Logs the exception by which the body ends, and errors in callbacks; writes queued lines.

    Args:
      log: The log of the process, whose event loop is running.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: _log_callback(log, loop, context))
    try:
        yield
    except Exception as exc:
        log.write("process_failed", reason=repr(exc), raised_at=raised_at(exc))
        raise
    finally:
        loop.set_exception_handler(None)
        log.close()


def _log_callback(log, loop, context):
    exc = context.get("exception")
    log.write(
        "callback_failed",
        message=context["message"],
        reason=repr(exc) if exc is not None else None,
        raised_at=raised_at(exc) if exc is not None else None,
    )
    loop.default_exception_handler(context)
