"""What an entry does with a request, without any HTTP: admission, then the runner of its kind.

The core opens no sockets of its own: whatever needs one is passed in with the `Parts`.
"""

import abc

from cicadapond.backend import Engine
from cicadapond.data import Answer, Broken, Completion, Finished, GenerateCall, ServiceCall, Token
from cicadapond.document import Intent
from cicadapond.entry._parts import Parts
from cicadapond.kernel import Failed, NotRun, Ok, Unknown


class CompletionSink(abc.ABC):
    """Takes a completion's tokens on their way to the caller."""

    @abc.abstractmethod
    async def tokens(self, tokens: tuple[Token, ...]) -> None:
        """Passes tokens on; returns when the caller has room for more."""


class EntryCore:
    """The decisions of one entry process and the state they need.

    Args:
      parts: What the decisions share.
    """

    def __init__(self, parts: Parts):
        self.parts = parts

    @property
    def intent(self) -> Intent:
        """The document in force."""
        return self.parts.intent()

    def state(self) -> dict:
        """Returns the views and their ages, for a dump."""
        return {"revision": self.intent.revision, "backends": self.parts.fleet.state()}

    async def complete(
        self, req: Completion, sink: CompletionSink
    ) -> Ok[Finished] | NotRun | Failed:
        """Generates a completion.

        Args:
          req: The request.
          sink: Takes the tokens in order, each once.

        Returns:
          Ok with the answer's end once all tokens are passed on, NotRun or Failed.
        """
        model = self.intent.models.get(req.model)
        if model is None:
            return NotRun(f"no model {req.model!r}", status=404)
        fleet = self.parts.fleet
        views = fleet.views(model.pool)
        if not views:
            return NotRun(f"no engine of pool {model.pool!r} takes work")
        name = min(views, key=lambda view: view.own_in_flight).server.name
        fleet.started(name)
        try:
            return await _relay(fleet.adapter(name), _first_call(req, model), sink)
        finally:
            fleet.finished(name)

    async def call_service(self, call: ServiceCall) -> Ok[Answer] | NotRun | Failed | Unknown:
        """Calls a plain service.

        Args:
          call: The call.

        Returns:
          Ok with the whole answer, or what became of the call.
        """
        return NotRun(f"no server of service {call.service!r} takes work")

    async def accept(self, req: Completion) -> Ok[str] | NotRun:
        """Takes a completion that nobody waits for.

        Args:
          req: The request.

        Returns:
          Ok with the request's id once the request is durable, or NotRun.
        """
        return NotRun("this deployment has no table service to keep requests in", status=501)


def _first_call(req, model):
    return GenerateCall(
        stream_id=req.request_id,
        epoch=1,
        model=req.model,
        version=model.version,
        prompt=req.prompt,
        max_tokens=req.max_tokens,
        priority=req.priority,
        adapter=req.adapter,
        stop=req.stop,
        seed=req.seed,
    )


async def _relay(engine: Engine, call, sink):
    stream = engine.generate(call)
    try:
        while True:
            events = await stream.read()
            tokens = tuple(event for event in events if isinstance(event, Token))
            if tokens:
                await sink.tokens(tokens)
            match events[-1]:
                case Finished() as finished:
                    return Ok(finished)
                case Broken() as broken:
                    return Failed(f"{broken.kind.value}: {broken.detail}")
    finally:
        stream.close()
