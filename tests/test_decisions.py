"""Scheduling, residency and the load budget under any sequence of events."""

import hypothesis.strategies as st
from hypothesis import given
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from filbertyard.calls import AdapterVersion
from filbertyard.calls import Call
from filbertyard.calls import Rank
from filbertyard.experiments.scenarios import optimal_hits
from filbertyard.loadbudget import PERMIT_TTL_S
from filbertyard.loadbudget import LoadBudget
from filbertyard.loadbudget import Permit
from filbertyard.loadbudget import PermitRequest
from filbertyard.loadbudget import PermitReturn
from filbertyard.loadbudget import Waiter
from filbertyard.loadbudget import create_load_budget
from filbertyard.messages import NotRun
from filbertyard.residency import MIN_RESIDENCY_S
from filbertyard.residency import LoadDecision
from filbertyard.residency import create_residency
from filbertyard.routing import ReplicaView
from filbertyard.routing import create_router
from filbertyard.scheduling import Demand
from filbertyard.scheduling import QueuedCall
from filbertyard.scheduling import create_queue

RANKS = (
    Rank("urgent", 1, 0.4, 0.5, 2.0, 10.0),
    Rank("usual", 2, 0.35, 2.0, 8.0, 3.0),
    Rank("late", 3, 0.25, 8.0, 32.0, 1.0),
)
ADAPTERS = tuple(AdapterVersion("team", f"adapter-{n}", "v1") for n in range(12))
BATCH = 16


def queued(rank: Rank, now: float, team: str = "a", adapter: int = 0) -> QueuedCall:
    call = Call(
        "id",
        "completion",
        team,
        "engine",
        rank,
        True,
        1,
        now + 60,
        "POST",
        "/v1/completions",
        b"",
        adapter=ADAPTERS[adapter],
        max_tokens=16,
    )
    return QueuedCall(call, 1, now)


class Batch:
    """Batch of one replica with a queue policy; calls run for a fixed time."""

    def __init__(self, policy: str = "shares") -> None:
        self.queue = create_queue(policy)
        self.queue.batch_size = BATCH
        self.now = 0.0
        self.running: list[tuple[float, QueuedCall]] = []
        self.served: list[QueuedCall] = []

    def step(self, service_s: float = 1.0) -> None:
        """Finish and dispatch calls, then advance the clock by 50 ms."""
        for pair in [p for p in self.running if p[0] <= self.now]:
            self.running.remove(pair)
            self.queue.finish(pair[1].call.rank, service_s, self.now)
        while len(self.running) < BATCH:
            item = self.queue.take(self.now, BATCH - len(self.running))
            if item is None:
                break
            self.queue.start(item.call.rank, self.now)
            self.running.append((self.now + service_s, item))
            self.served.append(item)
        self.now += 0.05

    def count(self, name: str) -> int:
        return sum(item.call.rank.name == name for item in self.served)


class QueueMachine(RuleBasedStateMachine):
    """Guard against unused slots, lost calls and calls served twice."""

    def __init__(self) -> None:
        super().__init__()
        self.batch = Batch()
        self.unready: set[AdapterVersion] = set()
        self.batch.queue.is_ready = lambda i: i.call.adapter not in self.unready
        self.waiting: list[QueuedCall] = []

    @rule(
        rank=st.sampled_from(RANKS),
        team=st.sampled_from("ab"),
        adapter=st.integers(0, 3),
    )
    def offer(self, rank: Rank, team: str, adapter: int) -> None:
        item = queued(rank, self.batch.now, team, adapter)
        if self.batch.queue.offer(item, self.batch.now) is None:
            self.waiting.append(item)

    @rule(adapter=st.sampled_from(ADAPTERS[:4]))
    def toggle(self, adapter: AdapterVersion) -> None:
        self.unready ^= {adapter}

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def give_up(self, data: st.DataObject) -> None:
        item = data.draw(st.sampled_from(self.waiting))
        self.batch.queue.remove(item)
        self.waiting.remove(item)

    @rule()
    def step(self) -> None:
        before = len(self.batch.served)
        self.batch.step()
        for item in self.batch.served[before:]:
            assert item.call.adapter not in self.unready
            self.waiting.remove(item)
        ready = [i for i in self.waiting if i.call.adapter not in self.unready]
        free = BATCH - len(self.batch.running)
        assert not ready or free <= 1
        assert free == 0 or all(i.call.rank is not RANKS[0] for i in ready)

    @invariant()
    def length_agrees(self) -> None:
        assert len(self.batch.queue) == len(self.waiting)


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(max_examples=60, stateful_step_count=60)


