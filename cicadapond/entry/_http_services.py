"""Handler of `/services/{service}/...`: forwards calls of any method to plain services."""

from cicadapond.data import Priority, ServiceCall
from cicadapond.entry._http_base import CallerHandler
from cicadapond.entry._problem import OK
from cicadapond.kernel import NotRun, Ok

IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE")  # RFC 9110, 9.2.2
SERVICE_PATH_PARTS = 3  # the empty part before the first slash, "services", the service's name
# hop-by-hop headers, and Content-Length, Expect and Host, which each hop sets or omits by itself
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
REPLACED_ANSWER_HEADERS = frozenset(("date", "server", "x-http-reason"))
NOT_FORWARDED_HEADERS = frozenset(("authorization", "idempotency-key", "prefer", "priority"))


class ServiceHandler(CallerHandler):
    """Forwards a call to a plain service, and its answer to the caller."""

    async def get(self, service, path):
        """Forwards a call of any method."""
        await self.serve(self._call(service, path or "/"))

    head = post = put = patch = delete = options = get

    async def _call(self, service, path):
        refusal = check_service(self.parts.core.intent, self.account, service) or check_path(path)
        if refusal is not None:
            self.refuse(refusal)
            return
        call = self._service_call(service, path)
        self.continues_without_caller = not call.idempotent
        outcome = await self.parts.core.call_service(call)
        if isinstance(outcome, Ok):
            self._forward_answer(outcome.value)
        else:
            self.refuse(outcome)

    def _service_call(self, service, path):
        req = self.request
        raw_path = "/" + "".join(req.path.split("/", SERVICE_PATH_PARTS)[SERVICE_PATH_PARTS:])
        application = self.parts.core.intent.applications[service]
        priority = self.preferences.priority
        wait = self.preferences.wait or application.timeout
        return ServiceCall(
            request_id=self.request_id,
            account=self.account,
            service=service,
            method=req.method,
            path=f"{raw_path}?{req.query}" if req.query else raw_path,
            headers=end_to_end(req.headers.get_all(), NOT_FORWARDED_HEADERS),
            body=self.body(),
            idempotent=is_idempotent(application, req.method, path),
            idempotency_key=req.headers.get("Idempotency-Key"),
            priority=Priority.INTERACTIVE if priority is None else priority,
            deadline=self.parts.clock.monotonic() + wait,
        )

    def _forward_answer(self, answer):
        self.clear_header("Content-Type")
        for name, value in end_to_end(answer.headers, REPLACED_ANSWER_HEADERS):
            self.add_header(name, value)
        self.set_outcome_headers(OK)
        self.set_status(answer.status)
        if self.request.method == "HEAD" or answer.status in (204, 304):
            return
        self.write(answer.body)


def check_service(intent, account: str, service: str) -> NotRun | None:
    """Returns why an account may not call a service, or None."""
    allowed = intent.accounts[account].services if account in intent.accounts else None
    names = [name for name in intent.applications if allowed is None or name in allowed]
    if service in names:
        return None
    return NotRun(f"no service {service!r}; there are {', '.join(names) or 'none'}", status=404)


def check_path(path: str) -> NotRun | None:
    """Returns why a path is not forwarded, or None.

    The document's rules match path prefixes, so a path must not leave its prefix by dot segments.
    """
    if any(segment in (".", "..") for segment in path.split("/")):
        return NotRun("a path with the segments . or .. is not passed on", status=400)
    return None


def is_idempotent(application, method: str, path: str) -> bool:
    """Returns whether a call may be repeated.

    The first rule in the document with this method, or "*", and a prefix of the path decides.
    Without such a rule, the methods that RFC 9110 calls idempotent may be repeated.

    Args:
      application: The service's part of the document.
      method: The call's method.
      path: The call's path, without its query.
    """
    for rule in application.calls:
        if rule.method in (method, "*") and path.startswith(rule.path):
            return rule.idempotent
    return method in IDEMPOTENT_METHODS


def end_to_end(headers, excluded=frozenset()) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers, which are forwarded.

    Args:
      headers: Pairs of name and value.
      excluded: Further header names, in lower case, that are not forwarded.
    """
    pairs = list(headers)
    connection_options = {
        name.strip().lower()
        for header, value in pairs
        if header.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | excluded | connection_options
    return tuple((name, value) for name, value in pairs if name.lower() not in dropped)
