"""A store that comes back from a copy without the last writes that it acknowledged."""

import json
import time
from collections.abc import Iterator
from typing import Any

import pytest

from filbertyard.exceptions import KeyValueRejectedError
from filbertyard.exceptions import KeyValueUnavailableError
from filbertyard.exceptions import RevisionCompactedError
from filbertyard.gateway.claims import boot_clock
from filbertyard.gateway.claimtable import HOST_LOSS_TIMEOUT_S
from filbertyard.gateway.messages import FeedChanges
from filbertyard.gateway.messages import FeedPush
from filbertyard.gateway.messages import FetchFeed
from filbertyard.gateway.state import GatewayState
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.sync import PeerSync
from filbertyard.keyvalue import Compare
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import Put
from filbertyard.keyvalue import first_revision
from filbertyard.keyvalue import generation_of
from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.platform.store import PlatformStore
from filbertyard.platform.wireformat import create_platform_wire_format
from gatewayfleet import GatewayFleet
from gatewayfleet import configuration
from gatewayfleet import route
from gatewayfleet import wait_until
from test_gateway_sync import FakePeers

# The client of the store.


@pytest.fixture
def standin() -> Iterator[PlatformStoreStandin]:
    standin = PlatformStoreStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(standin: PlatformStoreStandin) -> PlatformStore:
    return PlatformStore(standin.address)


def test_revisions_after_a_loss_are_higher_than_all_before(
    standin: PlatformStoreStandin, client: PlatformStore
) -> None:
    saved = standin.save()
    for _ in range(9):
        standin.write("op/x", {})
    before = client.range("op/x").items[0].mod_revision
    standin.lose_writes(saved)
    standin.write("op/x", {})
    found = client.range("op/", prefix=True)
    assert found.items[0].mod_revision > before
    assert found.revision > before
    assert generation_of(found.revision) == client.generation == 1


def test_a_watch_from_before_a_loss_ends(
    standin: PlatformStoreStandin, client: PlatformStore
) -> None:
    """Guards against a watch that waits for revisions that are given out again."""
    saved = standin.save()
    standin.write("op/x", {})
    found = client.range("op/", prefix=True)
    standin.lose_writes(saved)
    for _ in range(9):
        standin.write("op/y", {})
    with pytest.raises(RevisionCompactedError):
        next(client.watch("op/", found.revision + 1, 0.1))


def test_a_compare_from_before_a_loss_never_holds(
    standin: PlatformStoreStandin, client: PlatformStore
) -> None:
    """Guards against a claim over another host's write with the same number."""
    saved = standin.save()
    standin.write("op/x", {"writer": "first"})
    known = client.range("op/x").items[0].mod_revision
    standin.lose_writes(saved)
    standin.write("op/x", {"writer": "second"})
    with pytest.raises((KeyValueRejectedError, KeyValueUnavailableError)):
        client.txn([Compare("op/x", known)], [Put("op/x", b"{}")])
    with pytest.raises(KeyValueRejectedError):
        client.txn([Compare("op/x", known)], [Put("op/x", b"{}")])


def test_a_late_response_from_before_a_loss_is_none(
    standin: PlatformStoreStandin, client: PlatformStore
) -> None:
    standin.era = 3
    client.range("op/x")
    standin.era = 2
    with pytest.raises(KeyValueUnavailableError):
        client.range("op/x")
    assert client.generation == 2


# What a host knows.


def item(key: str, value: Any, revision: int, losses: int = 0) -> Item:
    data = json.dumps(value).encode()
    return Item(key, data, 0, first_revision(losses) + revision)


def entry(revision: int, losses: int = 0, name: str = "r1", **fields: Any) -> Item:
    value = {"service": "s", "address": "10.0.0.1:1", "state": "ready", **fields}
    return item(f"servers/{name}", value, revision, losses)


def config_item(version: int, revision: int, losses: int = 0) -> Item:
    return item("op/config", configuration(version), revision, losses)


@pytest.fixture
def state() -> GatewayState:
    state = create_gateway_state(create_platform_wire_format())
    for feed in state.feed_list():
        state.apply_snapshot(feed, [], 1, 0.0)
    return state


def restore(state: GatewayState, *items: Item, revision: int = 50) -> None:
    """Apply the first snapshots after a loss, which hold these items."""
    for feed in state.feed_list():
        found = [item for item in items if item.key.startswith(feed.prefix)]
        state.apply_snapshot(feed, found, first_revision(1) + revision, 100.0)


