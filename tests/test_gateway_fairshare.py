"""Shares of workspaces in scarce room, replayed without processes."""

import random
from collections import Counter
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertyard.gateway.adapterplan import AdapterPlan
from filbertyard.gateway.adapterplan import UnloadStep
from filbertyard.gateway.admission import STARTS_PER_FIFO_START
from filbertyard.gateway.admission import EngineQueue
from filbertyard.gateway.admission import QueuedRequest
from filbertyard.gateway.fairshare import DemandShares
from filbertyard.gateway.fairshare import FairTurns
from filbertyard.gateway.fairshare import WorkspaceWeights
from filbertyard.gateway.fairshare import quota_weights
from filbertyard.gateway.permits import PermitQueue
from filbertyard.gateway.permits import WaitingRequest
from filbertyard.gateway.placement import choose_replica
from filbertyard.gateway.types import AdapterName
from filbertyard.gateway.types import Configuration
from filbertyard.gateway.types import Quota
from filbertyard.gateway.types import Workspace
from filbertyard.gateway.types import create_configuration
from fleetsim import Replay
from fleetsim import Request
from fleetsim import Workload
from fleetsim import share_in_time

A = AdapterName("m", "a")

WORKSPACES = 16
FLOOD = "w0"

FLOOD_AT = 3.0
FLOOD_S = 6.0

# Requests of the flood have numbers from here on.
FLOOD_NUMBER = 1_000_000

# Requests of the workspaces are as skewed as those of the adapters.
USUAL = {f"w{number}": (number + 1) ** -1.2 for number in range(WORKSPACES)}

ENGINES = {
    "engines": 8,
    "slots": 24,
    "adapter_slots": 11,
    "kv_tokens": 87570,
    "event_tokens": 4,
    "publish_s": 0.2,
}


def ready(name: AdapterName) -> bool:
    return True


@dataclass(slots=True)
class Flood(Workload):
    """One workspace sends `times` its usual from second 3 to second 9.

    Without `is_named` the queues do not know the workspaces.
    """

    times: float = 7.5
    is_named: bool = True

    def requests(self, seed: int) -> list[Request]:
        """Return the usual requests and those of the flood."""
        usual = Workload.requests(self, seed)
        rng = random.Random(seed)
        for item in usual:
            item.workspace = rng.choices(list(USUAL), list(USUAL.values()))[0]
        flood = []
        if self.times > 1:
            usual_per_s = self.per_s * USUAL[FLOOD] / sum(USUAL.values())
            flood = Workload(
                usual_per_s * (self.times - 1), FLOOD_S, self.adapters
            ).requests(seed + 1)
        for item in flood:
            item.number += FLOOD_NUMBER
            item.at += FLOOD_AT
            item.workspace = FLOOD
        requests = sorted(usual + flood, key=lambda item: item.at)
        for item in requests:
            item.rank = 0
        if not self.is_named:
            self.hide(requests)
        return requests

    def hide(self, requests: list[Request]) -> None:
        """Drop the workspaces; those of the flood keep their numbers."""
        for item in requests:
            if item.workspace == FLOOD and item.number < FLOOD_NUMBER:
                item.number += FLOOD_NUMBER * 2
            item.workspace = ""


def play(workload: Flood, seed: int) -> list[Request]:
    """Return the requests of a replay on the engines."""
    replay = Replay(choose_replica, weight=lambda name: USUAL.get(name, 1.0), **ENGINES)
    return replay.play(workload, seed)


def of_others(requests: list[Request]) -> list[Request]:
    """Return the requests of the other workspaces during the flood."""
    return [
        item
        for item in requests
        if item.number < FLOOD_NUMBER
        and item.workspace != FLOOD
        and FLOOD_AT <= item.at < FLOOD_AT + FLOOD_S
    ]


