"""The admin port of every process: health, readiness, metrics and a dump of its state."""

from cicadapond.admin._application import admin_application
from cicadapond.admin._dump import to_jsonable
from cicadapond.admin._server import AdminServer

__all__ = ["AdminServer", "admin_application", "to_jsonable"]