def version(state: GatewayState) -> int:
    return state.configuration.version if state.configuration else 0


def test_a_change_after_a_loss_is_in_force_at_once(state: GatewayState) -> None:
    """Regression: it waited until the store had as many revisions as before."""
    state.apply_item(state.operator_feed, config_item(81, 90), 0.0, "store")
    restore(state, config_item(48, 40))
    state.apply_item(state.operator_feed, config_item(85, 51, 1), 101.0, "store")
    assert version(state) == 85


def test_a_configuration_never_comes_back_older(state: GatewayState) -> None:
    state.apply_item(state.operator_feed, config_item(81, 90), 0.0, "store")
    restore(state, config_item(48, 40, 1))
    assert version(state) == 81
    # The operator writes the lost ones again in their order.
    for revision, number in enumerate((60, 81, 85), 51):
        state.apply_item(
            state.operator_feed, config_item(number, revision, 1), 101.0, "store"
        )
        assert version(state) == max(81, number)


def test_an_adapter_version_never_comes_back_older(state: GatewayState) -> None:
    key, value = "op/version/m0.a1", {"model": "m0", "adapter": "a1"}
    state.apply_item(
        state.operator_feed, item(key, {**value, "version": 3}, 90), 0.0, "store"
    )
    restore(state, item(key, {**value, "version": 2}, 40, 1))
    assert [*state.releases.values()] == [3]


def test_a_removed_replica_that_the_copy_holds_is_not_used(state: GatewayState) -> None:
    """Guards against requests to a replica that has left."""
    state.apply_item(state.replica_feed, entry(40), 0.0, "store")
    state.apply_removal(state.replica_feed, "servers/r1", 60, 1.0, "store")
    restore(state, entry(40, 1))
    assert not state.usable("s")
    state.apply_item(state.replica_feed, entry(51, 1), 101.0, "store")
    assert state.usable("s")


def test_a_leaving_replica_is_not_ready_again_in_the_copy(state: GatewayState) -> None:
    draining = entry(60, state="draining", born=7)
    state.apply_item(state.replica_feed, draining, 0.0, "store")
    restore(state, entry(40, 1, born=7))
    assert not state.usable("s")
    state.apply_item(state.replica_feed, entry(51, 1, born=8), 101.0, "store")
    assert state.usable("s")


def test_the_copy_does_not_bring_back_an_earlier_incarnation(
    state: GatewayState,
) -> None:
    newer = entry(60, address="10.0.0.2:1", born=8)
    state.apply_item(state.replica_feed, newer, 0.0, "store")
    restore(state, entry(40, 1, born=7))
    assert state.replicas["r1"].address == "10.0.0.2:1"


def test_a_replica_that_the_copy_lacks_is_kept_until_it_writes_again(
    state: GatewayState,
) -> None:
    state.apply_item(state.replica_feed, entry(60), 0.0, "store")
    restore(state)
    assert state.usable("s")
    state.apply_item(state.replica_feed, entry(51, 1), 101.0, "store")
    state.drop_expired_replicas(200.0)
    assert state.usable("s")


def test_a_peer_that_missed_the_loss_changes_nothing(state: GatewayState) -> None:
    restore(state, config_item(81, 40, 1), entry(41, 1))
    sync = PeerSync(state, FakePeers())
    late = config_item(60, 99)
    sync.handle_push("p", FeedPush("op/", 98, [[late.key, late.value, 99]], []))
    gone = entry(98, name="r2")
    sync.handle_push(
        "p",
        FeedPush("servers/", 97, [[gone.key, gone.value, 98]], [["servers/r1", 99]]),
    )
    assert version(state) == 81
    assert [replica.id for replica in state.usable("s")] == ["r1"]


def test_a_host_without_the_store_learns_of_the_loss_from_its_peers(
    state: GatewayState,
) -> None:
    state.apply_item(state.operator_feed, config_item(81, 90), 0.0, "store")
    other = create_gateway_state(create_platform_wire_format())
    other.apply_snapshot(other.operator_feed, [config_item(81, 90)], 90, 0.0)
    restore(other, config_item(48, 40, 1))
    other.apply_item(other.operator_feed, config_item(85, 51, 1), 101.0, "store")
    assert other.operator_feed.revision > state.operator_feed.revision
    changes = PeerSync(other, FakePeers()).handle_fetch("host", FetchFeed("op/", 90))
    PeerSync(state, FakePeers(changes)).fetch("peer", state.operator_feed)
    assert version(state) == 85
    late = config_item(83, 99)
    PeerSync(state, FakePeers()).apply_changes(
        "p", state.operator_feed, FeedChanges([[late.key, late.value, 99]], [])
    )
    assert version(state) == 85


