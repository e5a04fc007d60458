"""Where a request goes: one estimate of the time to its first event per replica.

Load patterns: popularity is skewed and shifts, one request in six meets an adapter
that is nowhere, and many hosts choose at once from reports that lag.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# Seconds of waiting that a certain failure is worth.
FAILURE_COST_S = 2.0

# Seconds that one step down in the preference order of an adapter costs. Hosts that
# decide at the same time agree on the same replicas by this.
PREFERENCE_S = 0.03

# Beyond this place the preference does not count further.
PREFERENCE_DEPTH = 5

# A replica whose owner did not report for this long is used last.
UNKNOWN_OWNER_S = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One replica as this host sees it; times are in seconds.

    `load_left_s` is the rest of a fetch under way, negative if there is none;
    `load_wait_s` the time until an adapter could be there, infinite if never.
    """

    replica: str
    wait_s: float
    is_resident: bool
    load_left_s: float
    load_wait_s: float
    is_owner_known: bool
    failure_rate: float


def preference(adapter: str, replica: str) -> int:
    """Return the score of a replica for an adapter (rendezvous hashing)."""
    return int(xxhash.xxh64_intdigest(f"{adapter}|{replica}"))


def estimate_s(candidate: Candidate, place: int) -> float:
    """Return the estimated time to the first event; infinite if it cannot run."""
    cost = candidate.wait_s + FAILURE_COST_S * candidate.failure_rate
    if not candidate.is_owner_known:
        cost += UNKNOWN_OWNER_S
    if candidate.is_resident:
        return cost
    preferred = PREFERENCE_S * min(place, PREFERENCE_DEPTH)
    if candidate.load_left_s >= 0:
        return max(cost, candidate.load_left_s) + preferred
    return cost + candidate.load_wait_s + preferred


def choose(adapter: str, candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the replica with the least estimate, None if none can run the request."""
    ordered = sorted(
        candidates, key=lambda item: preference(adapter, item.replica), reverse=True
    )
    best: Candidate | None = None
    least = math.inf
    for place, candidate in enumerate(ordered):
        cost = estimate_s(candidate, place)
        if cost < least:
            best, least = candidate, cost
    return best


@dataclass(frozen=True, slots=True)
class PlainCandidate:
    """One replica of a plain service as this host sees it."""

    replica: str
    running: int
    slots: int
    failure_rate: float
    is_near: bool


# Part of a replica's slots that a nearer zone is worth when loads are equal.
NEAR_FRACTION = 0.05


def choose_plain(candidates: Iterable[PlainCandidate], draw: float) -> str | None:
    """Return the least loaded replica; `draw` from 0 to 1 breaks ties."""
    best: str | None = None
    least = math.inf
    for index, item in enumerate(sorted(candidates, key=lambda c: c.replica)):
        load = (item.running + 1) / max(1, item.slots)
        cost = load / max(0.05, 1.0 - item.failure_rate)
        cost += FAILURE_COST_S * item.failure_rate
        cost -= NEAR_FRACTION * item.is_near
        cost += 0.01 * ((draw + index * 0.618) % 1.0)
        if cost < least:
            best, least = item.replica, cost
    return best
