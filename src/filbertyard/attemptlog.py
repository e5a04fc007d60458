"""The owner's record of attempts: those sent to an upstream and those barred."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .messages import Message
from .messages import message

# Longest exchange after which the age in a question is precise enough for `barred`.
QUESTION_TIMEOUT_S = 1.0

MAX_SENT = 20_000
MAX_BARRED = 20_000


@message("attempt_question")
@dataclass(slots=True)
class AttemptQuestion(Message):
    """Ask if an attempt that began `age_s` ago was sent to the upstream."""

    origin: str
    request_id: str
    attempt: int
    age_s: float


@message("attempt_answer")
@dataclass(slots=True)
class AttemptAnswer(Message):
    """Answer `sent`, `barred` (not sent and never will be) or `unknown`."""

    answer: str


class AttemptKey(NamedTuple):
    """Identify one attempt of one entry host."""

    origin: str
    request_id: str
    attempt: int


class AttemptLog:
    """Bounded record of one host's attempts; complete since `complete_since`."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.complete_since = now()
        self.sent: dict[AttemptKey, float] = {}
        self.barred: dict[AttemptKey, None] = {}

    def begin(self, key: AttemptKey) -> bool:
        """Record that an attempt is about to be sent; False if it is barred."""
        if key in self.barred:
            return False
        if len(self.sent) >= MAX_SENT:
            oldest = next(iter(self.sent))
            self.complete_since = max(self.complete_since, self.sent.pop(oldest))
        self.sent[key] = self.now()
        return True

    def withdraw(self, key: AttemptKey) -> None:
        """Record that an attempt certainly did not reach the upstream."""
        self.sent.pop(key, None)
        self.bar(key)

    def bar(self, key: AttemptKey) -> None:
        """Bar an attempt from being sent."""
        if len(self.barred) >= MAX_BARRED:
            self.barred.pop(next(iter(self.barred)))
        self.barred[key] = None

    def answer(self, question: AttemptQuestion) -> str:
        """Return `sent`, `barred` or `unknown`; an unsent attempt is barred.

        The age was measured before the question was sent, at most QUESTION_TIMEOUT_S
        ago, so the attempt may be older by that much. An attempt from before
        `complete_since` may belong to an earlier process or to a dropped record.
        """
        key = AttemptKey(question.origin, question.request_id, question.attempt)
        if key in self.sent:
            return "sent"
        if key in self.barred:
            return "barred"
        if self.now() - question.age_s - QUESTION_TIMEOUT_S <= self.complete_since:
            return "unknown"
        self.bar(key)
        return "barred"

    def handle(self, host: str, question: AttemptQuestion) -> Message:
        """Answer the question of another host."""
        return AttemptAnswer(self.answer(question))


def create_attempt_log() -> AttemptLog:
    """Return an empty log."""
    return AttemptLog()
