"""The callers' HTTP API: the paths and their handlers."""

import tornado.web

from cicadapond.entry._http_base import CallerParts, UnknownPathHandler
from cicadapond.entry._http_completions import ChatHandler, CompletionHandler, ModelsHandler
from cicadapond.entry._http_requests import DurableHandler
from cicadapond.entry._http_services import ServiceHandler


def caller_application(parts: CallerParts) -> tornado.web.Application:
    """Returns the web application that serves callers.

    Args:
      parts: The state that its handlers share.
    """
    shared = {"parts": parts}
    return tornado.web.Application(
        [
            ("/v1/completions", CompletionHandler, shared),
            ("/v1/chat/completions", ChatHandler, shared),
            ("/v1/models", ModelsHandler, shared),
            ("/v1/requests/([^/]+)", DurableHandler, shared),
            ("/services/([^/]+)(/.*)?", ServiceHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