@given(flooded=st.integers(0, 2), fractions=st.tuples(*[st.floats(0.05, 1.0)] * 3))
@settings(max_examples=40)
def test_a_flood_leaves_every_other_rank_its_share(
    flooded: int, fractions: tuple[float, ...]
) -> None:
    """Guard against a flood of one rank that takes another rank's share."""
    batch = Batch()
    offered = dict.fromkeys(RANKS, 0.0)
    admitted = dict.fromkeys(RANKS, 0)
    for _ in range(600):
        for place, rank in enumerate(RANKS):
            load = 5.0 if place == flooded else fractions[place] * rank.share
            offered[rank] += load * BATCH * 0.05
            while admitted[rank] < int(offered[rank]):
                batch.queue.offer(queued(rank, batch.now), batch.now)
                admitted[rank] += 1
        batch.step()
    for place, rank in enumerate(RANKS):
        if place != flooded:
            # A batch of calls can still wait or run at the end.
            assert batch.count(rank.name) >= 0.95 * admitted[rank] - BATCH


def test_teams_of_a_rank_are_served_in_equal_parts() -> None:
    """Guard against a team that starves another team of the same rank."""
    batch = Batch()
    for team, count in (("a", 300), ("b", 60)):
        for _ in range(count):
            item = queued(RANKS[2], 0.0, team)
            assert batch.queue.offer(item, 0.0) is None or team
    while len(batch.served) < 40:
        batch.step()
    served = [item.call.team for item in batch.served[:40]]
    assert abs(served.count("a") - served.count("b")) <= 1


@given(st.lists(st.tuples(st.sampled_from(RANKS), st.integers(0, 3)), max_size=12))
def test_policies_serve_the_same_admitted_calls(calls: list[tuple[Rank, int]]) -> None:
    """Guard against a policy that loses calls that the naive one serves."""
    served = []
    for policy in ("naive", "shares"):
        batch = Batch(policy)
        items = [queued(rank, 0.0, adapter=n) for rank, n in calls]
        assert [batch.queue.offer(item, 0.0) for item in items] == [None] * len(items)
        for _ in range(100):
            batch.step()
        order = {id(item): place for place, item in enumerate(items)}
        served.append(sorted(order[id(item)] for item in batch.served))
    assert served[0] == served[1] == list(range(len(calls)))


