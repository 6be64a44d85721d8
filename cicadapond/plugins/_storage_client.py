"""HTTP client shared by the storage adapters; it returns outcomes instead of raising."""

import datetime
import functools

import attrs
import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from cicadapond.kernel import AnswerLost, Unavailable
from cicadapond.plugins._fetching import fetch_complete

CONNECT_TIMEOUT_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 5.0
MAX_CLIENTS = 256
UNAVAILABLE = 503
SERVER_ERROR = 500
_NOT_SENT_ERRORS = (
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_URL_MALFORMAT,
)


@attrs.frozen
class Reply:
    """An answer with a status other than 503."""

    status: int
    body: bytes


class StorageClient:
    """Sends requests to one storage service.

    Args:
      url: The service's base URL.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def send(
        self, method: str, path: str, body: bytes | None = None, write: bool = False
    ) -> Reply | Unavailable | AnswerLost:
        """Sends one request.

        A write uses a new connection: libcurl resends a request on its own when a reused connection
        breaks, and a conditional write that took effect would then conflict with itself.

        Returns:
          The reply; Unavailable if the request was refused or never sent; AnswerLost otherwise.
        """
        request = tornado.httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={"Expect": ""},
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            allow_nonstandard_methods=True,
            prepare_curl_callback=functools.partial(_choose_connection, fresh=write),
        )
        try:
            response = await fetch_complete(self._client, request)
        except tornado.curl_httpclient.CurlError as exc:
            outcome_type = Unavailable if exc.errno in _NOT_SENT_ERRORS else AnswerLost
            return outcome_type(f"{method} {path}: {exc}")
        if response.code == UNAVAILABLE:
            return Unavailable(response.body.decode("utf-8", "replace"), _retry_after(response))
        if response.code >= SERVER_ERROR:
            return AnswerLost(f"{method} {path}: status {response.code}")
        return Reply(response.code, response.body)

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()


def _choose_connection(curl, fresh):
    curl.setopt(pycurl.FRESH_CONNECT, int(fresh))
    curl.setopt(pycurl.FORBID_REUSE, int(fresh))


def _retry_after(response):
    text = response.headers.get("Retry-After", "")
    return datetime.timedelta(seconds=int(text)) if text.isdigit() else None
