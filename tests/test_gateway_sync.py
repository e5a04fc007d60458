"""Hosts fetch from one another the changes that they do not get from the store."""

import json
import time
from typing import Any
from urllib.parse import parse_qs

import pytest
from result import Ok

from filbertyard.exceptions import KeyValueUnavailableError
from filbertyard.gateway.hubs import select_feed_hubs
from filbertyard.gateway.hubs import watches_store
from filbertyard.gateway.messages import FeedChanges
from filbertyard.gateway.messages import FeedPush
from filbertyard.gateway.messages import FetchFeed
from filbertyard.gateway.state import EXPIRY_GRACE_S
from filbertyard.gateway.state import GatewayState
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.sync import FETCH_DELAY_S
from filbertyard.gateway.sync import FeedWatcher
from filbertyard.gateway.sync import PeerSync
from filbertyard.httpcalls import HttpPeer
from filbertyard.httpcalls import HttpResponse
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import WatchEvent
from filbertyard.platform.wireformat import create_platform_wire_format
from gatewayfleet import BOUNDS
from gatewayfleet import GatewayFleet
from gatewayfleet import wait_until


class FakePeers:
    """Reply to fetches with the same changes, none by default."""

    def __init__(self, changes: FeedChanges | None = None) -> None:
        self.asked: list[str] = []
        self.changes = changes or FeedChanges([], [])

    def handle(self, cls: type, handler: object) -> None:
        pass

    def call(self, peer: str, message: object, timeout_s: float) -> Ok:
        self.asked.append(peer)
        return Ok(self.changes)


def test_a_host_that_is_behind_fetches_although_other_peers_are_behind_too() -> None:
    """Regression: a configuration arrived 2.4 s late after both feed hubs were lost."""
    peers = FakePeers()
    sync = PeerSync(create_gateway_state(create_platform_wire_format()), peers)
    sync.spawn = lambda function, *arguments: function(*arguments)
    for tick in range(4):
        now = tick * FETCH_DELAY_S / 2
        sync.compare_revisions("ahead", {"op/": 9}, now)
        sync.compare_revisions("behind", {"op/": 0}, now)
    assert peers.asked
    assert set(peers.asked) == {"ahead"}


def test_changes_that_a_push_left_out_are_fetched() -> None:
    """Regression: a host missing an owner's record bypassed that owner's queue."""
    peers = FakePeers()
    state = create_gateway_state(create_platform_wire_format())
    sync = PeerSync(state, peers)
    sync.spawn = lambda function, *arguments: function(*arguments)
    state.apply_item(state.gateway_feed, item("filbertyard/x", 5), 0.0, "store")
    sync.handle_push("hub", push(5, "filbertyard/y", 7))
    assert (peers.asked, state.gateway_feed.revision) == ([], 7)
    sync.handle_push("hub", push(9, "filbertyard/z", 10))
    assert (peers.asked, state.gateway_feed.revision) == (["hub"], 7)
    sync.compare_revisions("other", {"filbertyard/": 10}, 100.0)
    sync.compare_revisions("other", {"filbertyard/": 10}, 101.0)
    assert peers.asked == ["hub", "other"]


def test_a_host_that_fetched_what_a_push_left_out_is_no_longer_behind() -> None:
    """Regression: it fetched the same changes again at every heartbeat."""
    missing = [["filbertyard/y", b"{}", 8], ["filbertyard/z", b"{}", 10]]
    peers = FakePeers(FeedChanges(missing, [], revision=10))
    state = create_gateway_state(create_platform_wire_format())
    sync = PeerSync(state, peers)
    sync.spawn = lambda function, *arguments: function(*arguments)
    state.apply_item(state.gateway_feed, item("filbertyard/x", 5), 0.0, "store")
    sync.handle_push("hub", push(9, "filbertyard/z", 10))
    assert state.gateway_feed.revision == 10
    for now in (100.0, 101.0):
        sync.compare_revisions("hub", {"filbertyard/": 10}, now)
    assert peers.asked == ["hub"]


def push(since: int, key: str, revision: int) -> FeedPush:
    return FeedPush("filbertyard/", since, [[key, b"{}", revision]], [])


def watching(hosts: dict[str, bool]) -> list[str]:
    """Return the hosts that watch the store; the value tells if it answers them."""
    return [
        host
        for host, is_connected in hosts.items()
        if watches_store(
            host, {k: v for k, v in hosts.items() if k != host}, is_connected
        )
    ]


def test_two_hosts_of_a_zone_watch_the_store() -> None:
    """Guards against many hosts that all call the store; each call counts."""
    hosts = {f"h{number}": True for number in range(30)}
    following = watching(hosts)
    assert sorted(following) == sorted(select_feed_hubs(hosts))
    assert len(following) == 2


def test_hosts_take_the_place_of_feed_hubs_that_cannot_reach_the_store() -> None:
    hosts = {f"h{number}": True for number in range(5)}
    for feed_hub in select_feed_hubs(hosts):
        hosts[feed_hub] = False
    following = watching(hosts)
    assert len(following) == 2
    assert all(hosts[host] for host in following)


def test_a_single_host_that_the_store_answers_watches_it() -> None:
    hosts = {f"h{number}": number == 3 for number in range(30)}
    assert watching(hosts) == ["h3"]


