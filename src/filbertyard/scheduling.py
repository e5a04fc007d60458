"""The queue in front of one replica: order of dispatch and admission control."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol
from typing import TypeVar

from gevent.event import AsyncResult

from .calls import AdapterVersion
from .calls import Call
from .calls import Rank

MAX_QUEUED_CALLS = 2000

# Half-life of the decayed slot usage of a rank.
USAGE_HALF_LIFE_S = 5.0

# Fraction of the batch that is kept free for the most urgent rank.
RESERVED_FRACTION = 0.12

# Calls of a rank above its share are rejected if they would wait longer than this
# fraction of its target: a longer standing queue delays every response without raising
# the throughput.
MAX_EXCESS_WAIT_TARGETS = 0.6

# Added to the reported wait of a rank above its share. It is longer than a usual
# adapter load, so that hot adapters spread to other replicas before their calls queue.
EXCESS_WAIT_PENALTY_S = 0.8

# A rank counts as having demand for this long after its last call.
DEMAND_TTL_S = 5.0

# With this fraction of the batch in use, a rank above its share takes slots that the
# other ranks need.
CONTENDED_FRACTION = 0.8

SERVICE_TIME_SMOOTHING = 0.1


@dataclass(slots=True, eq=False)
class QueuedCall:
    """One queued call; `dispatched` is its dispatch time, None if it was rejected."""

    call: Call
    attempt: int
    arrived: float
    dispatched: AsyncResult[float | None] = field(default_factory=AsyncResult)
    stalled: bool = False
    rejection: Rejection | None = None
    queued: bool = False


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a call was not admitted, and when to retry it."""

    cause: str
    retry_after_s: float


@dataclass(slots=True)
class Demand:
    """Waiting calls of one adapter version; tier 0 is below the share, 1 above."""

    worth: float = 0.0
    tier: int = 1


class CallQueue(Protocol):
    """A queue policy; times are in seconds on the owner's monotonic clock."""

    batch_size: int
    is_ready: Callable[[QueuedCall], bool]

    def tier(self, rank: Rank, now: float) -> int:
        """Return 0 for a rank below its share and 1 for one above."""

    def offer(
        self, item: QueuedCall, now: float, stall_s: float = 0.0
    ) -> Rejection | None:
        """Add a call whose adapter is loaded after `stall_s`, or reject it."""

    def shed(self, now: float) -> QueuedCall | None:
        """Remove and return the call to reject when the queue is over its bound."""

    def take(self, now: float, free: int = 1) -> QueuedCall | None:
        """Remove and return the next call for one of `free` batch slots."""

    def start(self, rank: Rank, now: float) -> None:
        """Record that a call took a batch slot."""

    def remove(self, item: QueuedCall) -> None:
        """Remove a call that no longer waits."""

    def finish(self, rank: Rank, busy_s: float, now: float) -> None:
        """Record a finished call that held a batch slot for `busy_s`."""

    def waits(self, now: float) -> dict[str, float]:
        """Return the estimated wait of each rank in seconds."""

    def waiting_demand(self, now: float) -> dict[AdapterVersion, Demand]:
        """Return the demand of the waiting calls for each adapter version."""

    def clear(self) -> list[QueuedCall]:
        """Remove and return all waiting calls."""

    def __len__(self) -> int:
        """Return the number of waiting calls."""


QUEUE_POLICIES: dict[str, Callable[[], CallQueue]] = {}


Q = TypeVar("Q", bound=Callable[[], CallQueue])


def queue_policy(name: str) -> Callable[[Q], Q]:
    """Register a queue policy under `name`."""

    def register(cls: Q) -> Q:
        QUEUE_POLICIES[name] = cls
        return cls

    return register


def create_queue(policy: str) -> CallQueue:
    """Return an empty queue of the policy `policy`."""
    return QUEUE_POLICIES[policy]()


