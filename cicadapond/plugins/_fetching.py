"""Fetches over the curl client, which returns an answer that was cut off within its head."""

import re

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

# Of a final response.  libcurl takes any three digits, and the first three of more.
STATUS = re.compile("[2-5][0-9][0-9]")


async def fetch_complete(
    client: tornado.curl_httpclient.CurlAsyncHTTPClient, request: tornado.httpclient.HTTPRequest
) -> tornado.httpclient.HTTPResponse:
    """Sends a request and returns the response, whatever its status.

    Raises:
      tornado.curl_httpclient.CurlError: If the response is incomplete, also within its head, or has
        a status that no final response of HTTP has.
      tornado.httpclient.HTTPError: If there is none.
    """
    head = _HeadWatch()
    request.header_callback = head.receive
    response = await client.fetch(request, raise_error=False)
    if not head.is_complete:
        raise tornado.curl_httpclient.CurlError(
            pycurl.E_GOT_NOTHING, "connection closed within the head of the response"
        )
    if not STATUS.fullmatch(head.status):
        raise tornado.curl_httpclient.CurlError(
            pycurl.E_GOT_NOTHING, f"the status {head.status!r} is none of a response"
        )
    return response


class _HeadWatch:
    """Follows the lines of a response's head; libcurl ends a cut one as if it were complete."""

    def __init__(self):
        self.is_complete = False
        self.status = ""

    def receive(self, line: str) -> None:
        if line.startswith("HTTP/"):
            self.is_complete = False
            self.status = [*line.split(), ""][1]
        elif line in ("\r\n", "\n"):
            self.is_complete = True
