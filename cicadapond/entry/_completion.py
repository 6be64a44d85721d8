"""Runs the completions of an entry process and holds the state that they share."""

from cicadapond.data import Completion, Finished
from cicadapond.entry._attempt import Attempt
from cicadapond.entry._completion_run import CompletionRun
from cicadapond.entry._completion_settings import CompletionSettings
from cicadapond.entry._mover import StreamMover
from cicadapond.kernel import Failed, NotRun, Ok
from cicadapond.quarantine import Quarantine
from cicadapond.routing import DocumentRouter
from cicadapond.stream import PauseDetector


class CompletionRunner:
    """Runs the completions of one entry process.

    Args:
      parts: The entry's shared components; a missing router or quarantine is created and set.
      cfg: Limits.
    """

    def __init__(self, parts, cfg: CompletionSettings | None = None):
        self.parts = parts
        self.cfg = cfg or CompletionSettings()
        self.pause = PauseDetector(parts.clock)
        self.attempts: dict[str, dict[str, Attempt]] = {}
        if parts.router is None:
            parts.router = DocumentRouter(parts.intent, parts.rng)
        if parts.quarantine is None:
            parts.quarantine = Quarantine(
                parts.clock, lambda: parts.intent().policies.conviction_term
            )
        self.mover = StreamMover(parts, self.cfg.moving, self.attempts)
        parts.fleet.on_leaving(self.mover.server_leaving)

    async def run(
        self,
        req: Completion,
        sink,
        resume: tuple[str, ...] = (),
        version: str | None = None,
    ) -> Ok[Finished] | NotRun | Failed:
        """Runs a completion until its answer is complete or it has failed.

        Args:
          req: The request.
          sink: Takes the tokens in order, each once.
          resume: Tokens that were delivered before; generation continues after them.
          version: The model version that generated them.  As long as there are no tokens, the
            version is chosen before each attempt, from the document and from what the servers run.

        Returns:
          Ok once all tokens have been delivered; NotRun if certainly no engine has run any part of
          the request; or Failed.
        """
        model = self.parts.intent().models.get(req.model)
        if model is None:
            return NotRun(f"no model {req.model!r}", status=404)
        self.pause.start()
        run = CompletionRun(self, req, sink, resume, version, model.pool)
        try:
            return await run.execute()
        finally:
            run.end_quarantine_wait()

    def stop(self) -> None:
        """Stops the background tasks; the callers cancel open completions."""
        self.pause.stop()
        self.mover.stop()

    def state(self) -> dict:
        """Returns the open attempts by server, the stream moves and the quarantine, for a dump."""
        return {
            "attempts": {name: len(found) for name, found in self.attempts.items() if found},
            "moving": self.mover.state(),
            "quarantine": self.parts.quarantine.dump(),
        }