@queue_policy("naive")
class FifoQueue:
    """First come first served, without ranks."""

    def __init__(self) -> None:
        self.items: list[QueuedCall] = []
        self.batch_size = 1
        self.is_ready: Callable[[QueuedCall], bool] = lambda item: True

    def tier(self, rank: Rank, now: float) -> int:
        """Return 0: this policy has no shares."""
        return 0

    def offer(
        self, item: QueuedCall, now: float, stall_s: float = 0.0
    ) -> Rejection | None:
        """Add a call, or reject it when the queue is full."""
        if len(self.items) >= MAX_QUEUED_CALLS:
            return Rejection("queue_full", 1.0)
        self.items.append(item)
        return None

    def shed(self, now: float) -> QueuedCall | None:
        """Return None: a full queue rejects new calls."""
        return None

    def take(self, now: float, free: int = 1) -> QueuedCall | None:
        """Return the oldest ready call."""
        for position, item in enumerate(self.items):
            if self.is_ready(item):
                return self.items.pop(position)
        return None

    def remove(self, item: QueuedCall) -> None:
        """Remove a call that no longer waits."""
        if item in self.items:
            self.items.remove(item)

    def start(self, rank: Rank, now: float) -> None:
        """Ignore usage."""

    def finish(self, rank: Rank, busy_s: float, now: float) -> None:
        """Ignore usage."""

    def waits(self, now: float) -> dict[str, float]:
        """Return nothing: this policy estimates no waits."""
        return {}

    def waiting_demand(self, now: float) -> dict[AdapterVersion, Demand]:
        """Return the adapter versions that calls wait for, the oldest call first."""
        demands: dict[AdapterVersion, Demand] = {}
        for item in self.items:
            adapter = item.call.adapter
            if adapter is not None:
                demand = demands.setdefault(adapter, Demand())
                demand.worth += item.call.rank.worth
        return demands

    def clear(self) -> list[QueuedCall]:
        """Remove and return all waiting calls."""
        items, self.items = self.items, []
        return items

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self.items)


@dataclass(slots=True)
class TeamQueue:
    """Waiting calls of one team in one rank; the least `start_tag` is served next."""

    start_tag: float = 0.0
    adapters: dict[AdapterVersion | None, deque[QueuedCall]] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class RankQueue:
    """Waiting calls and usage of one rank."""

    rank: Rank
    teams: dict[str, TeamQueue] = field(default_factory=dict)
    length: int = 0
    virtual_time: float = 0.0
    used_slots: float = 0.0
    running: int = 0
    dispatched: float = 0.0
    last_arrival: float = -math.inf


