"""The gateway: forwards callers' requests to backend servers over the platform's protocols."""

from cicadapond.gateway._cloud import Cloud, Declined, Holder, ServerOrder
from cicadapond.gateway._dialect import Dialect, Malformed

__all__ = ["Cloud", "Declined", "Dialect", "Holder", "Malformed", "ServerOrder"]