def started(requests: list[Request]) -> int:
    """Count the requests whose first event came."""
    return sum(item.first_event_at >= 0 for item in requests)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flood_of_one_workspace_leaves_the_others_their_service(seed: int) -> None:
    """One workspace sends 7.5 times its usual, the fleet has room for twice the usual.

    The others may lose a tenth of their requests in time; without shares they lose
    more than a third.
    """
    calm = share_in_time(of_others(play(Flood(40.0, 12.0, 24, times=1.0), seed)))
    flooded = share_in_time(of_others(play(Flood(40.0, 12.0, 24), seed)))
    unshared = share_in_time(
        of_others(play(Flood(40.0, 12.0, 24, is_named=False), seed))
    )
    assert flooded >= 0.9 * calm
    assert unshared < 0.67 * calm


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shares_waste_no_room_that_others_leave(seed: int) -> None:
    """What the other workspaces leave goes to the flood."""
    shared = play(Flood(40.0, 12.0, 24), seed)
    unshared = play(Flood(40.0, 12.0, 24, is_named=False), seed)
    assert started(shared) >= 0.97 * started(unshared)
    flood = [item for item in shared if item.workspace == FLOOD]
    others = [item for item in shared if item.workspace != FLOOD]
    assert started(flood) >= started(others)


def request(
    number: int,
    workspace: str = "",
    *,
    rank: int = 0,
    at: float = 0.0,
    objective_s: float = 1.0,
    limit_s: float = 60.0,
    prompt: int = 100,
    output: int = 0,
) -> QueuedRequest:
    return QueuedRequest(
        str(number),
        A,
        rank,
        at,
        at + objective_s,
        at + limit_s,
        at + limit_s,
        prompt,
        output,
        workspace,
    )


REQUESTS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 40), st.integers(1, 30)), max_size=30
)


@given(REQUESTS, st.integers(0, 2 * STARTS_PER_FIFO_START), st.integers(0, 60))
def test_without_workspaces_requests_start_by_rank_and_arrival(
    drawn: list[tuple[int, int, int]], starts: int, now: int
) -> None:
    """Guards against another order, or another estimate, where nobody has a key."""
    items = [
        request(number, rank=rank, at=at, objective_s=left)
        for number, (rank, at, left) in enumerate(drawn)
    ]
    queue = EngineQueue(4, 100_000)
    permits = PermitQueue()
    queue.starts = permits.starts = starts
    for item in items:
        queue.shares.begin(item, queue.waiting)
        queue.waiting.append(item)
    permits.waiting = [
        WaitingRequest(
            item.id, item.rank, item.arrived, item.objective_at, 99.0, frozenset("r")
        )
        for item in items
    ]
    is_fifo = starts % STARTS_PER_FIFO_START == STARTS_PER_FIFO_START - 1
    most_urgent = min((item.rank for item in items), default=0)
    urgent = sorted(
        items, key=lambda item: (now > item.objective_at, item.rank, item.arrived)
    )
    oldest = sorted(items, key=lambda item: item.arrived)
    oldest_others = sorted(oldest, key=lambda item: item.rank == most_urgent)
    assert queue.start_order(now) == (oldest if is_fifo else urgent)
    assert [item.id for item in permits.start_order(now)] == [
        item.id for item in (oldest_others if is_fifo else urgent)
    ]
    ahead = queue.shares.ahead(request(99, rank=1, at=now), items)
    assert {item.id for item in ahead} == {item.id for item in items if item.rank <= 1}


def test_ranks_go_before_the_turns_of_workspaces() -> None:
    queue = EngineQueue(64, 100_000)
    for number in range(8):
        queue.enqueue(request(number, "a", rank=0, at=number * 0.01), 0.1, ready)
    queue.enqueue(request(8, "b", rank=1), 0.1, ready)
    queue.starts = 0
    assert queue.start_order(0.1)[-1].id == "8"


def test_a_flood_is_rejected_at_once_and_the_others_are_not() -> None:
    """One workspace has filled its time to start with requests of its own."""
    queue = EngineQueue(1, 100_000)
    queue.run_s = 1.0
    rejections = [
        queue.enqueue(request(number, "flood", limit_s=5.0), 0.0, ready)
        for number in range(20)
    ]
    accepted = [item for item in rejections if item is None]
    assert 4 <= len(accepted) <= 6
    rejected = [item for item in rejections if item is not None]
    assert all(item.cause == "no_time" for item in rejected)
    assert all(item.retry_after_s > 1.0 for item in rejected)
    assert queue.enqueue(request(30, "other", limit_s=5.0), 0.0, ready) is None


