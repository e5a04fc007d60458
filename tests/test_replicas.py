"""The owner's side of one replica, with a fake client."""

import time
from collections.abc import Callable

import gevent
import pytest
from gevent.event import Event
from result import Err
from result import Ok
from result import Result

from filbertyard.calls import AdapterVersion
from filbertyard.engines import Order
from filbertyard.engines import ReplicaState
from filbertyard.exceptions import UpstreamError
from filbertyard.hostlist import ListedHost
from filbertyard.httpcalls import HttpResponse
from filbertyard.keyvalue import create_key_value
from filbertyard.loadbudget import Permit
from filbertyard.membership import Member
from filbertyard.membership import Membership
from filbertyard.messages import Accepted
from filbertyard.messages import Forward
from filbertyard.messages import NotRun
from filbertyard.ownership import OwnerRecord
from filbertyard.peers import PeerNetwork
from filbertyard.replicas import OwnedReplica
from filbertyard.replicas import Ownership
from filbertyard.replicas import create_owned_replica
from filbertyard.residency import PREFETCH_TIER
from filbertyard.resources import MAX_PRELOADS
from filbertyard.resources import ServedResources
from filbertyard.settingsstore import SettingsStore
from filbertyard.settingstree import apply_changes
from filbertyard.teamsettings import Snapshot

ADAPTER = AdapterVersion("kouga", "plant-1", "v1")


class FakeClient:
    """An engine that never answers a call and reports a fixed state."""

    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.reported = ReplicaState("i1", 1, 0, False, 4, 0, {ADAPTER: 0})
        self.sent = 0
        self.orders: list[tuple[Order, AdapterVersion]] = []

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        *,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, UpstreamError]:
        self.sent += 1
        return Err(UpstreamError("refused", step="send", peer="a", sent=False))

    def state(self) -> Result[ReplicaState, UpstreamError]:
        return Ok(self.reported)

    def order(
        self, order: Order, adapter: AdapterVersion, fence: int, owner: str
    ) -> Result[None, UpstreamError]:
        self.orders.append((order, adapter))
        return Ok(None)


class FakePermits:
    """A source that grants no permits."""

    def acquire(
        self, replica: str, adapter: AdapterVersion, tier: int, worth: float
    ) -> Permit:
        return Permit(0, 0.0)

    def return_permit(self, permit: Permit, outcome: str) -> None:
        raise AssertionError("no permit was granted")


class EndlessPermits:
    """A source that grants every permit and waits for its return."""

    def __init__(self) -> None:
        self.tiers: list[int] = []
        self.returned = Event()

    def acquire(
        self, replica: str, adapter: AdapterVersion, tier: int, worth: float
    ) -> Permit:
        self.tiers.append(tier)
        return Permit(len(self.tiers), 3.0)

    def return_permit(self, permit: Permit, outcome: str) -> None:
        assert outcome == "ok"
        self.returned.set()


def forward(request_id: str, patience_s: float = 30.0) -> Forward:
    return Forward(
        request_id=request_id,
        attempt=1,
        replica="advisor-1",
        kind="completion",
        team="kouga",
        upstream="advisor",
        adapter=str(ADAPTER),
        rank="routine",
        urgency=3,
        share=0.5,
        target_s=8.0,
        patience_s=patience_s,
        worth=1.0,
        idempotent=True,
        revision=1,
        remaining_s=60.0,
        method="POST",
        path="/v1/completions",
        headers=[],
        body=b'{"model": "kouga/plant-1"}',
        stream=False,
    )


@pytest.fixture
def replica() -> OwnedReplica:
    """Return a replica whose tasks the test runs by itself."""
    owned = create_owned_replica(
        "advisor-1",
        "advisor",
        FakeClient(),
        Ownership(1, lambda: True),
        FakePermits(),
        "shares",
        "entry-1",
    )
    owned.read_report()
    return owned


def test_a_call_dropped_after_its_dispatch_frees_its_batch_slot(
    replica: OwnedReplica,
) -> None:
    """Guard against slots and adapters that stay in use after a caller disconnects."""
    replies = replica.run(forward("r1"))
    assert isinstance(next(replies), Accepted)
    replica.dispatch_ready()
    assert replica.running == 1
    replies.close()  # type: ignore[attr-defined]
    assert replica.running == 0
    assert replica.residency.resident[ADAPTER].in_use == 0


def test_a_call_that_waited_too_long_is_never_dispatched(
    replica: OwnedReplica,
) -> None:
    """Guard against running a call whose caller is being told that it did not run."""
    replies = replica.run(forward("r1", patience_s=0.01))
    assert isinstance(next(replies), Accepted)
    outcome = next(replies)
    assert isinstance(outcome, NotRun)
    assert outcome.cause == "patience_exceeded"
    replica.dispatch_ready()
    assert replica.running == 0
    assert len(replica.queue) == 0


def leave_by_report(replica: OwnedReplica) -> None:
    replica.apply_state(ReplicaState("i1", 1, 0, True, 4, 0, {ADAPTER: 0}))


def leave_by_mark(replica: OwnedReplica) -> None:
    replica.marked_leaving = True
    replica.update_leaving()


@pytest.mark.parametrize("leave", [leave_by_report, leave_by_mark])
def test_calls_that_wait_at_a_leaving_replica_are_rejected(
    replica: OwnedReplica, leave: Callable[[OwnedReplica], None]
) -> None:
    """Guard against calls that wait on a leaving replica until their deadline."""
    replies = replica.run(forward("r1"))
    assert isinstance(next(replies), Accepted)
    gevent.spawn(leave, replica)
    outcome = next(replies)
    assert isinstance(outcome, NotRun)
    assert outcome.cause == "replica_leaving"
    rejected = next(replica.run(forward("r2")))
    assert isinstance(rejected, NotRun)
    assert rejected.cause == "replica_leaving"