class ResidencyMachine(RuleBasedStateMachine):
    """Guard against evicting adapters in use or waited for, and too many slots."""

    policy = "shares"

    def __init__(self) -> None:
        super().__init__()
        self.table = create_residency(self.policy, 5)
        self.now = 0.0
        self.in_use: list[AdapterVersion] = []
        self.waiting: dict[AdapterVersion, Demand] = {}
        self.loads: list[LoadDecision] = []

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        adapter=st.sampled_from(ADAPTERS),
        rank=st.sampled_from(RANKS),
        tier=st.integers(0, 1),
    )
    def demand(self, adapter: AdapterVersion, rank: Rank, tier: int) -> None:
        self.table.touch(adapter, rank.worth, self.now, tier)
        demand = self.waiting.setdefault(adapter, Demand())
        demand.worth += rank.worth
        demand.tier = min(demand.tier, tier)

    @rule(adapter=st.sampled_from(ADAPTERS))
    def use(self, adapter: AdapterVersion) -> None:
        if self.table.is_ready(adapter) and self.table.acquire(adapter, self.now):
            self.in_use.append(adapter)
            self.waiting.pop(adapter, None)

    @rule(old=st.sampled_from(ADAPTERS), new=st.sampled_from(ADAPTERS))
    def supersede(self, old: AdapterVersion, new: AdapterVersion) -> None:
        if old != new:
            self.table.supersede(old, new, self.now)

    @rule(adapter=st.sampled_from(ADAPTERS), value=st.floats(0.0, 50.0))
    def expect(self, adapter: AdapterVersion, value: float) -> None:
        self.table.expect(adapter, value, self.now)

    @precondition(lambda self: self.in_use)
    @rule()
    def release(self) -> None:
        self.table.release(self.in_use.pop(0))

    @rule()
    def load(self) -> None:
        slots = dict(self.table.resident)
        decision = self.table.next_load(self.waiting, self.now)
        if decision is None:
            return
        assert decision.load not in slots
        assert decision.load not in self.table.loading
        if decision.evict is not None:
            assert decision.evict not in self.in_use
            awaited = self.waiting.get(decision.evict)
            assert awaited is None or awaited.tier > 0
            if self.policy == "shares":
                assert self.now - slots[decision.evict].loaded_at >= MIN_RESIDENCY_S
        self.table.begin_load(decision)
        self.loads.append(decision)

    @precondition(lambda self: self.loads)
    @rule(loaded=st.booleans())
    def finish_load(self, loaded: bool) -> None:
        decision = self.loads.pop(0)
        if not loaded:
            self.table.back_off(decision.load, self.now)
        self.table.finish_load(decision, loaded, self.now)

    @invariant()
    def slots_hold(self) -> None:
        assert len(self.table.resident) + len(self.table.loading) <= self.table.slots
        assert all(adapter in self.table.resident for adapter in self.in_use)


class NaiveResidencyMachine(ResidencyMachine):
    """Guard against a baseline policy that breaks the same invariants."""

    policy = "naive"


TestResidency = ResidencyMachine.TestCase
TestNaiveResidency = NaiveResidencyMachine.TestCase
for case in (TestResidency, TestNaiveResidency):
    case.settings = settings(max_examples=60, stateful_step_count=80)


def test_a_replaced_version_is_evicted_after_its_calls_stopped() -> None:
    """Guard against an old version that keeps its slot forever after a rollout."""
    table = create_residency("shares", 3)
    old, other, newcomer = ADAPTERS[:3]
    new = AdapterVersion(old.team, old.adapter, "v2")
    newest = AdapterVersion(old.team, old.adapter, "v3")
    table.reconcile({old: 0, other: 0}, 0.0)
    for second in range(30):
        table.touch(old, 3.0, float(second))
        table.touch(other, 1.0, float(second))
    table.supersede(old, new, 30.0)
    # A version that is replaced before its load began is not loaded.
    table.supersede(new, newest, 30.0)
    decision = table.next_load({}, 30.0)
    assert decision is not None
    assert (decision.load, decision.evict) == (newest, None)
    table.begin_load(decision)
    table.finish_load(decision, True, 30.0)
    assert table.next_load({}, 30.0) is None
    for second in range(30, 90):
        table.touch(newest, 3.0, float(second))
        table.touch(other, 1.0, float(second))
    decision = table.next_load({newcomer: Demand(worth=3.0)}, 90.0)
    assert decision is not None
    assert (decision.load, decision.evict) == (newcomer, old)


