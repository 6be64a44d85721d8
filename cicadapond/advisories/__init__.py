"""What backend servers say of themselves in their answers: how many requests they accept.

The server table is written by the platform; these statements come from the servers themselves and
are often newer.  A limit holds for all processes together, so it is divided among them.  No I/O.
"""

from cicadapond.advisories._record import Advisory, AdvisoryChange, ServerAdvisories

__all__ = ["Advisory", "AdvisoryChange", "ServerAdvisories"]
