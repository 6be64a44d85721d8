"""Routing: chooses the backend server of each request."""

from cicadapond.routing import _scored, _simple
from cicadapond.routing._api import Router, RouteRequest, RouterSettings, routers
from cicadapond.routing._document import DocumentRouter
from cicadapond.routing._prefix_map import PrefixMap
from cicadapond.routing._version import choose_version, may_run_version
from cicadapond.routing._view import ServerView

__all__ = [
    "DocumentRouter",
    "PrefixMap",
    "RouteRequest",
    "Router",
    "RouterSettings",
    "ServerView",
    "routers",
    "may_run_version",
    "choose_version",
]

POLICY_MODULES = (_scored, _simple)