class BudgetMachine(RuleBasedStateMachine):
    """Guard against grants above the rate or in-flight limit, also after takeovers."""

    max_in_flight = 4

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.budget = LoadBudget(2.0, 3.0, self.max_in_flight, lambda: self.now)
        self.waiters: list[Waiter] = []
        self.live: dict[Permit, float] = {}
        self.grants: list[float] = []

    @rule(seconds=st.floats(0.0, 1.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(tier=st.integers(0, 2), worth=st.floats(0.1, 50.0))
    def request(self, tier: int, worth: float) -> None:
        request = PermitRequest("host", "replica", "adapter", tier, worth)
        self.waiters.append(self.budget.enqueue(request))

    @rule()
    def grant(self) -> None:
        self.budget.grant_waiting()
        granted = []
        for waiter in [w for w in self.waiters if w.granted.ready()]:
            self.waiters.remove(waiter)
            permit = waiter.granted.get()
            if permit.number:
                granted.append(waiter)
                self.live[id(permit)] = self.now + PERMIT_TTL_S
                self.grants.append(self.now)
        assert all(w > max(granted) for w in self.waiters if granted)

    @rule(outcome=st.sampled_from(["ok", "store_rate", "load_failed"]))
    def return_permit(self, outcome: str) -> None:
        if not self.live:
            return
        number = next((n for n in self.budget.outstanding if n > 0), 0)
        before = self.budget.rate_per_s
        self.budget.return_permit(PermitReturn(number, outcome))
        if number:
            self.live.pop(next(iter(self.live)))
            if outcome == "store_rate":
                assert self.budget.rate_per_s < before or before == 1.0

    @rule()
    def take_over(self) -> None:
        self.budget = LoadBudget(2.0, 3.0, self.max_in_flight, lambda: self.now)
        self.budget.assume_predecessor_permits()
        self.waiters.clear()

    @invariant()
    def limits_hold(self) -> None:
        live = [end for end in self.live.values() if end > self.now]
        assert len(live) <= self.max_in_flight
        for start, first in enumerate(self.grants):
            count = len(self.grants) - start
            span = self.grants[-1] - first
            assert count <= 1 + self.budget.max_rate_per_s * span + 1e-6


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(max_examples=60, stateful_step_count=80)


def test_a_new_owner_grants_nothing_until_earlier_permits_expired() -> None:
    """Guard against loads above the limit after a takeover."""
    budget = create_load_budget(4.0, 4.0, 8, has_predecessor=True)
    began = budget.clock()
    budget.clock = lambda: began + PERMIT_TTL_S - 0.5
    assert budget.try_grant() is None
    budget.clock = lambda: began + PERMIT_TTL_S + 0.5
    assert budget.try_grant() is not None


def test_all_hosts_send_an_adapter_to_the_same_home_until_it_rejects() -> None:
    """Guard against one load for each entry host and against repeated rejections."""
    call = queued(RANKS[0], 0.0).call
    views = [
        ReplicaView(f"engine-{n}", "engine", "host", zone=f"zone-{n % 3}")
        for n in range(9)
    ]
    routers = [create_router("shares") for _ in range(3)]
    homes = [router.choose(call, views, set()) for router in routers]
    assert homes[0] is not None
    assert homes.count(homes[0]) == 3
    rejection = NotRun("id", 1, "wait_too_long", retry_after_s=2.0)
    routers[0].observe(call, homes[0].name, rejection)
    assert routers[0].choose(call, views, set()) not in (None, homes[0])
    for view in views:
        view.is_leaving = True
    assert routers[1].choose(call, views, set()) is None


@given(st.lists(st.sampled_from("abcdef"), max_size=40), st.integers(1, 4))
def test_the_best_choice_hits_at_least_as_often_as_least_recently_used(
    adapters: list[str], slots: int
) -> None:
    """Guard against an upper bound of the hit rate that a policy could exceed."""
    recent: list[str] = []
    hits = 0
    for adapter in adapters:
        hits += adapter in recent
        recent = [*(a for a in recent if a != adapter), adapter][-slots:]
    assert sum(optimal_hits(adapters, slots)) >= hits