def test_a_request_that_expired_is_not_sent_back_to_the_same_queue() -> None:
    """The queue of its workspace is still long when its time to start is over."""
    queue = EngineQueue(1, 100_000)
    queue.run_s = 1.0
    for number in range(20):
        queue.enqueue(request(number, "flood", limit_s=9.0), 0.0, ready)
    late = request(30, "flood", limit_s=5.0)
    assert queue.expired_retry_s(late, 5.0, ready) > 2.0
    other = request(31, "other", limit_s=5.0)
    assert queue.enqueue(other, 0.0, ready) is None
    queue.waiting.remove(other)
    assert queue.expired_retry_s(other, 5.0, ready) < 1.0
    assert queue.expired_retry_s(request(32), 5.0, ready) == 0.0


def test_first_come_starts_are_shared_among_workspaces() -> None:
    """The oldest requests of a rank are all of the workspace that floods."""
    queue = EngineQueue(64, 1_000_000)
    queue.waiting = [request(number, "flood", at=0.0) for number in range(200)]
    queue.waiting += [request(200 + number, "b", at=1.0) for number in range(50)]
    served: Counter[str] = Counter()
    for _ in range(50):
        queue.starts = STARTS_PER_FIFO_START - 1
        item = queue.start_order(2.0)[0]
        queue.start(item, 2.0)
        served[item.workspace] += 1
    assert abs(served["flood"] - served["b"]) <= 2


def test_a_workspace_saves_up_little_while_it_is_idle() -> None:
    turns = FairTurns()
    turns.activate("a", 1.0)
    for _ in range(100):
        turns.charge("a", 1.0)
    turns.activate("b", 1.0)
    items = [request(number, "a") for number in range(10)]
    items += [request(10 + number, "b") for number in range(10)]
    ordered = turns.interleave(items, lambda item: 1.0)
    assert 2 <= sum(item.workspace == "b" for item in ordered[:5]) <= 4
    assert sum(item.workspace == "a" for item in ordered[:10]) >= 3


@pytest.mark.parametrize(("small", "seed"), [(200, 1), (600, 2)])
def test_large_requests_are_neither_starved_nor_block_others(
    small: int, seed: int
) -> None:
    """Many small requests of one workspace beside large ones of another.

    Large ones are at least half as likely to start in time as all, and the memory that
    they wait for does not stay empty.
    """
    rng = random.Random(seed)
    queue = EngineQueue(64, 10_000)
    queue.run_s = 1.0
    queue.prefill_cost.token_s = 1e-6
    ends: list[tuple[float, str]] = []
    counts: Counter[str] = Counter()
    used = 0.0
    now = 0.0
    number = 0
    while now < 60.0:
        now += 0.02
        for end, key in [item for item in ends if item[0] <= now]:
            ends.remove((end, key))
            queue.finish(key, now)
        queue.expire(now)
        for workspace, per_s, size in (
            ("small", 8000 / small, small),
            ("large", 0.8, 6000),
        ):
            if rng.random() < per_s * 0.02:
                number += 1
                item = request(number, workspace, at=now, limit_s=8.0, prompt=size)
                counts[workspace] += 1
                queue.enqueue(item, now, ready)
        while (begun := queue.start_next(now, ready)) is not None:
            counts[f"{begun.workspace} started"] += 1
            ends.append((now + 1.0, begun.id))
        used += queue.memory_tokens * 0.02
    share = {key: counts[f"{key} started"] / counts[key] for key in ("small", "large")}
    total = (counts["small started"] + counts["large started"]) / (
        counts["small"] + counts["large"]
    )
    assert share["large"] >= 0.5 * total
    assert share["small"] >= 0.5
    assert used / now >= 0.7 * 9000


def test_only_other_workspaces_overtake_a_request_that_waits_for_memory() -> None:
    queue = EngineQueue(64, 1000)
    queue.started.clear()
    for item in (
        request(1, "a", prompt=600),
        request(2, "a", prompt=500),
        request(3, "a", prompt=50),
        request(4, "b", at=0.1, prompt=100),
        request(5, "b", at=0.1, prompt=100),
    ):
        queue.waiting.append(item)
    queue.shares.turns(0).finish = {"a": 0.0, "b": 5000.0}
    begun = []
    while (item := queue.start_next(9.0 + len(begun), ready)) is not None:
        begun.append(item.id)
    assert begun == ["1", "4", "5"]
    queue = EngineQueue(64, 1000)
    queue.waiting = [
        request(1, prompt=600),
        request(2, prompt=500),
        request(3, prompt=50),
    ]
    assert queue.start_next(9.0, ready) is not None
    assert queue.start_next(10.0, ready) is None


