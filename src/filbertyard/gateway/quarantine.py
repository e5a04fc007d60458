"""Prompts that crash replicas ("queries of death"): what to suspect and to reject.

It covers a flood of requests that share one harmful part of their prompts, beside sound
requests that share the other parts, and replicas that end for reasons of their own. A
replica that ends makes the parts of the requests that it had not begun to answer
suspects; a begun answer clears its parts. Requests with a suspect are sent one at a
time. If the replica of such a probe ends too, requests with all its suspects are
rejected from then on, and what else the same replicas had not begun to answer is no
longer suspected. A part that is cleared later narrows the combination down.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

# A part is no longer suspected this long after the last replica that it may have ended.
SUSPICION_S = 120.0

# How long a combination is rejected before it may be probed again; doubled for each
# further replica that it ends.
INITIAL_REJECTION_S = 60.0
MAX_REJECTION_S = 600.0

# Bounds on the state; the oldest entries are dropped.
MAX_SUSPECTS = 2048
MAX_REJECTIONS = 512
MAX_EXPLAINED = 512

# Ended replicas remembered for each suspect.
MAX_ENDED_REPLICAS = 16


@dataclass(slots=True)
class Suspicion:
    """Incarnations of replicas that ended before answering a part, the last at `at`.

    `was_rejected` tells that the part was rejected until `at`.
    """

    at: float
    ended: dict[str, None] = field(default_factory=dict)
    was_rejected: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """Prompts with all `parts` are rejected until a time on the monotonic clock."""

    parts: frozenset[str]
    until: float


class Quarantine:
    """Suspected and rejected parts of prompts; `now` is on the monotonic clock.

    `explained` holds the incarnations of replicas whose end is known to come from a
    rejected combination.
    """

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.rejections: dict[frozenset[str], Rejection] = {}
        self.explained: dict[str, None] = {}

    def find_rejection(self, parts: Iterable[str], now: float) -> Rejection | None:
        """Return the rejection that applies to a prompt, None if there is none."""
        if not self.rejections:
            return None
        found = set(parts)
        for rejection in self.rejections.values():
            if rejection.parts <= found and now < rejection.until:
                return rejection
        return None

    def suspects(self, parts: Iterable[str], now: float) -> frozenset[str]:
        """Return the suspected parts of a prompt."""
        if not self.suspicions:
            return frozenset()
        return frozenset(
            part
            for part in parts
            if part in self.suspicions and now - self.suspicions[part].at < SUSPICION_S
        )

    def suspect(self, parts: Iterable[str], incarnation: str, now: float) -> None:
        """Suspect the parts of a request whose replica ended before answering it."""
        rejection = self.find_rejection(parts, now)
        if rejection is not None:
            parts = rejection.parts
            self.explain([incarnation], rejection.parts)
        elif incarnation in self.explained:
            return
        for part in parts:
            suspicion = self.suspicions.pop(part, None) or Suspicion(now)
            suspicion.at = now
            suspicion.ended[incarnation] = None
            while len(suspicion.ended) > MAX_ENDED_REPLICAS:
                del suspicion.ended[next(iter(suspicion.ended))]
            self.suspicions[part] = suspicion
        drop_oldest(self.suspicions, MAX_SUSPECTS)

    def clear(self, parts: Iterable[str]) -> frozenset[str]:
        """Clear the parts of a request that began; return those that were suspected."""
        if not self.suspicions and not self.rejections:
            return frozenset()
        rejected = frozenset().union(*self.rejections)
        cleared = frozenset(p for p in parts if p in self.suspicions or p in rejected)
        for part in cleared:
            self.suspicions.pop(part, None)
        for key, rejection in list(self.rejections.items()):
            if key & cleared:
                del self.rejections[key]
                self.reject(key - cleared, rejection.until)
        return cleared

    def culprits(self, probed: frozenset[str], incarnation: str) -> frozenset[str]:
        """Return the probed parts to reject after the probe's replica has ended.

        They are suspected of having ended another replica before. There are none while
        another request with such a suspect may have ended the probe's replica.
        """
        repeated = {
            part: suspicion
            for part, suspicion in self.suspicions.items()
            if len(suspicion.ended) > 1 or suspicion.was_rejected
        }
        for part, suspicion in repeated.items():
            if incarnation in suspicion.ended and part not in probed:
                return frozenset()
        return frozenset(part for part in probed if part in repeated)

    def reject_culprits(self, parts: frozenset[str], until: float) -> None:
        """Reject a combination, and clear what else its replicas made suspects."""
        ended: dict[str, None] = {}
        for part in parts & self.suspicions.keys():
            ended.update(self.suspicions[part].ended)
        self.reject(parts, until)
        self.explain(ended, parts)

    def explain(self, incarnations: Iterable[str], culprits: frozenset[str]) -> None:
        """Record why replicas ended; drop suspicions that rest on nothing else."""
        self.explained.update(dict.fromkeys(incarnations))
        drop_oldest(self.explained, MAX_EXPLAINED)
        for part, suspicion in list(self.suspicions.items()):
            if part in culprits:
                continue
            for incarnation in self.explained.keys() & suspicion.ended.keys():
                del suspicion.ended[incarnation]
            if not suspicion.ended and not suspicion.was_rejected:
                del self.suspicions[part]

    def rejection_s(self, parts: Iterable[str]) -> float:
        """Return how long to reject a combination."""
        ended = [len(self.suspicions[p].ended) for p in parts if p in self.suspicions]
        further = max(0, min(ended, default=2) - 2)
        return float(min(MAX_REJECTION_S, INITIAL_REJECTION_S * 2**further))

    def reject(self, parts: frozenset[str], until: float) -> None:
        """Reject prompts with all these parts until a time."""
        if not parts:
            return
        known = self.rejections.pop(parts, None)
        until = max(until, known.until) if known is not None else until
        self.rejections[parts] = Rejection(parts, until)
        drop_oldest(self.rejections, MAX_REJECTIONS)

    def lift(self, parts: frozenset[str], now: float) -> None:
        """End a rejection; its parts may be probed."""
        if self.rejections.pop(parts, None) is None:
            return
        for part in parts:
            suspicion = self.suspicions.setdefault(part, Suspicion(now))
            suspicion.at = now
            suspicion.was_rejected = True

    def expire(self, now: float) -> None:
        """Lift rejections and drop suspicions whose time has passed."""
        for parts, rejection in list(self.rejections.items()):
            if now >= rejection.until:
                self.lift(parts, now)
        for part, suspicion in list(self.suspicions.items()):
            if now - suspicion.at >= SUSPICION_S:
                del self.suspicions[part]


def drop_oldest(table: dict[Any, Any], limit: int) -> None:
    """Drop the oldest entries of a table beyond its limit."""
    while len(table) > limit:
        del table[next(iter(table))]
