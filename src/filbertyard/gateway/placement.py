"""Choice of a replica by the estimated time to the first event.

It covers skewed and shifting popularity, one request in six for an adapter that is
resident nowhere, and many hosts that choose at once from stale reports (herding).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from ..zonecosts import Crossing
from .speeds import LONG_PROMPT_PENALTY_S

# Waiting time equivalent to a failure rate of 1.
FAILURE_PENALTY_S = 2.0

# Prefill time that a replica is assumed to get per second from requests not yet in its
# published load; about the fraction of their time that engines spend on prefill.
UNSEEN_PREFILL_RATIO = 0.7

# Smaller differences between estimates are ignored for an absent adapter, so that hosts
# with slightly different views load it on the same replica.
COST_TOLERANCE_S = 0.03

# Added to the estimate of a replica without a recent published load.
UNKNOWN_OWNER_PENALTY_S = 0.3


@dataclass(frozen=True, slots=True)
class Candidate:
    """One replica as this host sees it; times are in seconds.

    `load_left_s` is the remaining time of the adapter's load, negative if there is
    none; `load_wait_s` the time until an absent adapter could be loaded, infinite if
    never; `age_s` the age of the published load. `prefill_s` is the time to read the
    prompt, 0 where the replica does not report its speed. With `is_prompt_long` the
    prompt may delay the events of running streams too long.
    """

    replica: str
    wait_s: float
    is_resident: bool
    load_left_s: float
    load_wait_s: float
    is_owner_known: bool
    failure_rate: float
    age_s: float = 0.0
    prefill_s: float = 0.0
    is_prompt_long: bool = False


def estimate_first_event_s(candidate: Candidate) -> float:
    """Return the estimated time to the first event in seconds, infinite if never."""
    cost = candidate.wait_s + FAILURE_PENALTY_S * candidate.failure_rate
    if not candidate.is_owner_known:
        cost += UNKNOWN_OWNER_PENALTY_S
    run_s = candidate.prefill_s
    if candidate.is_prompt_long:
        run_s += LONG_PROMPT_PENALTY_S
    if candidate.is_resident:
        return cost + run_s
    if candidate.load_left_s >= 0:
        return max(cost, candidate.load_left_s) + run_s
    return cost + candidate.load_wait_s + run_s


def water_level_s(costs: Iterable[float], volume_s: float) -> float:
    """Return the level to which `volume_s` of work raises the lowest costs.

    Water filling: the cheapest replicas get work until their costs are equal.
    """
    level = math.inf
    total = 0.0
    for count, cost in enumerate(sorted(costs), start=1):
        if cost >= level:
            break
        total += cost
        level = (total + volume_s) / count
    return level


def hash_fraction(key: str, replica: str) -> float:
    """Return a hash of key and replica as a number between 0 and 1, exclusive."""
    return float((xxhash.xxh64_intdigest(f"{key}|{replica}") + 1) / (2**64 + 2))


def pick_weighted(
    costs: Mapping[Candidate, float], level_s: float, key: str
) -> Candidate:
    """Return a candidate with a probability proportional to `level_s` minus its cost.

    Weighted rendezvous hashing: all hosts with the same costs make the same choice for
    a key.
    """
    return max(
        costs,
        key=lambda item: (
            (level_s - costs[item]) / -math.log(hash_fraction(key, item.replica)),
            hash_fraction(key, item.replica),
        ),
    )


def choose_replica(
    adapter: str,
    candidates: Iterable[Candidate],
    request: str = "",
    crossing: Crossing | None = None,
) -> Candidate | None:
    """Return where a request should go, None if no replica can run it.

    If all hosts chose the replica with the lowest estimate, they would all choose the
    same one until its next report. So the requests that the reports don't show yet are
    spread as if they filled up the cheapest replicas to one level. Among the replicas
    that hold or load the adapter, each request is hashed separately; for an absent
    adapter the adapter's name is hashed, since each further replica would have to load
    it. With `crossing`, replicas of other zones cost its price more, and the unseen
    requests are those that arrive in the own zone.
    """
    demand_share = crossing.demand_share if crossing is not None else 1.0
    best: Candidate | None = None
    min_level_s = math.inf
    holders: dict[Candidate, float] = {}
    others: dict[Candidate, float] = {}
    for item in candidates:
        cost = estimate_first_event_s(item)
        if crossing is not None:
            cost += crossing.extra_s(item.replica, UNSEEN_PREFILL_RATIO * item.age_s)
        if not math.isinf(cost):
            is_holder = item.is_resident or item.load_left_s >= 0
            (holders if is_holder else others)[item] = cost
    for costs, min_volume_s, key in (
        (holders, 0.0, request),
        (others, COST_TOLERANCE_S, adapter),
    ):
        if not costs:
            continue
        age_s = sum(item.age_s for item in costs) / len(costs)
        unseen_s = max(min_volume_s, UNSEEN_PREFILL_RATIO * age_s)
        volume_s = demand_share * len(costs) * unseen_s
        level_s = water_level_s(costs.values(), volume_s)
        if level_s < min_level_s:
            best, min_level_s = pick_weighted(costs, level_s, key), level_s
    return best


@dataclass(frozen=True, slots=True)
class PlainCandidate:
    """One replica of a plain service as this host sees it."""

    replica: str
    running: int
    slots: int
    failure_rate: float
    is_same_zone: bool


# Advantage of a replica in the host's own zone, as a fraction of its slots.
SAME_ZONE_BONUS = 0.05

# Shorter runs of plain services count as this long: a millisecond is the resolution of
# their timing.
MIN_RUN_S = 0.001


@dataclass(frozen=True, slots=True)
class PlainWeights:
    """What another zone and a failure rate of 1 cost, as a fraction of all slots."""

    other_zone: float = SAME_ZONE_BONUS
    failure: float = FAILURE_PENALTY_S


DEFAULT_WEIGHTS = PlainWeights()


def weigh_price(price_s: float, run_s: float) -> PlainWeights:
    """Return the weights for a price of another zone and the mean time of a run.

    A request that finds all slots taken waits for a run, so taking all slots stands for
    the time of one. Failures cost as much time as at an engine: no price keeps requests
    at a replica that fails.
    """
    run_s = max(MIN_RUN_S, run_s)
    return PlainWeights(price_s / run_s, FAILURE_PENALTY_S / run_s)


def order_plain(
    candidates: Iterable[PlainCandidate],
    tie_break: float,
    weights: PlainWeights = DEFAULT_WEIGHTS,
) -> list[str]:
    """Return replicas of a plain service, the least loaded first.

    `tie_break` is a random number from 0 to 1.
    """
    costs = {}
    for index, item in enumerate(sorted(candidates, key=lambda c: c.replica)):
        load = (item.running + 1) / max(1, item.slots)
        cost = load / max(0.05, 1.0 - item.failure_rate)
        cost += weights.failure * item.failure_rate
        cost += weights.other_zone * (not item.is_same_zone)
        cost += 0.01 * ((tie_break + index * 0.618) % 1.0)
        costs[item.replica] = cost
    return sorted(costs, key=costs.__getitem__)
