"""Limits of running completions."""

import datetime

import attrs

from cicadapond.kernel import seconds, setting
from cicadapond.stream import MovingSettings, SilenceLimits


@attrs.frozen
class CompletionSettings:
    """Limits of running completions.

    Attributes:
      silence: Limits of silence.
      moving: Estimates and limits of moving.
      server_wait: How long a request without a deadline waits for a server, unless it is durable.
      poll: Time between looks for a server.
      first_backoff: The longest wait before the second retry without progress; it doubles.
      longest_backoff: Where it stops doubling.
      avoid: How long a request avoids a server after a refusal or silence there.
      failing: How long all requests avoid a server after a crash or a failure to connect.
      attempts_without_progress: Attempts in a row without a new token after which it has failed.
      trial_tokens: Tokens past the place of a crash that end a suspect's trial.
      slow_reader: How long the caller may take tokens before the engine's stream is paused.
      pause_grace: The wait after a pause of the process where the fleet cannot be refreshed.
      retry_after: What callers are told to wait where nothing better is known.
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
