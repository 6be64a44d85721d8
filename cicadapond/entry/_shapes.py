"""The JSON shapes of answers, as in OpenAI's completion API, the de facto standard."""

import abc
import json

import attrs

from cicadapond.data import Finished, split_tokens
from cicadapond.entry._body import CHAT_ANSWERER

STREAM_END = "data: [DONE]\n\n"


@attrs.frozen
class AnswerHead:
    """The fields that every part of one answer repeats; `created` is in Unix seconds."""

    request_id: str
    model: str
    created: int


class Shape(abc.ABC):
    """The JSON shapes of one answer in one API.

    Args:
      head: The fields that every part repeats.
      prompt: The prompt, for the usage counts.
    """

    stream_object = ""
    complete_object = ""

    def __init__(self, head: AnswerHead, prompt: str):
        self._head = head
        self._prompt = prompt
        prefix, suffix = json.dumps(self._fields(self.stream_object, [])).rsplit("[]", 1)
        self._event_prefix = f"data: {prefix}["
        self._event_suffix = f"]{suffix}\n\n"

    @abc.abstractmethod
    def opening(self) -> str:
        """Returns the stream's event before the first text, or an empty string."""

    @abc.abstractmethod
    def text_event(self, text: str) -> str:
        """Returns the stream's event for some text."""

    @abc.abstractmethod
    def end_event(self, reason: str) -> str:
        """Returns the stream's event for the end of the answer."""

    @abc.abstractmethod
    def _complete_choice(self, text, reason):
        """Returns the single choice of a complete answer."""

    def complete_body(self, text: str, finished: Finished) -> dict:
        """Returns the body of a complete answer."""
        choice = {"index": 0, **self._complete_choice(text, finished.reason), "logprobs": None}
        fields = self._fields(self.complete_object, [choice])
        return fields | {"usage": self._usage(finished)}

    def usage_event(self, finished: Finished) -> str:
        """Returns the stream's event with the token counts."""
        fields = self._fields(self.stream_object, []) | {"usage": self._usage(finished)}
        return f"data: {json.dumps(fields)}\n\n"

    def _event(self, choice):
        return f"{self._event_prefix}{choice}{self._event_suffix}"

    def _fields(self, kind, choices):
        return {
            "id": self._head.request_id,
            "object": kind,
            "created": self._head.created,
            "model": self._head.model,
            "choices": choices,
        }

    def _usage(self, finished):
        prompt = len(split_tokens(self._prompt))
        return {
            "prompt_tokens": prompt,
            "completion_tokens": finished.length,
            "total_tokens": prompt + finished.length,
            "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
        }


class CompletionShape(Shape):
    """The shapes of `/v1/completions`."""

    stream_object = "text_completion"
    complete_object = "text_completion"

    def opening(self):
        return ""

    def text_event(self, text):
        return self._event(f'{{"index": 0, "text": {json.dumps(text)}, "finish_reason": null}}')

    def end_event(self, reason):
        return self._event(f'{{"index": 0, "text": "", "finish_reason": {json.dumps(reason)}}}')

    def _complete_choice(self, text, reason):
        return {"text": text, "finish_reason": reason}


class ChatShape(Shape):
    """The shapes of `/v1/chat/completions`."""

    stream_object = "chat.completion.chunk"
    complete_object = "chat.completion"

    def opening(self):
        return self._delta(json.dumps({"role": CHAT_ANSWERER, "content": ""}), "null")

    def text_event(self, text):
        return self._delta(f'{{"content": {json.dumps(text)}}}', "null")

    def end_event(self, reason):
        return self._delta("{}", json.dumps(reason))

    def _delta(self, delta, reason):
        return self._event(f'{{"index": 0, "delta": {delta}, "finish_reason": {reason}}}')

    def _complete_choice(self, text, reason):
        return {"message": {"role": CHAT_ANSWERER, "content": text}, "finish_reason": reason}