def test_two_hosts_of_a_zone_try_while_the_store_answers_none() -> None:
    """Guards against an outage that the whole fleet meets with calls."""
    assert len(watching({f"h{number}": False for number in range(30)})) == 2


def test_an_old_entry_never_replaces_a_newer_one() -> None:
    """Guards against a process that returns to an older configuration."""
    state = create_gateway_state(create_platform_wire_format())
    feed = state.operator_feed
    assert feed.put(item("op/x", 5))
    assert not feed.put(item("op/x", 4))
    assert feed.remove("op/x", 6)
    assert not feed.put(item("op/x", 6))
    assert feed.put(item("op/x", 7))


def item(key: str, revision: int) -> Item:
    return Item(key, b"{}", 0, revision)


def state_with_a_replica() -> GatewayState:
    state = create_gateway_state(create_platform_wire_format())
    entry = {"service": "s", "address": "10.0.0.1:1", "state": "ready"}
    value = json.dumps(entry).encode()
    state.apply_item(
        state.replica_feed, Item("servers/r1", value, 0, 5), 100.0, "store"
    )
    return state


def watcher_without_store(state: GatewayState) -> FeedWatcher:
    """Return a connected watcher of replicas whose store never answers."""
    watcher = FeedWatcher(
        state, state.replica_feed, None, 1.0, 0.0, lambda: True, lambda push: None
    )
    watcher.record_connected()
    return watcher


def test_a_replica_that_leaves_after_an_outage_is_dropped_at_once() -> None:
    """Regression: a watched removal taken for an expiry exceeded the drain by 0.2 s."""
    state = state_with_a_replica()
    watcher = watcher_without_store(state)
    watcher.record_lost(KeyValueUnavailableError("away", step="watch", peer="store"))
    watcher.apply_events([WatchEvent("delete", item("servers/r1", 6))])
    assert not state.usable("s")


def test_an_entry_that_expired_in_an_outage_is_kept_for_a_moment() -> None:
    state = state_with_a_replica()
    state.apply_snapshot(state.replica_feed, [], 6, 101.0, is_after_outage=True)
    assert state.usable("s")
    state.drop_expired_replicas(104.0)
    assert not state.usable("s")


def fetch_from(state: GatewayState, changes: FeedChanges) -> None:
    """Have a host with this state fetch changes from a peer."""
    peers = FakePeers(changes)
    PeerSync(state, peers).fetch("peer", state.replica_feed)


def test_a_removal_that_a_peer_saw_is_no_expiry_in_an_outage() -> None:
    """Regression: a host without the store used a gone replica for 2 s more."""
    state = state_with_a_replica()
    watcher = watcher_without_store(state)
    watcher.record_lost(KeyValueUnavailableError("away", step="watch", peer="store"))
    fetch_from(state, FeedChanges([], [["servers/r1", 6]], 100.0))
    assert not state.usable("s")


def test_a_removal_that_a_peer_saw_ends_the_use_of_a_kept_replica() -> None:
    state = state_with_a_replica()
    state.apply_snapshot(state.replica_feed, [], 7, 101.0, is_after_outage=True)
    fetch_from(state, FeedChanges([], [["servers/r1", 6]]))
    assert not state.usable("s")


def test_a_host_keeps_what_its_peer_keeps_after_an_outage() -> None:
    """Guards against dropping all replicas whose entries expired in an outage."""
    peer_state = state_with_a_replica()
    now = time.monotonic()
    peer_state.apply_snapshot(peer_state.replica_feed, [], 6, now, is_after_outage=True)
    changes = PeerSync(peer_state, FakePeers()).handle_fetch(
        "host", FetchFeed("servers/", 5)
    )
    state = state_with_a_replica()
    fetch_from(state, changes)
    assert state.usable("s")
    state.drop_expired_replicas(time.monotonic() + EXPIRY_GRACE_S)
    assert not state.usable("s")


def test_an_old_removal_does_not_drop_a_replica_that_is_back() -> None:
    state = state_with_a_replica()
    fetch_from(state, FeedChanges([], [["servers/r1", 4]]))
    assert state.usable("s")
    state.apply_snapshot(state.replica_feed, [], 7, 101.0, is_after_outage=True)
    fetch_from(state, FeedChanges([], [["servers/r1", 4]]))
    assert state.usable("s")


def test_a_watch_that_hangs_is_given_up_before_a_leaving_replica_has_drained(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: after a silent outage, hosts used leaving replicas for 11 s."""
    timeouts: dict[str, float] = {}
    send = HttpPeer.exchange

    def record_timeout(
        peer: HttpPeer, method: str, path: str, *arguments: Any, **options: Any
    ) -> tuple[HttpResponse, bytes]:
        if path.startswith("/api/kv-watch"):
            prefix = parse_qs(path.partition("?")[2])["prefix"][0]
            timeouts[prefix] = options["timeout_s"]
        return send(peer, method, path, *arguments, **options)

    monkeypatch.setattr(HttpPeer, "exchange", record_timeout)
    fleet = GatewayFleet()
    try:
        fleet.start()
        wait_until(lambda: len(timeouts) == 3)
    finally:
        fleet.stop()
    assert timeouts["servers/"] <= BOUNDS.drain_s
    # A configuration has to be in force 2 s after the store has been back for 3 s.
    assert max(timeouts.values()) <= 5.0
