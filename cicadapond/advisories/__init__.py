"""What backend servers say of themselves in their answers.

That is how many requests they accept, for how long they want none, and that they leave.

The server table is written by the platform; these statements come from the servers themselves and
are often newer.  A limit holds for all processes together, so it is divided among them; a pause
concerns one process.  No I/O.
"""

from cicadapond.advisories._pauses import PauseChange, PauseEvent
from cicadapond.advisories._record import Advisory, AdvisoryChange, ServerAdvisories

__all__ = ["Advisory", "AdvisoryChange", "PauseChange", "PauseEvent", "ServerAdvisories"]
