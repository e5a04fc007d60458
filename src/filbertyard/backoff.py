"""Delays between attempts that fail, so that an outage is not met by a flood."""

from __future__ import annotations

import random


class Backoff:
    """Exponential delays with jitter, from `min_s` up to `max_s`."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.failures = 0

    def next_delay_s(self) -> float:
        """Return the delay after one more failure, a random part of the limit."""
        limit_s = min(self.max_s, self.min_s * 2**self.failures)
        if limit_s < self.max_s:
            self.failures += 1
        return float(limit_s * random.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Start with the shortest delay again, after a success."""
        self.failures = 0