def test_a_rejected_prompt_stays_rejected(state: GatewayState) -> None:
    """Guards against a loss that lets prompts through which crash replicas."""
    key = "filbertyard/prompts/x"
    value = {"parts": ["p1"], "rejection_s": 60.0}
    now = time.monotonic()
    state.apply_item(state.gateway_feed, item(key, value, 60), now, "store")
    restore(state)
    assert state.quarantine.find_rejection(["p1"], now + 1)


# Hosts.


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet()
    fleet.start(hosts=3)
    fleet.add_replica(ReplicaStandin("e0", "engine", model="m0"))
    fleet.await_owners()
    yield fleet
    fleet.stop()


def fences(fleet: GatewayFleet) -> list[int]:
    return [host.owned["e0"].fence for host in fleet.hosts if "e0" in host.owned]


def test_hosts_go_on_after_a_loss(fleet: GatewayFleet) -> None:
    """Regression: an added route was not served, and a change not in force."""
    saved = fleet.store.save()
    for number in range(2, 40):
        fleet.store.write("op/config", configuration(number))
    wait_until(lambda: all(version(host.state) == 39 for host in fleet.hosts))
    [before] = fences(fleet)
    fleet.store.lose_writes(saved)
    wait_until(lambda: all(host.store.generation for host in fleet.hosts))
    assert all(version(host.state) == 39 for host in fleet.hosts)
    added = route("added", "/added/", "streaming", "engine")
    fleet.store.write("op/config", configuration(41, added=added))
    fleet.write_entry(fleet.replicas[0])
    wait_until(lambda: all(version(host.state) == 41 for host in fleet.hosts))
    wait_until(lambda: fences(fleet) and fences(fleet)[0] > before)
    [owner] = [host for host in fleet.hosts if "e0" in host.owned]
    # The owner has not paused, so that the adapter can be loaded at once.
    assert owner.claim_table.may_order("e0", boot_clock())
    for host in fleet.hosts:
        assert fleet.text("a9", path="/added/x", host=host).status == 200
    holders = {order["holder"] for order in fleet.replicas[0].orders}
    assert holders == {owner.id}


def test_hosts_register_again_after_a_loss(fleet: GatewayFleet) -> None:
    """Guards against a renewal of a lease whose id another host has by now."""
    saved = fleet.store.save()
    kept = {k: v for k, v in saved.items.items() if k.startswith(("op/", "servers/"))}
    saved.items.clear()
    saved.items.update(kept)
    fleet.store.lose_writes(saved)

    def leases() -> list[int]:
        prefix = "filbertyard/hosts/"
        items = fleet.store.items.items()
        return [value.lease for key, value in items if key.startswith(prefix)]

    wait_until(lambda: len(leases()) == 3)
    assert len(set(leases())) == 3
    wait_until(lambda: "filbertyard/owners/e0" in fleet.store.items)
    owner = json.loads(fleet.store.items["filbertyard/owners/e0"].value)["host"]
    assert [host.id for host in fleet.hosts if "e0" in host.claim_table.claims] == [
        owner
    ]


def test_another_host_does_not_claim_what_a_lost_record_gave_away(
    fleet: GatewayFleet,
) -> None:
    """Guards against two owners: one without the store still gives orders for 8 s."""
    [owner] = [host for host in fleet.hosts if "e0" in host.owned]
    others = [host for host in fleet.hosts if host is not owner]
    for host in others:
        wait_until(lambda host=host: "e0" in host.state.owners)
        now = time.monotonic()
        restore(host.state, config_item(1, 2, 1))
        host.state.writes_lost_at = now
        assert host.registrar.is_contested("e0", now)
        assert not host.registrar.is_contested("e0", now + HOST_LOSS_TIMEOUT_S)


def test_an_owner_that_was_cut_off_waits_for_a_successor_that_the_copy_lacks(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    [owner] = [host for host in fleet.hosts if "e0" in host.owned]
    saved = fleet.store.save()
    monkeypatch.setattr(owner.claim_table, "is_valid", lambda now: False)
    fleet.store.lose_writes(saved)
    wait_until(lambda: owner.registrar.generation == 1)
    claim = owner.claim_table.claims.get("e0")
    assert claim is None or claim.not_before > boot_clock() + HOST_LOSS_TIMEOUT_S / 2
