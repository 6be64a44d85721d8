"""Settings and injected faults of a simulated engine."""

import datetime

import attrs

from cicadapond.kernel import at_least, between, seconds, setting


@attrs.frozen
class EngineTiming:
    """Durations of an engine's computations and KV transfers, in seconds.

    A step generates one token for each running stream and prefills up to `prefill_chunk_tokens`.
    It takes decode_step_seconds + running * decode_stream_seconds
    + prefilled * prefill_token_seconds.
    """

    prefill_token_seconds: float = 0.0002
    decode_step_seconds: float = 0.02
    decode_stream_seconds: float = 0.0002
    kv_token_seconds: float = 0.0001
    kv_setup_seconds: float = 0.01


@attrs.frozen
class EngineSettings:
    """Limits, delays and options of one simulated engine.

    `model` and `version` are loaded from the start; with None it serves any model until the first
    order to run one.
    """

    model: str | None = None
    version: str | None = None
    checks_fencing: bool = False
    slots: int = setting(default=32, check=at_least(1))
    max_waiting: int = setting(default=1024, check=at_least(0))
    prefill_chunk_tokens: int = setting(default=512, check=at_least(1))
    cache_blocks: int = setting(default=4096, check=at_least(0))
    report_lag: datetime.timedelta = seconds(1)
    event_lag: datetime.timedelta = seconds(2)
    event_gap_share: float = setting(default=0.05, check=between(0.0, 1.0))
    load_duration: datetime.timedelta = seconds(20)
    adapter_load_duration: datetime.timedelta = seconds(2)
    restart_duration: datetime.timedelta = seconds(5)
    kv_handle_term: datetime.timedelta = seconds(60)


@attrs.define
class EngineFaults:
    """Injected faults; each share is a probability per attempt.

    Attributes:
      poison: A prompt that contains this text crashes the engine as its prefill ends; empty for
        none.
      refuse: Whether new attempts are refused.
      silent_share: Attempts that deliver no more events after some tokens.
      truncate_share: Attempts whose stream closes without its final event.
      late_share: Attempts after a stream's first that start with a token of the previous epoch.
      cross_share: Attempts that get a token of another request's stream.
      slowness: Factor on the duration of each step.
    """

    poison: str = ""
    refuse: bool = False
    silent_share: float = 0.0
    truncate_share: float = 0.0
    late_share: float = 0.0
    cross_share: float = 0.0
    slowness: float = 1.0
