"""Where a request goes: one estimate of the time to its first event per replica.

Load patterns: popularity is skewed and shifts, one request in six meets an adapter
that is nowhere, and many hosts choose at once from reports that lag (herds).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

# Seconds of waiting that a certain failure is worth.
FAILURE_PENALTY_S = 2.0

# Reading that requests of other hosts, unseen until the next report, bring to a replica
# in a second: the part of its time that an engine is given for reading.
UNSEEN_PREFILL_RATIO = 0.7

# Differences between estimates below this do not count where an adapter is missing, so
# that hosts with slightly different views load it on the same replica.
COST_TOLERANCE_S = 0.03

# A replica whose owner did not report for this long is used last.
UNKNOWN_OWNER_PENALTY_S = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One replica as this host sees it; times are in seconds.

    `load_left_s` is the rest of a fetch under way, negative if there is none;
    `load_wait_s` the time until an adapter could be there, infinite if never; `age_s`
    the age of the report behind all this.
    """

    replica: str
    wait_s: float
    is_resident: bool
    load_left_s: float
    load_wait_s: float
    is_owner_known: bool
    failure_rate: float
    age_s: float = 0.0


def estimate_first_event_s(candidate: Candidate) -> float:
    """Return the estimated time to the first event; infinite if it cannot run."""
    cost = candidate.wait_s + FAILURE_PENALTY_S * candidate.failure_rate
    if not candidate.is_owner_known:
        cost += UNKNOWN_OWNER_PENALTY_S
    if candidate.is_resident:
        return cost
    if candidate.load_left_s >= 0:
        return max(cost, candidate.load_left_s)
    return cost + candidate.load_wait_s


def water_level_s(costs: Iterable[float], volume_s: float) -> float:
    """Return the cost to which work of `volume_s` fills up the cheapest replicas."""
    level = math.inf
    total = 0.0
    for count, cost in enumerate(sorted(costs), start=1):
        if cost >= level:
            break
        total += cost
        level = (total + volume_s) / count
    return level


def hash_fraction(key: str, replica: str) -> float:
    """Return a number between 0 and 1 that depends on the key and the replica only."""
    return float((xxhash.xxh64_intdigest(f"{key}|{replica}") + 1) / (2**64 + 2))


def pick_weighted(
    costs: Mapping[Candidate, float], level_s: float, key: str
) -> Candidate:
    """Return a candidate, drawn in proportion to the room below a level of cost.

    Weighted rendezvous hashing: the same key gives the same choice on all hosts, as far
    as they see the same room.
    """
    return max(
        costs,
        key=lambda item: (
            (level_s - costs[item]) / -math.log(hash_fraction(key, item.replica)),
            hash_fraction(key, item.replica),
        ),
    )


def choose_replica(
    adapter: str, candidates: Iterable[Candidate], request: str = ""
) -> Candidate | None:
    """Return where a request should go, None if no replica can run it.

    If all hosts took the replica with the least estimate, they would all take the same
    one until its next report. So the requests that the reports do not show yet are
    spread as if they filled up the cheapest replicas to one level. Requests for an
    adapter that some replicas hold are drawn among these one by one; a missing adapter
    is drawn once, since every further replica would have to load it.
    """
    best: Candidate | None = None
    least = math.inf
    holders: dict[Candidate, float] = {}
    others: dict[Candidate, float] = {}
    for item in candidates:
        cost = estimate_first_event_s(item)
        if not math.isinf(cost):
            is_there = item.is_resident or item.load_left_s >= 0
            (holders if is_there else others)[item] = cost
    for costs, floor_s, key in (
        (holders, 0.0, request),
        (others, COST_TOLERANCE_S, adapter),
    ):
        if not costs:
            continue
        age_s = sum(item.age_s for item in costs) / len(costs)
        volume_s = len(costs) * max(floor_s, UNSEEN_PREFILL_RATIO * age_s)
        level_s = water_level_s(costs.values(), volume_s)
        if level_s < least:
            best, least = pick_weighted(costs, level_s, key), level_s
    return best


@dataclass(frozen=True, slots=True)
class PlainCandidate:
    """One replica of a plain service as this host sees it."""

    replica: str
    running: int
    slots: int
    failure_rate: float
    is_same_zone: bool


# Part of a replica's slots that a nearer zone is worth when loads are equal.
SAME_ZONE_BONUS = 0.05


def choose_plain(candidates: Iterable[PlainCandidate], tie_break: float) -> str | None:
    """Return the least loaded replica; `tie_break` from 0 to 1 breaks ties."""
    best: str | None = None
    least = math.inf
    for index, item in enumerate(sorted(candidates, key=lambda c: c.replica)):
        load = (item.running + 1) / max(1, item.slots)
        cost = load / max(0.05, 1.0 - item.failure_rate)
        cost += FAILURE_PENALTY_S * item.failure_rate
        cost -= SAME_ZONE_BONUS * item.is_same_zone
        cost += 0.01 * ((tie_break + index * 0.618) % 1.0)
        if cost < least:
            best, least = item.replica, cost
    return best
