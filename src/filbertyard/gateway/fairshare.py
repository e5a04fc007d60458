"""Shares of workspaces in what one queue gives out, by start-time fair queueing.

It covers a workspace that sends many times its usual while others compete for the same
engine: within a rank they take turns by the tokens that they use. Nothing is reserved,
so that a workspace alone gets everything.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic
from typing import Protocol
from typing import TypeVar

from .types import Configuration
from .types import Quota
from .types import Workspace

Weight = Callable[[str], float]

# Requests of a workspace that start ahead of its share after a pause. Without them, two
# requests of a small workspace that meet at one of many engines wait for turns although
# it uses far less than its share; in simulation, more than two gained nothing.
SAVED_REQUESTS = 2.0

# Tags of workspaces that are kept; beyond it those without a lead are dropped.
MAX_TAGS = 1024

# Half-life of the demand that decides how much of the adapter slots a workspace gets;
# the one of the adapters' own request frequencies.
DEMAND_HALF_LIFE_S = 10.0

# Counted demand below this is dropped.
MIN_DEMAND = 0.01


class Waiting(Protocol):
    """What decides the order in which waiting requests start."""

    rank: int
    arrived: float
    objective_at: float
    workspace: str


W = TypeVar("W", bound=Waiting)


def equal_weight(workspace: str) -> float:
    """Return the weight of a workspace where all have the same."""
    return 1.0


class FairTurns:
    """The turns of workspaces within one rank.

    `finish` has the tag of each workspace: what it got, divided by its weight. The
    lowest is next. `clock` is the highest tag at which a request started; a workspace
    that begins to wait is at most `SAVED_REQUESTS` behind it, so that it saves up
    little while idle.
    """

    def __init__(self, weight: Weight = equal_weight) -> None:
        self.weight = weight
        self.finish: dict[str, float] = {}
        self.clock = 0.0

    def activate(self, workspace: str, cost: float) -> None:
        """Begin to count a workspace that had nothing waiting.

        `cost` is that of its first request.
        """
        least = self.clock - SAVED_REQUESTS * cost / self.weight(workspace)
        self.finish[workspace] = max(least, self.finish.get(workspace, least))

    def charge(self, workspace: str, cost: float) -> None:
        """Count what a started request of a workspace uses."""
        start = self.finish.get(workspace, self.clock)
        self.clock = max(self.clock, start)
        self.finish[workspace] = start + cost / self.weight(workspace)
        if len(self.finish) > MAX_TAGS:
            # A workspace without a tag has the current one.
            self.finish = {
                key: tag for key, tag in self.finish.items() if tag > self.clock
            }

    def interleave(self, items: Iterable[W], cost: Callable[[W], float]) -> list[W]:
        """Return requests in the order of their workspaces' turns.

        Those of one workspace keep their order.
        """
        flows: dict[str, deque[W]] = defaultdict(deque)
        for item in items:
            flows[item.workspace].append(item)
        if len(flows) == 1:
            return list(next(iter(flows.values())))
        heap = [
            (self.finish.get(workspace, self.clock), flow[0].arrived, workspace)
            for workspace, flow in flows.items()
        ]
        heapq.heapify(heap)
        ordered = []
        while heap:
            tag, _, workspace = heap[0]
            flow = flows[workspace]
            item = flow.popleft()
            ordered.append(item)
            if flow:
                tag += cost(item) / self.weight(workspace)
                heapq.heapreplace(heap, (tag, flow[0].arrived, workspace))
            else:
                heapq.heappop(heap)
        return ordered


class FairShares(Generic[W]):
    """The turns of workspaces in each rank of one queue.

    With one workspace, or none, requests of a rank start by arrival.
    """

    def __init__(
        self,
        cost: Callable[[W], float],
        weight: Weight = equal_weight,
    ) -> None:
        self.cost = cost
        self.weight = weight
        self.ranks: dict[int, FairTurns] = {}

    def turns(self, rank: int) -> FairTurns:
        """Return the turns of a rank."""
        found = self.ranks.get(rank)
        if found is None:
            found = self.ranks[rank] = FairTurns(self.weight)
        return found

    def begin(self, item: W, waiting: Iterable[W]) -> None:
        """Count the workspace of a request that is about to wait beside others."""
        if not any(
            other.workspace == item.workspace and other.rank == item.rank
            for other in waiting
        ):
            self.turns(item.rank).activate(item.workspace, self.cost(item))

    def charge(self, item: W) -> None:
        """Count a request that starts."""
        self.turns(item.rank).charge(item.workspace, self.cost(item))

    def order(self, rank: int, items: Iterable[W]) -> list[W]:
        """Return requests of one rank by turn; a workspace's keep their order."""
        return self.turns(rank).interleave(items, self.cost)

    def urgent_first(self, waiting: Iterable[W], late_at: float) -> list[W]:
        """Return requests by rank, then by turn; those late at `late_at` go last."""
        groups: dict[tuple[bool, int], list[W]] = defaultdict(list)
        for item in sorted(waiting, key=lambda item: item.arrived):
            groups[late_at > item.objective_at, item.rank].append(item)
        return [
            item for key in sorted(groups) for item in self.order(key[1], groups[key])
        ]

    def oldest_first(self, waiting: Iterable[W]) -> list[W]:
        """Return requests by arrival, whose workspaces take turns within each rank.

        Each rank keeps the places that its requests have by arrival.
        """
        arrived = sorted(waiting, key=lambda item: item.arrived)
        groups: dict[int, list[W]] = defaultdict(list)
        for item in arrived:
            groups[item.rank].append(item)
        turns = {rank: iter(self.order(rank, items)) for rank, items in groups.items()}
        return [next(turns[item.rank]) for item in arrived]

    def ahead(self, item: W, waiting: Iterable[W]) -> list[W]:
        """Return the waiting requests that start before a new one, by rank and turn."""
        others = sorted(waiting, key=lambda other: other.arrived)
        urgent = [other for other in others if other.rank < item.rank]
        same = [other for other in others if other.rank == item.rank]
        ordered = self.order(item.rank, [*same, item])
        return urgent + ordered[: ordered.index(item)]


