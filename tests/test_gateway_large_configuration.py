"""Large changes of the configuration reach all hosts, and none answers a false 404."""

from __future__ import annotations

import json
import random
import string
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from result import Err
from result import Ok
from result import Result

from filbertyard.exceptions import PeerError
from filbertyard.gateway.feedrows import MIN_COMPRESSED_BYTES
from filbertyard.gateway.feedrows import RowEncoder
from filbertyard.gateway.feedrows import decode_row
from filbertyard.gateway.hubs import MAX_PUSH_BYTES
from filbertyard.gateway.hubs import plan_push
from filbertyard.gateway.messages import FeedChanges
from filbertyard.gateway.messages import FeedPush
from filbertyard.gateway.messages import FetchFeed
from filbertyard.gateway.state import GatewayState
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.sync import FETCH_TIMEOUT_S
from filbertyard.gateway.sync import MAX_FETCH_TIMEOUT_S
from filbertyard.gateway.sync import FeedWatcher
from filbertyard.gateway.sync import PeerSync
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import WatchEvent
from filbertyard.messages import CODECS
from filbertyard.messages import Message
from filbertyard.platform.wireformat import create_platform_wire_format
from gatewayfleet import GatewayFleet
from gatewayfleet import configuration
from gatewayfleet import route
from gatewayfleet import wait_until

ROUTES = 1600

# Hosts of the largest zone of a fleet of 300 hosts in four zones.
ZONE_HOSTS = 80

# Bytes that an access link of 5 Mbit/s carries in a second.
SLOWEST_LINK_BYTES = 625_000


def large_configuration(version: int, routes: int = ROUTES) -> dict[str, Any]:
    """Return a configuration with routes whose names and prefixes are random."""
    letters = random.Random(version)

    def word() -> str:
        return "".join(letters.choices(string.ascii_lowercase + string.digits, k=7))

    found = {}
    for number in range(routes):
        found[f"r-{word()}{number}"] = route(
            f"r-{word()}{number}", f"/{word()}/", "idempotent", "desk", maxAttempts=2
        )
    return configuration(version, **found)


def large_item(version: int, revision: int, routes: int = ROUTES) -> Item:
    value = json.dumps(large_configuration(version, routes)).encode()
    return Item("op/config", value, 0, revision)


class RecordingPeers:
    """Record what a host sends; a call gets the next of `replies`."""

    def __init__(self, host: str = "hub", replies: tuple[Any, ...] = ()) -> None:
        self.host = host
        self.replies = list(replies)
        self.timeouts: list[float] = []
        self.sent: list[tuple[str, Message]] = []

    def handle(self, cls: type, handler: object) -> None:
        pass

    def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Result[Message | None, PeerError]:
        self.timeouts.append(timeout_s)
        reply = self.replies.pop(0) if self.replies else None
        if reply is None:
            return Err(PeerError("no reply", step="FetchFeed", peer=peer, sent=True))
        return Ok(reply)

    def send_one_way(self, host: str, message: Message) -> None:
        self.sent.append((host, message))

    def bytes_sent(self) -> int:
        """Return the size of all frames sent."""
        codec = CODECS["msgpack"]()
        return sum(len(codec.encode(0, 0, message)) for _, message in self.sent)


def create_sync(host: str = "hub", *replies: Any) -> PeerSync:
    """Return the synchronization of a host that knows nothing yet."""
    state = create_gateway_state(create_platform_wire_format())
    return PeerSync(state, RecordingPeers(host, replies))


def watched_push(state: GatewayState, *items: Item) -> FeedPush:
    """Return what a feed hub pushes after its watch reported these items."""
    pushes: list[FeedPush] = []
    watcher = FeedWatcher(
        state, state.operator_feed, None, 1.0, 0.0, lambda: True, pushes.append
    )
    watcher.apply_events([WatchEvent("put", item) for item in items])
    assert len(pushes) == 1
    return pushes[0]


def push_to(sync: PeerSync, hosts: list[str], push: FeedPush) -> None:
    """Send a push and wait until its greenlets have run."""
    sync.send_push(hosts, push)
    gevent.sleep(0)


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    found = GatewayFleet()
    try:
        yield found
    finally:
        found.stop()


