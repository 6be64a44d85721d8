"""One queue for each service in front of its engines; decisions only, no I/O."""

from cicadapond.queueing._api import Admission, Decision, Waiting
from cicadapond.queueing._forecast import Sent
from cicadapond.queueing._queue import QUEUE_LIMIT, ServiceQueue

__all__ = ["QUEUE_LIMIT", "Admission", "Decision", "Sent", "ServiceQueue", "Waiting"]
