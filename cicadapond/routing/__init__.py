"""Routing: which backend server takes a request."""

from cicadapond.routing._view import ServerView

__all__ = ["ServerView"]