def test_the_hosts_of_a_zone_send_a_large_change_in_less_than_its_size(
    fleet: GatewayFleet,
) -> None:
    """Regression: two hubs sent 395 KB to each host of their zone; links were full."""
    fleet.start(5)
    wait_until(
        lambda: (
            all(host.state.is_complete() for host in fleet.hosts)
            and all(len(host.fleet.reachable()) == 4 for host in fleet.hosts)
        )
    )
    # New hosts watch the store until they know the feed hubs of their zone.
    wait_until(
        lambda: (
            sum(
                not watcher.is_suspended
                for host in fleet.hosts
                for watcher in host.watchers
                if watcher.feed.prefix == "op/"
            )
            == 2
        )
    )
    value = json.dumps(large_configuration(2)).encode()
    before = sum(host.peers.traffic.bytes_sent for host in fleet.hosts)
    fleet.store.write("op/config", value)
    wait_until(
        lambda: all(host.state.configuration.version == 2 for host in fleet.hosts)
    )
    gevent.sleep(1.0)
    sent = sum(host.peers.traffic.bytes_sent for host in fleet.hosts) - before
    assert sent < len(value)
    assert {len(host.state.configuration.routes) for host in fleet.hosts} == {
        ROUTES + len(configuration()["routes"])
    }


def test_no_host_sends_more_of_a_large_change_than_its_link_carries_in_a_second() -> (
    None
):
    """Guards against zones so large that compression alone does not suffice."""
    hub = create_sync()
    push = watched_push(hub.state, large_item(2, 7))
    hosts = [f"h{number}" for number in range(ZONE_HOSTS)]
    push_to(hub, hosts, push)
    reached = [host for host, _ in hub.peers.sent]
    assert len(reached) < ZONE_HOSTS
    assert hub.peers.bytes_sent() < SLOWEST_LINK_BYTES
    for host, message in hub.peers.sent:
        assert isinstance(message, FeedPush)
        middle = create_sync(host)
        middle.handle_push("hub", message)
        gevent.sleep(0)
        assert middle.state.configuration is not None
        assert middle.peers.bytes_sent() < SLOWEST_LINK_BYTES
        reached += [onward for onward, _ in middle.peers.sent]
        assert not any(message.onward for _, message in middle.peers.sent)
    assert sorted(reached) == sorted(hosts)


@pytest.mark.parametrize("size", [1, 25_000, 700_000])
@pytest.mark.parametrize("count", [0, 1, 2, 19, 250])
def test_a_change_is_sent_to_each_host_once(count: int, size: int) -> None:
    """Guards against hosts that a plan leaves out, and against sending without end."""
    hosts = [f"h{number}" for number in range(count)]
    reached: list[str] = []
    waiting = [hosts]
    while waiting:
        plan = plan_push(waiting.pop(), size)
        assert len(plan) <= 2 or len(plan) * size <= MAX_PUSH_BYTES
        reached += plan
        waiting += [onward for onward in plan.values() if onward]
    assert sorted(reached) == sorted(hosts)


def test_a_small_change_is_sent_to_all_hosts_directly_and_as_it_is() -> None:
    hub = create_sync()
    value = json.dumps({"model": "m", "adapter": "a", "version": 3}).encode()
    push = watched_push(hub.state, Item("op/version/m/a", value, 0, 7))
    hosts = [f"h{number}" for number in range(ZONE_HOSTS)]
    push_to(hub, hosts, push)
    assert push.items == [["op/version/m/a", value, 7]]
    assert sorted(host for host, _ in hub.peers.sent) == sorted(hosts)
    assert not any(message.onward for _, message in hub.peers.sent)


def test_two_hubs_choose_other_hosts_to_pass_a_change_on() -> None:
    """Guards against hosts that get neither push when one host is lost."""
    hosts = [f"h{number}" for number in range(ZONE_HOSTS)]
    directly = []
    for name in ("hub-1", "hub-2"):
        hub = create_sync(name)
        push_to(hub, hosts, watched_push(hub.state, large_item(2, 7)))
        directly.append({host for host, _ in hub.peers.sent})
    assert directly[0] != directly[1]