def served_resources(name: str, addresses: dict[str, str]) -> ServedResources:
    """Return the resources of a host that owns nothing yet."""
    peers = PeerNetwork(name, f"{name}1", "127.0.0.1:0", "test-key", addresses.get)
    member = Member(name, f"{name}1", "", "", "region", "zone")
    store = SettingsStore(create_key_value("etcd-v3-json", "127.0.0.1:1"))
    return ServedResources(name, "shares", store, peers, Membership(member))


def settings_with(version: str, before: Snapshot | None = None) -> Snapshot:
    """Return settings in which `version` of the adapter is in force."""
    before = before or Snapshot(0)
    upstream = {"kind": "engine", "base_model": "base"}
    rank = {"urgency": 1, "share": 1.0, "target_s": 1.0}
    fleet = {
        "ranks": {"routine": rank},
        "upstreams": {"advisor": upstream},
        "store": {"min_rate_per_s": 1.0, "max_rate_per_s": 2.0},
    }
    adapters = {"plant-1": {"version": version, "upstream": "advisor"}}
    team = {"default_rank": "routine", "adapters": adapters}
    if before.fleet is None:
        before = apply_changes(before, {"fleet": fleet}, 1, "fleet")
    revision = before.revision + 1
    return apply_changes(before, {"teams/kouga": team}, revision, version)


def age_slots(replica: OwnedReplica, seconds: float) -> None:
    """Make all slots resident for `seconds` longer."""
    for slot in replica.residency.resident.values():
        slot.loaded_at -= seconds


def test_a_new_version_is_loaded_before_calls_wait_while_the_old_one_stays() -> None:
    """Guard against a rollout that stalls calls or evicts the version in use."""
    client = FakeClient()
    cold = AdapterVersion("kouga", "plant-2", "v1")
    new = AdapterVersion("kouga", "plant-1", "v2")
    client.reported = ReplicaState("i1", 4, 0, False, 2, 0, {ADAPTER: 0, cold: 0})
    permits = EndlessPermits()
    replica = create_owned_replica(
        "advisor-1",
        "advisor",
        client,
        Ownership(1, lambda: True),
        permits,
        "shares",
        "entry-1",
    )
    replica.read_report()
    age_slots(replica, 60.0)
    resources = served_resources("entry-1", {})
    resources.replicas["advisor-1"] = replica
    first = settings_with("v1")
    resources.settings_store.activate(first, [])
    replies = replica.run(forward("r1"))
    assert isinstance(next(replies), Accepted)
    replica.dispatch_ready()
    assert replica.next_load() is None

    resources.settings_store.activate(settings_with("v2", first), [])
    replica.start_loads()
    assert permits.returned.wait(30.0)
    assert permits.tiers == [PREFETCH_TIER]
    assert client.orders == [("unload", cold), ("load", new)]
    assert set(replica.residency.resident) == {ADAPTER, new}
    assert replica.residency.resident[ADAPTER].in_use == 1
    assert not replica.stalls
    replies.close()  # type: ignore[attr-defined]


class FakeOwners:
    """A table in which each host owns one replica."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.records = {
            f"advisor-{n}": OwnerRecord(f"advisor-{n}", f"entry-{n}", f"lease-{n}", 1)
            for n in (1, 2)
        }

    def is_active_owner(self, resource: str) -> bool:
        return resource == self.own


def hosts_with_replicas() -> list[ServedResources]:
    """Return two connected hosts that each own one replica."""
    addresses: dict[str, str] = {}
    hosts = []
    for number in (1, 2):
        resources = served_resources(f"entry-{number}", addresses)
        name = f"advisor-{number}"
        resources.owners = FakeOwners(name)
        resources.settings_store.activate(settings_with("v1"), [])
        for other in ("advisor-1", "advisor-2"):
            listed = ListedHost(other, "127.0.0.1:1", "zone", "advisor", False)
            resources.listed[other] = listed
        replica = resources.find_replica(name)
        assert replica is not None
        replica.client = FakeClient()
        resources.peers.start()
        addresses[resources.name] = resources.peers.address
        hosts.append(resources)
    return hosts


def test_the_hottest_adapters_of_a_leaving_replica_are_loaded_elsewhere() -> None:
    """Guard against loads that wait for calls, and against a flood of prefetches."""
    hosts = hosts_with_replicas()
    leaving, other = hosts[0].replicas["advisor-1"], hosts[1].replicas["advisor-2"]
    adapters = [
        AdapterVersion("kouga", f"plant-{n}", "v1") for n in range(MAX_PRELOADS + 3)
    ]
    leaving.client.reported = ReplicaState(
        "i1", 4, 0, False, len(adapters), 0, dict.fromkeys(adapters, 0)
    )
    other.client.reported = ReplicaState("i2", 4, 0, False, len(adapters), 0, {})
    leaving.read_report()
    other.read_report()
    now = time.monotonic()
    for place, adapter in enumerate(adapters):
        leaving.residency.touch(adapter, place + 1.0, now)
    # The other replica's owner reports that it already holds the hottest one.
    held = [[str(adapters[-1])], {}, False]
    hosts[0].membership.publish_replica("advisor-2", 1, held)
    other.changed.clear()

    leaving.marked_leaving = True
    leaving.update_leaving()
    assert other.changed.wait(30.0)
    loads = []
    while (decision := other.next_load()) is not None:
        assert decision.tier == PREFETCH_TIER
        other.residency.begin_load(decision)
        other.residency.finish_load(decision, True, time.monotonic())
        loads.append(decision.load)
    assert loads == adapters[-2 : -2 - MAX_PRELOADS : -1]
    for host in hosts:
        host.peers.stop()