@dataclass(slots=True)
class Demand:
    """Exponentially decayed number of requests as of `at`."""

    value: float
    at: float

    def current(self, now: float) -> float:
        """Return the value at a time."""
        return float(self.value * 0.5 ** ((now - self.at) / DEMAND_HALF_LIFE_S))


class DemandShares:
    """The demand of workspaces for the adapter slots of one engine.

    It covers a workspace whose flood asks for many adapters: counted in full, they
    would evict those of all others, which are asked for less often.
    """

    def __init__(self, weight: Weight = equal_weight) -> None:
        self.weight = weight
        self.demands: dict[str, Demand] = {}

    def record(self, workspace: str, now: float) -> float:
        """Count a request; return its weight in the frequency of its adapter.

        It is 1 for a workspace that asks for no more than the others do by their
        weights, and less above, so that its requests together weigh as much as theirs.
        """
        found = self.demands.get(workspace)
        value = 1.0 + (found.current(now) if found is not None else 0.0)
        self.demands[workspace] = Demand(value, now)
        current = {key: item.current(now) for key, item in self.demands.items()}
        self.demands = {
            key: item for key, item in self.demands.items() if current[key] > MIN_DEMAND
        }
        others = {key: current[key] for key in self.demands if key != workspace}
        if not others:
            return 1.0
        weights = sum(self.weight(key) for key in others)
        share = sum(others.values()) * self.weight(workspace) / weights
        return min(1.0, share / value)


def quota_weights(workspaces: Iterable[Workspace]) -> dict[str, float]:
    """Return the weights of workspaces by what their quotas allow them.

    A quota tells what a workspace usually needs: equal shares would reject the work of
    a large one that is within its quota. Without quotas in one unit all weigh the same;
    a workspace without a quota weighs as much as the average of the others.
    """
    quotas: dict[str, Quota | None] = {item.name: item.quota for item in workspaces}
    known = {key: item for key, item in quotas.items() if item is not None}
    if len({item.unit for item in known.values()}) != 1:
        return dict.fromkeys(quotas, 1.0)
    mean = sum(item.per_s for item in known.values()) / len(known)
    return {
        key: item.per_s / mean if item is not None and item.per_s > 0 else 1.0
        for key, item in quotas.items()
    }


class WorkspaceWeights:
    """The weights of the workspaces of the newest configuration."""

    def __init__(self, read: Callable[[], Configuration | None]) -> None:
        self.read = read
        self.configuration: Configuration | None = None
        self.weights: Mapping[str, float] = {}

    def __call__(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 for an unknown one."""
        configuration = self.read()
        if configuration is not self.configuration:
            self.configuration = configuration
            workspaces = configuration.workspaces.values() if configuration else ()
            self.weights = quota_weights(workspaces)
        return self.weights.get(workspace, 1.0)
