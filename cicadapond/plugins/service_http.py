"""Plain service adapter "http": calls over HTTP through the curl client.

Idempotent calls share pooled connections.  Each other call uses a new connection: a pooled one may
have stopped delivering data, and libcurl resends on its own when a reused connection breaks.
"""

import asyncio
import datetime
import json
import weakref

import pycurl
import tornado.curl_httpclient
import tornado.httpclient
import tornado.httputil

from cicadapond.backend import NotSent, PlainService, plain_services
from cicadapond.data import BackendServer, LoadReport, ServiceResponse
from cicadapond.kernel import Ok, Unavailable, Unknown
from cicadapond.plugins._fetching import fetch_complete

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
REPORT_TIMEOUT = datetime.timedelta(seconds=1)
MAX_CLIENTS = 4096
LOAD_PATH = "/cicadapond/load"
OUTCOME_HEADER = "Cicadapond-Outcome"
NOT_RUN = "not_run"
UNAVAILABLE = 503
BODILESS_STATUSES = (204, 304)
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
ZERO = datetime.timedelta()

_clients = weakref.WeakKeyDictionary()  # by event loop


def _shared_client():
    loop = asyncio.get_running_loop()
    if loop not in _clients:
        _clients[loop] = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
    return _clients[loop]


class _Attempt:
    """Prevents sending after the deadline or cancellation, and records whether it was sent."""

    def __init__(self, clock, timeout, fresh):
        self._clock = clock
        self._deadline = clock.monotonic() + timeout
        self._fresh = fresh
        self.abandoned = False
        self.sent = False

    def prepare(self, curl):
        curl.setopt(pycurl.FRESH_CONNECT, int(self._fresh))
        curl.setopt(pycurl.FORBID_REUSE, int(self._fresh))
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)

    def _before_sending(self, *connection):
        """Called by libcurl once connected, right before it sends the first byte."""
        if self.abandoned or self._clock.monotonic() >= self._deadline:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


@plain_services.register("http")
class HttpService(PlainService):
    """Adapter of one server of a plain service, over HTTP."""

    def __init__(self, server: BackendServer, clock, metrics):
        self.server = server
        self._clock = clock
        self._metrics = metrics
        self._url = f"http://{server.endpoint}"

    async def call(self, call, timeout, new_connection):
        if timeout <= ZERO:
            return NotSent(f"{self.server.name}: no time left")
        attempt = _Attempt(self._clock, timeout, new_connection)
        request = tornado.httpclient.HTTPRequest(
            self._url + call.path,
            method=call.method,
            headers=tornado.httputil.HTTPHeaders(),
            body=call.body if call.body or call.method in METHODS_WITH_BODY else None,
            connect_timeout=min(CONNECT_TIMEOUT, timeout).total_seconds(),
            request_timeout=timeout.total_seconds(),
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=attempt.prepare,
        )
        request.headers["Expect"] = ""
        for name, value in call.headers:
            request.headers.add(name, value)
        return await self._fetch(call, request, attempt)

    async def load_report(self):
        request = tornado.httpclient.HTTPRequest(
            self._url + LOAD_PATH,
            connect_timeout=CONNECT_TIMEOUT.total_seconds(),
            request_timeout=REPORT_TIMEOUT.total_seconds(),
            prepare_curl_callback=_Attempt(self._clock, REPORT_TIMEOUT, False).prepare,
        )
        try:
            response = await fetch_complete(_shared_client(), request)
            response.rethrow()
            return Ok(_parse_report(self.server.name, json.loads(response.body)))
        except (tornado.httpclient.HTTPError, ValueError, KeyError, TypeError) as exc:
            return Unavailable(f"{self.server.name}: {exc}")

    async def _fetch(self, call, request, attempt):
        try:
            response = await fetch_complete(_shared_client(), request)
        except tornado.httpclient.HTTPError as exc:
            if not attempt.sent:
                return NotSent(f"{self.server.name}: {exc}")
            return Unknown(f"{self.server.name}: {exc}")
        except asyncio.CancelledError:
            attempt.abandoned = True
            raise
        return self._parse_response(call, response)

    def _parse_response(self, call, response):
        headers = response.headers
        if response.code == UNAVAILABLE and headers.get(OUTCOME_HEADER) == NOT_RUN:
            return NotSent(f"{self.server.name} refused the call", _retry_after(headers))
        if not _is_framed(call, response):
            self._metrics.count("service_answers_without_end")
            return Unknown(f"{self.server.name}: the answer has no length and no chunks")
        return Ok(ServiceResponse(response.code, tuple(headers.get_all()), response.body or b""))


def _is_framed(call, response):
    """Returns whether the answer has no body or one whose length or chunks mark its end.

    Without them a broken connection looks like the end; with them libcurl reports it as an error.
    """
    if call.method == "HEAD" or response.code in BODILESS_STATUSES:
        return True
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in headers


def _retry_after(headers):
    text = headers.get("Retry-After", "")
    return datetime.timedelta(seconds=int(text)) if text.isdigit() else None


def _parse_report(server, fields):
    return LoadReport(
        server,
        running=fields["running"],
        waiting=fields["waiting"],
        slots=fields["slots"],
        age=datetime.timedelta(seconds=fields["age"]),
        leaving=fields["leaving"],
    )
