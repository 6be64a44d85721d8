"""Client of the platform's cloud API: usage reports and scaling orders."""

import datetime
import json

from cicadapond.forwarding import Expired, HttpClient, NoConnection, Reply, ReplyLost
from cicadapond.gateway import Cloud, Declined, Holder
from cicadapond.kernel import AnswerLost, Ok, Unavailable

# A call that timed out may still be carried out; its fencing number protects against a late one.
CALL_TIMEOUT = datetime.timedelta(milliseconds=700)


class PlatformCloud(Cloud):
    """The cloud API, accessed over HTTP.

    Args:
      client: The HTTP client for the cloud API's address.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def report_usage(self, holder, window, counts):
        return await self._call(holder, "/usage", {"window_id": window, "counts": dict(counts)})

    async def order(self, holder, order):
        body = {
            "service": order.service,
            "zone": order.zone,
            "desired_count": order.count,
        }
        if order.reclaimable:
            body["preemptible"] = True
        return await self._call(holder, "/scale", body)

    async def _call(self, holder: Holder, path, body):
        headers = (
            (b"x-cicadapond-duty-holder", holder.name.encode()),
            (b"x-cicadapond-fencing-token", b"%d" % holder.fencing),
            (b"content-type", b"application/json"),
        )
        reply = await self._client.call(
            "POST", path, headers, json.dumps(body).encode(), CALL_TIMEOUT, holder.until
        )
        match reply:
            case NoConnection():
                return Unavailable("no connection to the cloud API")
            case Expired():
                return Unavailable("the lease ended before the call could be sent")
            case ReplyLost(reason=reason):
                return AnswerLost(reason)
            case Reply(status=200):
                return Ok(None)
            case Reply(status=409, body=text):
                return Declined(text.decode("utf-8", "replace")[:200])
        if reply.status >= 500 and reply.status != 503:
            return AnswerLost(f"the cloud API answered {reply.status}")
        return Unavailable(f"the cloud API answered {reply.status}")
