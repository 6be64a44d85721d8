"""Runs the completions of an entry process: what its runs share, and one run for each request."""

from cicadapond.data import Completion, Finished
from cicadapond.entry._attempt import Attempt
from cicadapond.entry._completion_run import CompletionRun
from cicadapond.entry._completion_settings import CompletionSettings
from cicadapond.entry._mover import StreamMover
from cicadapond.kernel import Failed, NotRun, Ok
from cicadapond.quarantine import Quarantine
from cicadapond.routing import DocumentRouter
from cicadapond.stream import PauseWatch


class CompletionRunner:
    """Runs the completions of one entry process.

    Args:
      parts: What the parts of an entry share; a missing router or quarantine is made and set.
      cfg: Limits.
    """

    def __init__(self, parts, cfg: CompletionSettings | None = None):
        self.parts = parts
        self.cfg = cfg or CompletionSettings()
        self.pause = PauseWatch(parts.clock)
        self.attempts: dict[str, dict[str, Attempt]] = {}
        if parts.router is None:
            parts.router = DocumentRouter(parts.intent, parts.rng)
        if parts.quarantine is None:
            parts.quarantine = Quarantine(
                parts.clock, lambda: parts.intent().policies.conviction_term
            )
        self.mover = StreamMover(parts, self.cfg.moving, self.attempts)
        parts.fleet.on_leaving(self.mover.leaving)

    async def run(
        self,
        req: Completion,
        sink,
        resume: tuple[str, ...] = (),
        version: str | None = None,
    ) -> Ok[Finished] | NotRun | Failed:
        """Runs a completion to its whole answer.

        Args:
          req: The request.
          sink: Takes the tokens in order, each once.
          resume: Tokens that were delivered before; the answer goes on after them.
          version: The model version that gave them; by default the one that the document names
            when the first token comes.

        Returns:
          Ok with the answer's end once all tokens are passed on; NotRun if no engine has run any
          of it; or Failed.
        """
        model = self.parts.intent().models.get(req.model)
        if model is None:
            return NotRun(f"no model {req.model!r}", status=404)
        self.pause.start()
        run = CompletionRun(self, req, sink, resume, version, model.pool)
        try:
            return await run.go()
        finally:
            run.end()

    def stop(self) -> None:
        """Ends the background tasks; open completions are cancelled by their callers."""
        self.pause.stop()
        self.mover.stop()

    def state(self) -> dict:
        """Returns the open attempts by server, and what is being moved, for a dump."""
        return {
            "attempts": {name: len(found) for name, found in self.attempts.items() if found},
            "moving": self.mover.state(),
            "quarantine": self.parts.quarantine.dump(),
        }