def test_a_host_fetches_a_large_change_whose_push_was_lost() -> None:
    """Guards against hosts behind one that was lost before it passed a change on."""
    ahead = create_sync("ahead")
    ahead.state.apply_item(ahead.state.operator_feed, large_item(2, 7), 0.0, "store")
    changes = ahead.handle_fetch("behind", FetchFeed("op/", 0))
    assert len(CODECS["msgpack"]().encode(0, 0, changes)) < MAX_PUSH_BYTES
    behind = create_sync("behind", changes)
    assert behind.fetch("ahead", behind.state.operator_feed)
    assert behind.state.configuration is not None
    assert behind.state.configuration.version == 2
    assert behind.state.operator_feed.revision == 7


def test_an_older_configuration_that_arrives_late_changes_nothing() -> None:
    """Guards against a host that returns to an older configuration."""
    hub = create_sync()
    old = watched_push(hub.state, large_item(2, 7))
    new = watched_push(hub.state, large_item(3, 9))
    host = create_sync("host")
    host.state.apply_item(host.state.operator_feed, large_item(1, 6), 0.0, "store")
    for push in (old, new, old, new):
        host.handle_push("hub", push)
        assert host.state.configuration is not None
    assert host.state.configuration.version == 3
    assert host.state.operator_feed.revision == 9


def test_a_configuration_is_decoded_once_and_only_the_newest_of_a_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the processor time of slow hosts: 17 ms for 1,600 routes."""
    host = create_sync("host")
    decoded: list[int] = []
    read = host.state.wire.read_configuration

    def record(item: Item) -> Any:
        decoded.append(item.mod_revision)
        return read(item)

    monkeypatch.setattr(host.state.wire, "read_configuration", record)
    hub = create_sync()
    push = watched_push(hub.state, large_item(2, 7))
    for name in ("hub-1", "hub-2"):
        host.handle_push(name, push)
    assert decoded == [7]
    watched_push(host.state, large_item(3, 8), large_item(4, 9), large_item(5, 11))
    assert decoded == [7, 11]
    assert host.state.configuration is not None
    assert host.state.configuration.version == 5


def test_a_compressed_value_is_kept_for_the_next_recipient() -> None:
    encoder = RowEncoder()
    item = large_item(2, 7)
    first, second = encoder.encode(item), encoder.encode(item)
    assert first[1] is second[1]
    assert decode_row(first) == item
    newer = large_item(3, 8)
    assert decode_row(encoder.encode(newer)) == newer
    encoder.forget(newer.key)
    assert not encoder.compressed


def malformed_rows() -> list[list[Any]]:
    key, data, revision, size = RowEncoder().encode(large_item(2, 7))
    return [
        [key, data[:-1], revision, size],
        [key, data, revision, size - 1],
        [key, data, revision, size + 1],
        [key, data, revision, -1],
        [key, data, revision, 1 << 30],
        [key, data, revision, "zlib"],
        [key, b"x" * MIN_COMPRESSED_BYTES, revision, MIN_COMPRESSED_BYTES],
    ]


@pytest.mark.parametrize("row", malformed_rows())
def test_a_compressed_value_that_is_not_whole_is_ignored(row: list[Any]) -> None:
    """Guards against a configuration applied by half, and against endless values."""
    host = create_sync("host")
    host.state.apply_item(host.state.operator_feed, large_item(1, 6), 0.0, "store")
    host.handle_push("hub", FeedPush("op/", 6, [row], []))
    assert host.state.configuration is not None
    assert host.state.configuration.version == 1
    assert host.state.operator_feed.revision == 6
    assert len(host.state.rejections.causes) == 1


def test_a_fetch_that_fails_is_given_more_time_until_one_succeeds() -> None:
    """Guards against a reply that is sent again and again and never in time."""
    reply = FeedChanges([], [], revision=1)
    sync = create_sync("host", None, None, None, None, reply)
    feed = sync.state.operator_feed
    for _ in range(6):
        sync.fetch("peer", feed)
    assert sync.peers.timeouts[0] == FETCH_TIMEOUT_S
    assert max(sync.peers.timeouts) == MAX_FETCH_TIMEOUT_S
    assert sync.peers.timeouts[-1] == FETCH_TIMEOUT_S
