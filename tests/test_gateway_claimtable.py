"""Two hosts never give orders to one replica within the order gap."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from filbertyard.gateway.claimtable import HOST_LOSS_TIMEOUT_S
from filbertyard.gateway.claimtable import ClaimTable
from filbertyard.gateway.claimtable import decide_claims
from filbertyard.gateway.types import HostRecord
from filbertyard.gateway.types import OwnerRecord

GAP_S = 3.0
HOSTS = ("h1", "h2", "h3")
REPLICA = "r1"


class Node:
    """One host: its claims, and whether it is frozen or cut off from the store."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.instance = 1
        self.claim_table = ClaimTable(GAP_S)
        self.is_cut = False
        self.is_frozen = False
        self.seen: dict[str, OwnerRecord] = {}
        self.missing: dict[str, float] = {}

    def record(self) -> HostRecord:
        return HostRecord(self.name, str(self.instance), "c", "z", False)


class Succession(RuleBasedStateMachine):
    """Hosts freeze, are cut off, restart and lose their records at any time."""

    @initialize()
    def begin(self) -> None:
        self.now = 100.0
        self.nodes = {name: Node(name) for name in HOSTS}
        self.hosts = {name: node.record() for name, node in self.nodes.items()}
        self.owners: dict[str, OwnerRecord] = {}
        self.removed_at: dict[str, float] = {}
        self.revision = 1
        self.orders: list[tuple[float, str, int]] = []

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.5, 9.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass; every host that can renews, claims and gives an order."""
        while seconds > 0:
            self.now += 0.5
            seconds -= 0.5
            for name in HOSTS:
                self.renew(name)
                self.claim(name)
                self.order(name)

    @rule(name=st.sampled_from(HOSTS), cut=st.booleans())
    def cut(self, name: str, cut: bool) -> None:
        self.nodes[name].is_cut = cut

    @rule(name=st.sampled_from(HOSTS), frozen=st.booleans())
    def freeze(self, name: str, frozen: bool) -> None:
        self.nodes[name].is_frozen = frozen

    @rule(name=st.sampled_from(HOSTS))
    def cut_off_and_lose_record(self, name: str) -> None:
        self.cut(name, True)
        self.lose_record(name)

    @rule(name=st.sampled_from(HOSTS))
    def lose_record(self, name: str) -> None:
        """Drop a host's record early, without the host's knowledge."""
        if self.hosts.pop(name, None) is not None:
            self.removed_at[name] = self.now

    @rule(name=st.sampled_from(HOSTS))
    def restart(self, name: str) -> None:
        node = self.nodes[name]
        if node.is_frozen:
            return
        node.instance += 1
        node.claim_table = ClaimTable(GAP_S)

    def renew(self, name: str) -> None:
        """Write the record, read the owners again, and renew the claims."""
        node = self.nodes[name]
        if node.is_cut or node.is_frozen:
            return
        self.hosts[name] = node.record()
        self.removed_at.pop(name, None)
        node.seen = dict(self.owners)
        node.claim_table.drop_unconfirmed(node.seen, name, str(node.instance))
        node.claim_table.renew(self.now)

    def claim(self, name: str) -> None:
        node = self.nodes[name]
        if node.is_cut or node.is_frozen or name not in self.hosts:
            return
        decisions = decide_claims(
            host=node.record(),
            replicas=[REPLICA],
            owners=self.owners,
            hosts=self.hosts,
            missing_since=self.removed_at,
            claimable_since={REPLICA: 0.0},
            reachable=set(),
            claim_table=node.claim_table,
            now=self.now,
        )
        for decision in decisions:
            self.revision += 1
            self.write_owner(node, decision.wait_s)
        for _ in node.claim_table.claims_past_wait(self.now):
            self.revision += 1
            self.write_owner(node, 0.0)

    def write_owner(self, node: Node, wait_s: float) -> None:
        record = OwnerRecord(
            REPLICA, node.name, str(node.instance), self.revision, wait_s=wait_s
        )
        self.owners[REPLICA] = record
        node.claim_table.add(REPLICA, self.revision, self.now, wait_s)

    @rule(name=st.sampled_from(HOSTS))
    def release(self, name: str) -> None:
        """Release the claim of a leaving host."""
        node = self.nodes[name]
        record = self.owners.get(REPLICA)
        if node.is_cut or node.is_frozen or REPLICA not in node.claim_table.claims:
            return
        node.claim_table.claims.clear()
        if record is not None and record.host == name:
            self.revision += 1
            self.owners[REPLICA] = OwnerRecord(
                REPLICA, name, str(node.instance), self.revision, True
            )

    def order(self, name: str) -> None:
        node = self.nodes[name]
        if node.is_frozen or not node.claim_table.may_order(REPLICA, self.now):
            return
        fence = node.claim_table.claims[REPLICA].fence
        self.orders.append((self.now, name, fence))

    @invariant()
    def orders_of_two_hosts_are_apart(self) -> None:
        orders = getattr(self, "orders", [])
        for before, after in zip(orders, orders[1:], strict=False):
            if before[1] != after[1]:
                assert after[0] - before[0] >= GAP_S
            assert after[2] >= before[2]


TestSuccession = Succession.TestCase
TestSuccession.settings = settings(max_examples=200, stateful_step_count=20)


def test_a_lost_owner_is_replaced_after_its_record_was_missing() -> None:
    node = Node("h1")
    hosts = {"h1": node.record()}
    owners = {REPLICA: OwnerRecord(REPLICA, "h2", "1", 7)}

    def decide(now: float, reachable: set[str]) -> list:
        return decide_claims(
            host=node.record(),
            replicas=[REPLICA],
            owners=owners,
            hosts=hosts,
            missing_since={"h2": 0.0},
            claimable_since={REPLICA: -100.0},
            reachable=reachable,
            claim_table=node.claim_table,
            now=now,
        )

    assert not decide(HOST_LOSS_TIMEOUT_S - 0.1, set())
    assert not decide(HOST_LOSS_TIMEOUT_S + 0.1, {"h2"})
    (decision,) = decide(HOST_LOSS_TIMEOUT_S + 0.1, set())
    assert decision.cause == "lost"
    assert decision.wait_s > GAP_S


def test_a_restarted_owner_resumes_without_a_wait_and_others_wait_for_it() -> None:
    """Hosts are stopped and started one after the other, as in a rolling restart."""
    record = OwnerRecord(REPLICA, "h2", "1", 7, is_released=True)
    nodes = {name: Node(name) for name in ("h1", "h2")}

    def decide(name: str, now: float) -> list:
        return decide_claims(
            host=nodes[name].record(),
            replicas=[REPLICA],
            owners={REPLICA: record},
            hosts={key: node.record() for key, node in nodes.items()},
            missing_since={},
            claimable_since={REPLICA: 0.0},
            reachable=set(),
            claim_table=nodes[name].claim_table,
            now=now,
        )

    nodes["h2"].instance = 2
    assert not decide("h1", 1.0)
    (decision,) = decide("h2", 1.0)
    assert (decision.cause, decision.wait_s) == ("restarted", 0.0)
    (decision,) = decide("h1", 5.0)
    assert decision.cause == "released"
    assert decision.wait_s >= GAP_S


def test_replicas_without_an_owner_are_shared_evenly() -> None:
    """Hosts start together; each sees the claims made before its own."""
    nodes = [Node(f"h{number}") for number in range(6)]
    hosts = {node.name: node.record() for node in nodes}
    replicas = [f"r{number}" for number in range(20)]
    owners: dict[str, OwnerRecord] = {}
    for _ in range(20):
        for node in nodes:
            decisions = decide_claims(
                host=node.record(),
                replicas=replicas,
                owners=owners,
                hosts=hosts,
                missing_since={},
                claimable_since=dict.fromkeys(replicas, 0.0),
                reachable=set(),
                claim_table=node.claim_table,
                now=0.0,
            )
            for decision in decisions:
                owners[decision.replica] = OwnerRecord(
                    decision.replica, node.name, "1", 1
                )
    counts = [
        sum(owner.host == node.name for owner in owners.values()) for node in nodes
    ]
    assert sum(counts) == 20
    assert max(counts) - min(counts) <= 1


def test_a_record_of_this_process_without_a_claim_is_claimed_again() -> None:
    """Regression: a replica stayed without orders until the named host restarted."""
    node = Node("h1")

    def decide() -> list:
        return decide_claims(
            host=node.record(),
            replicas=[REPLICA],
            owners={REPLICA: OwnerRecord(REPLICA, "h1", str(node.instance), 7)},
            hosts={"h1": node.record()},
            missing_since={},
            claimable_since={REPLICA: 0.0},
            reachable=set(),
            claim_table=node.claim_table,
            now=1.0,
        )

    (decision,) = decide()
    assert (decision.cause, decision.revision) == ("unclaimed", 7)
    assert decision.wait_s > GAP_S
    node.claim_table.add(REPLICA, 7, 1.0, 0.0)
    assert not decide()