@queue_policy("shares")
class ShareQueue:
    """Ranks below their share first, then by urgency; teams by fair queueing."""

    def __init__(self) -> None:
        self.ranks: dict[str, RankQueue] = {}
        self.batch_size = 1
        self.is_ready: Callable[[QueuedCall], bool] = lambda item: True
        self.length = 0
        self.service_s = 1.0
        self.decayed_at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self.length

    def rank_queue(self, rank: Rank) -> RankQueue:
        """Return the queue of a rank, with its newest settings."""
        queue = self.ranks.get(rank.name)
        if queue is None:
            queue = self.ranks[rank.name] = RankQueue(rank)
            ordered = sorted(self.ranks.items(), key=lambda pair: pair[1].rank.urgency)
            self.ranks = dict(ordered)
        elif queue.rank is not rank and queue.rank != rank:
            queue.rank = rank
        return queue

    def decay_usage(self, now: float) -> None:
        """Decay the slot usage and the dispatches of all ranks up to `now`."""
        factor = 0.5 ** ((now - self.decayed_at) / USAGE_HALF_LIFE_S)
        self.decayed_at = now
        for queue in self.ranks.values():
            queue.used_slots = queue.used_slots * factor + queue.running * (1 - factor)
            queue.dispatched *= factor

    def is_below_share(self, queue: RankQueue) -> bool:
        """Tell if a rank's decayed slot usage is below its share."""
        return queue.used_slots < queue.rank.share * self.batch_size

    def is_excess(self, queue: RankQueue) -> bool:
        """Tell if a rank is above its share at the expense of other ranks.

        Running calls count too: the decayed usage shows a flood only after seconds,
        in which the queue would fill.
        """
        running = sum(other.running for other in self.ranks.values())
        if running < CONTENDED_FRACTION * self.batch_size:
            return False
        used = max(queue.used_slots, queue.running)
        return used >= queue.rank.share * self.batch_size

    def tier(self, rank: Rank, now: float) -> int:
        """Return 1 for a rank above its share in a contended batch, else 0."""
        self.decay_usage(now)
        return 1 if self.is_excess(self.rank_queue(rank)) else 0

    def service_order(self) -> list[RankQueue]:
        """Return the ranks with waiting calls, the next to be served first."""
        waiting = [queue for queue in self.ranks.values() if queue.length]
        return sorted(waiting, key=lambda queue: not self.is_below_share(queue))

    def offer(
        self, item: QueuedCall, now: float, stall_s: float = 0.0
    ) -> Rejection | None:
        """Add a call, or reject it when its estimated wait is too long."""
        rank = item.call.rank
        queue = self.rank_queue(rank)
        self.decay_usage(now)
        queue.last_arrival = now
        wait = max(self.estimate_team_wait(queue, item.call.team), stall_s)
        if wait > self.max_wait(queue):
            return Rejection("wait_too_long", wait)
        team = queue.teams.get(item.call.team)
        if team is None:
            team = queue.teams[item.call.team] = TeamQueue()
        if not team.adapters:
            team.start_tag = max(team.start_tag, queue.virtual_time)
        waiting = team.adapters.get(item.call.adapter)
        if waiting is None:
            waiting = team.adapters[item.call.adapter] = deque()
        waiting.append(item)
        item.queued = True
        queue.length += 1
        self.length += 1
        return None

    def max_wait(self, queue: RankQueue) -> float:
        """Return the estimated wait above which calls of a rank are rejected."""
        if not self.is_excess(queue):
            return queue.rank.patience_s
        return min(queue.rank.patience_s, MAX_EXCESS_WAIT_TARGETS * queue.rank.target_s)

    def estimate_wait(self, queue: RankQueue) -> float:
        """Estimate the wait of a new call of a rank, in seconds."""
        ready = sum(self.ready_calls(team) for team in queue.teams.values())
        return ready / self.expected_rate(queue)

    def estimate_team_wait(self, queue: RankQueue, team_name: str) -> float:
        """Estimate the wait of a new call of one team under fair queueing."""
        counts = {
            name: self.ready_calls(team)
            for name, team in queue.teams.items()
            if team.adapters
        }
        own = counts.get(team_name, 0)
        # Every other team is served as many calls while this team's are served.
        ahead = own + sum(
            min(count, own + 1) for name, count in counts.items() if name != team_name
        )
        return ahead / self.expected_rate(queue)

    def ready_calls(self, team: TeamQueue) -> int:
        """Return the number of a team's calls that do not wait for a load."""
        return sum(
            len(items) for items in team.adapters.values() if self.is_ready(items[0])
        )

    def expected_rate(self, queue: RankQueue) -> float:
        """Estimate at how many calls per second a rank is served."""
        full_rate = self.batch_size / self.service_s
        window = USAGE_HALF_LIFE_S / math.log(2)
        rate = max(queue.rank.share * full_rate, queue.dispatched / window, 1e-3)
        return min(rate, full_rate)

    def shed(self, now: float) -> QueuedCall | None:
        """Remove the newest call of the lowest-worth rank, above-share ranks first."""
        if self.length <= MAX_QUEUED_CALLS:
            return None
        queues = [queue for queue in self.ranks.values() if queue.length]
        queue = min(queues, key=lambda q: (self.is_below_share(q), q.rank.worth))
        newest = max(
            (
                waiting[-1]
                for team in queue.teams.values()
                for waiting in team.adapters.values()
            ),
            key=lambda item: item.arrived,
        )
        self.remove(newest)
        newest.rejection = Rejection("queue_full", max(0.1, self.estimate_wait(queue)))
        return newest

    def take(self, now: float, free: int = 1) -> QueuedCall | None:
        """Return the next ready call of the rank and team whose turn it is."""
        self.decay_usage(now)
        for queue in self.service_order():
            if free <= self.reserved_slots(queue, now):
                continue
            by_turn = sorted(queue.teams.values(), key=lambda team: team.start_tag)
            for team in by_turn:
                item = oldest_ready(team, self.is_ready)
                if item is None:
                    continue
                queue.virtual_time = max(queue.virtual_time, team.start_tag)
                team.start_tag += float(max(1, item.call.max_tokens))
                self.remove(item)
                queue.dispatched += 1.0
                return item
        return None

    def reserved_slots(self, queue: RankQueue, now: float) -> int:
        """Return the slots that `queue` leaves free for the most urgent rank."""
        most_urgent = next(iter(self.ranks.values()))
        if queue is most_urgent or self.is_excess(most_urgent):
            return 0
        if now - most_urgent.last_arrival > DEMAND_TTL_S or not self.is_excess(queue):
            return 0
        return int(RESERVED_FRACTION * self.batch_size)

    def remove(self, item: QueuedCall) -> None:
        """Remove a call that no longer waits."""
        if not item.queued:
            return
        item.queued = False
        queue = self.ranks[item.call.rank.name]
        team = queue.teams[item.call.team]
        waiting = team.adapters[item.call.adapter]
        if waiting[0] is item:
            waiting.popleft()
        elif waiting[-1] is item:
            waiting.pop()
        else:
            waiting.remove(item)
        if not waiting:
            del team.adapters[item.call.adapter]
        queue.length -= 1
        self.length -= 1

    def clear(self) -> list[QueuedCall]:
        """Remove and return all waiting calls."""
        items = [
            item
            for queue in self.ranks.values()
            for team in queue.teams.values()
            for waiting in team.adapters.values()
            for item in waiting
        ]
        for item in items:
            self.remove(item)
        return items

    def start(self, rank: Rank, now: float) -> None:
        """Record that a call took a batch slot."""
        self.decay_usage(now)
        self.rank_queue(rank).running += 1

    def finish(self, rank: Rank, busy_s: float, now: float) -> None:
        """Record a finished call that held a batch slot for `busy_s`."""
        self.decay_usage(now)
        self.rank_queue(rank).running -= 1
        self.service_s += SERVICE_TIME_SMOOTHING * (busy_s - self.service_s)

    def waits(self, now: float) -> dict[str, float]:
        """Return the estimated wait of each rank in seconds, for the choice of replica.

        A rank above its share gets a penalty: replicas where it is below its share
        serve it better.
        """
        return {
            name: self.estimate_wait(queue)
            + (EXCESS_WAIT_PENALTY_S if self.is_excess(queue) else 0.0)
            for name, queue in self.ranks.items()
        }

    def waiting_demand(self, now: float) -> dict[AdapterVersion, Demand]:
        """Return the demand for each adapter version; worth grows with the wait."""
        self.decay_usage(now)
        demands: dict[AdapterVersion, Demand] = {}
        for queue in self.ranks.values():
            if not queue.length:
                continue
            rank = queue.rank
            tier = 1 if self.is_excess(queue) else 0
            for team in queue.teams.values():
                for adapter, items in team.adapters.items():
                    if adapter is None:
                        continue
                    demand = demands.setdefault(adapter, Demand())
                    demand.tier = min(demand.tier, tier)
                    age_factor = 1.0 + (now - items[0].arrived) / rank.target_s
                    demand.worth += rank.worth * len(items) * age_factor
        return demands


def oldest_ready(
    team: TeamQueue, is_ready: Callable[[QueuedCall], bool]
) -> QueuedCall | None:
    """Return the oldest call of a team that can run now."""
    best: QueuedCall | None = None
    for waiting in team.adapters.values():
        item = waiting[0]
        if (best is None or item.arrived < best.arrived) and is_ready(item):
            best = item
    return best
