"""Permits for requests with suspected prompt parts: one at a time for each part."""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterable

from gevent.event import Event

# A permit whose holder reports nothing ends after this time.
PERMIT_S = 3.0

# Waiting requests check this often whether a permit has ended by time.
CHECK_INTERVAL_S = 0.25


class ProbeGate:
    """Permits that one host grants for the whole fleet.

    `suspects` returns those of a prompt's parts that are suspected now, `is_rejected`
    tells if the prompt is rejected altogether.
    """

    def __init__(
        self,
        suspects: Callable[[Iterable[str]], frozenset[str]],
        is_rejected: Callable[[Iterable[str]], bool],
    ) -> None:
        self.suspects = suspects
        self.is_rejected = is_rejected
        self.holders: dict[str, tuple[str, float]] = {}
        self.changed = Event()

    def acquire(self, request_id: str, parts: Iterable[str], wait_s: float) -> bool:
        """Wait for the permits of all suspected parts; tell if the request may go."""
        end = time.monotonic() + wait_s
        while True:
            now = time.monotonic()
            if self.is_rejected(parts):
                return False
            wanted = self.suspects(parts)
            if not any(self.is_held(part, request_id, now) for part in wanted):
                for part in wanted:
                    self.holders[part] = (request_id, now + PERMIT_S)
                return True
            if now >= end:
                return False
            self.changed.clear()
            self.changed.wait(timeout=min(end - now, CHECK_INTERVAL_S))

    def is_held(self, part: str, request_id: str, now: float) -> bool:
        """Tell if another request holds the permit of a part."""
        holder, until = self.holders.get(part, ("", 0.0))
        return holder != request_id and now < until

    def release(self, request_id: str) -> None:
        """End the permits of a request."""
        for part, (holder, _) in list(self.holders.items()):
            if holder == request_id:
                del self.holders[part]
        self.changed.set()
