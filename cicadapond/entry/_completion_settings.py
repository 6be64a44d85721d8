"""Settings of running completions."""

import datetime

import attrs

from cicadapond.kernel import seconds, setting
from cicadapond.stream import MovingSettings, SilenceLimits


@attrs.frozen
class CompletionSettings:
    """Timeouts, backoff and limits of running completions.

    Attributes:
      silence: Timeouts for engines that send nothing.
      moving: Estimates and limits for moving streams.
      server_wait: How long a request without a deadline waits for a server, unless it is durable.
      poll: Interval between attempts to choose a server.
      first_backoff: The base of the backoff.  The first retry without progress does not wait; the
        n-th waits a random time up to a limit of `first_backoff * 2**n`.
      longest_backoff: The upper bound of that limit.
      avoid: How long a request first avoids a server on which its attempt has broken; it doubles
        with each attempt without progress.
      failing: How long all requests avoid a server after a crash or a failure to connect.
      attempts_without_progress: Number of retries without a new token after which the next break
        fails the request; refusals and failures to connect are counted but do not fail it.
      trial_tokens: New tokens, past the place of the crash, that end a suspect request's trial.
      slow_reader: How long a delivery to the caller may take before the engine's stream is paused.
      pause_grace: The wait after a pause of the process if the fleet cannot be refreshed.
      retry_after: The Retry-After sent to callers when no better estimate is known.
    """

    silence: SilenceLimits = attrs.field(factory=SilenceLimits)
    moving: MovingSettings = attrs.field(factory=MovingSettings)
    server_wait: datetime.timedelta = seconds(30)
    poll: datetime.timedelta = seconds(0.05)
    first_backoff: datetime.timedelta = seconds(0.05)
    longest_backoff: datetime.timedelta = seconds(2)
    avoid: datetime.timedelta = seconds(2)
    failing: datetime.timedelta = seconds(1)
    attempts_without_progress: int = setting(default=20)
    trial_tokens: int = setting(default=16)
    slow_reader: datetime.timedelta = seconds(0.05)
    pause_grace: datetime.timedelta = seconds(0.5)
    retry_after: datetime.timedelta = seconds(1)