def test_cold_adapters_of_a_flood_do_not_evict_those_of_others() -> None:
    """One workspace asks for many adapters, another always for the same few."""

    def evicted(has_names: bool) -> int:
        plan = AdapterPlan(8, {})
        plan.models = {"m"}
        demand = DemandShares()
        rng = random.Random(3)
        losses = 0
        for turn in range(3000):
            now = turn * 0.1
            is_flood = turn % 10 > 0
            adapter = f"cold{rng.randrange(12)}" if is_flood else f"hot{turn // 10 % 3}"
            name = AdapterName("m", adapter)
            workspace = ("flood" if is_flood else "usual") if has_names else ""
            plan.record_request(name, now, demand.record(workspace, now))
            losses += not is_flood and name not in plan.resident
            while not plan.has_latest(name):
                step = plan.next_step([name], now)
                if isinstance(step, UnloadStep):
                    plan.remove(step.name)
                else:
                    plan.resident[name] = 1
        return losses

    assert evicted(True) < 0.5 * evicted(False)


def test_demand_within_its_share_counts_in_full() -> None:
    demand = DemandShares(lambda name: {"a": 3.0}.get(name, 1.0))
    for turn in range(400):
        demand.record("a" if turn % 4 else "b", turn * 0.1)
    assert demand.record("a", 40.0) > 0.95
    assert demand.record("", 40.0) <= 1.0
    assert DemandShares().record("", 1.0) == 1.0


def test_weights_follow_quotas_of_one_unit() -> None:
    def workspace(name: str, per_s: float, unit: str = "tokens") -> Workspace:
        return Workspace(name, None, Quota(per_s, 1.0, unit) if per_s else None)

    weights = quota_weights([workspace("a", 300.0), workspace("b", 100.0)])
    assert weights["a"] == 3 * weights["b"]
    weights = quota_weights([workspace("a", 300.0), workspace("b", 0.0)])
    assert weights["b"] == 1.0
    mixed = [workspace("a", 300.0), workspace("b", 1.0, "requests")]
    assert set(quota_weights(mixed).values()) == {1.0}
    assert quota_weights([]) == {}


def test_weights_follow_the_configuration_in_force() -> None:
    """A new version changes a quota while requests wait."""

    def configuration(version: int, per_s: float) -> Configuration:
        small = Workspace("a", None, Quota(100.0, 1.0, "tokens"))
        large = Workspace("b", None, Quota(per_s, 1.0, "tokens"))
        keys = {b"1": small, b"2": large, b"3": large}
        return create_configuration(version, version, (), {}, None, keys)

    known: list[Configuration | None] = [None]
    weights = WorkspaceWeights(lambda: known[0])
    assert weights("a") == 1.0
    known[0] = configuration(1, 300.0)
    assert weights("b") == 3 * weights("a")
    known[0] = configuration(2, 100.0)
    assert weights("b") == weights("a") == weights("unknown") == 1.0


def test_permits_are_shared_among_workspaces() -> None:
    """One workspace floods a plain service whose replica names a rate limit."""
    queue = PermitQueue()
    queue.set_rate("r", 10.0, 0.0)
    rng = random.Random(4)
    offered: Counter[str] = Counter()
    served: Counter[str] = Counter()
    now = 0.0
    for number in range(3000):
        now += rng.expovariate(40.0)
        workspace = "other" if rng.random() < 0.1 else "flood"
        offered[workspace] += 1
        queue.expire(now)
        queue.enqueue(
            WaitingRequest(
                str(number), 0, now, now + 0.4, now + 2.0, frozenset("r"), workspace
            ),
            now,
        )
        for item, _ in queue.grant(now):
            served[item.workspace] += 1
    assert served["other"] >= 0.9 * offered["other"]
    assert sum(served.values()) >= 0.97 * 10.0 * now
