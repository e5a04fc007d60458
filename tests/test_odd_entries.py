"""Entries that another writer left: each costs only itself, at every border."""

import json
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertyard.exceptions import DocumentError
from filbertyard.exceptions import SettingsError
from filbertyard.gateway.messages import FeedPush
from filbertyard.gateway.state import create_gateway_state
from filbertyard.idempotency import decode_record
from filbertyard.keyvalue import Item
from filbertyard.platform import documents
from filbertyard.platform.settings import load_node_file
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.platform.wireformat import create_platform_wire_format
from gatewayfleet import GatewayFleet
from gatewayfleet import configuration
from gatewayfleet import start_small_fleet
from gatewayfleet import wait_until
from test_platform import NODE_FILE

ENTRY = {"service": "desk", "address": "127.0.0.1:9000", "state": "ready"}

DEEP = b"[" * 100_000 + b"]" * 100_000


def entry(**fields: Any) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


def raw_entry(name: str, value: bytes) -> bytes:
    return entry(**{name: "?"}).replace(b'"?"', value)


def models(adapter: str) -> list[dict[str, Any]]:
    return [{"name": "m0", "adapters": [adapter]}]


ODD_ENTRIES = {
    "deep": DEEP,
    "deep_known_field": raw_entry("models", DEEP),
    "deep_unknown_field": raw_entry("extra", DEEP),
    "port": entry(address="127.0.0.1:99999"),
    "port_zero": entry(address="127.0.0.1:0"),
    "octet": entry(address="300.1.1.1:80"),
    "other_digits": entry(address="127.0.0.1:\u0668\u0660"),
    "line_break": entry(address="127.0.0.1:9000\n"),
    "slots_huge": raw_entry("slots", b"1" + b"0" * 400),
    "slots_text": entry(slots="9" * 4000),
    "slots_64_bit": entry(slots=2**63),
    "slots_infinite": raw_entry("slots", b"Infinity"),
    "number_too_long": raw_entry("slots", b"9" * 5000),
    "born_huge": raw_entry("born", b"1" + b"0" * 400),
    "born_negative": entry(born=-1),
    "float_overflow": raw_entry("extra", b"1e999"),
    "version_too_long": entry(models=models("a@" + "9" * 5000)),
    "version_other_digit": entry(models=models("a@\u00b2")),
    "version_huge": entry(models=[{"name": "m0", "version": 2**70}]),
    "surrogate": entry(zone="\ud800"),
    "surrogate_key": entry(**{"\udfff": 1}),
    "not_unicode": b"\xff\xfe\xfd",
    "too_large": entry(extra="x" * (1 << 21)),
    "not_an_object": b"[]",
    "empty": b"",
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_is_a_document_error(name: str) -> None:
    """Guards against an entry that ends the task of the list, or names a replica."""
    with pytest.raises(DocumentError) as caught:
        documents.decode_replica(Item("servers/r", ODD_ENTRIES[name], 1, 2))
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("replica", ["a b", "a\r\nX-Other: 1", "", "\ud800", "a" * 300])
def test_an_id_that_no_header_can_hold_names_no_replica(replica: str) -> None:
    """Guards against requests that cannot be sent, and injected headers."""
    with pytest.raises(DocumentError):
        documents.decode_replica(Item(f"servers/{replica}", entry(), 1, 2))


ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(10**400), max_value=10**400)
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)

FIELDS = st.sampled_from(
    ["service", "address", "zone", "slots", "state", "born", "models", "version"]
    + ["sequence", "runs", "pending", "adapters", "name", "model", "adapter"]
)


@given(st.dictionaries(FIELDS, ANY_JSON) | ANY_JSON, st.binary())
def test_every_document_is_decoded_or_a_document_error(value: Any, data: bytes) -> None:
    """Guards against any other exception at the border of the store and engines."""
    state = create_gateway_state(create_platform_wire_format())
    for number, content in enumerate((json.dumps(value).encode(), data), 1):
        for key in ("servers/r", "op/config", "op/version/m.a", "filbertyard/hosts/h"):
            feed = next(f for f in state.feed_list() if key.startswith(f.prefix))
            state.apply_item(feed, Item(key, content, 1, number), 0.0, "test")
        for key in ("filbertyard/owners/r", "filbertyard/prompts/p"):
            item = Item(key, content, 1, number)
            state.apply_item(state.gateway_feed, item, 0.0, "test")
        with suppress(DocumentError):
            documents.decode_report(content, "r")
    assert not state.rejections.faults


# Whole hosts.


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = start_small_fleet()
    fleet.start_host()
    wait_until(lambda: fleet.hosts[1].state.configuration is not None)
    yield fleet
    fleet.stop()


def check_lists_are_followed(fleet: GatewayFleet, name: str, version: int) -> None:
    """Check that every host follows all lists and that none of its tasks ended."""
    fleet.add_replica(ReplicaStandin(name, "desk"))
    fleet.store.write("op/config", configuration(version))
    for host in fleet.hosts:
        wait_until(lambda host=host: host.state.is_usable(name))
        # A host that has just started may know replicas before the configuration.
        wait_until(
            lambda host=host: (
                host.state.configuration and host.state.configuration.version == version
            )
        )
        assert all(not task.dead for task in host.tasks)


def test_hosts_follow_the_lists_past_odd_entries(fleet: GatewayFleet) -> None:
    """Guards against hosts that stop following a list, or end, because of one entry."""
    for name, value in ODD_ENTRIES.items():
        fleet.store.write(f"servers/odd-{name}", value)
        fleet.store.write(f"op/version/{name}", value)
        fleet.store.write(f"filbertyard/hosts/{name}", value)
        fleet.store.write(f"filbertyard/owners/{name}", value)
        fleet.store.write(f"filbertyard/prompts/{name}", value)
    check_lists_are_followed(fleet, "d8", 2)
    # A host that starts reads them all at once.
    fleet.start_host()
    check_lists_are_followed(fleet, "d9", 3)
    for host in fleet.hosts:
        assert not [name for name in host.state.replicas if name.startswith("odd")]
        assert fleet.send("/stock/x", host=host).status == 200


def test_an_unreadable_configuration_leaves_the_last_one_in_force(
    fleet: GatewayFleet, caplog: pytest.LogCaptureFixture
) -> None:
    host = fleet.hosts[0]
    with caplog.at_level("WARNING"):
        for value in (DEEP, b"{}", b'{"version": 1e999}'):
            fleet.store.write("op/config", value)
        wait_until(lambda: "event=document_rejected" in caplog.text)
    assert host.state.configuration.version == 1
    check_lists_are_followed(fleet, "d9", 4)


def test_an_odd_row_of_a_push_costs_only_itself(fleet: GatewayFleet) -> None:
    """Guards against a peer of another build whose push is applied in part."""
    host = fleet.hosts[0]
    feed = host.state.replica_feed
    good = ["servers/d7", entry(), feed.revision + 10]
    rows = [["servers/x"], 5, ["servers/y", entry(), "9"], [1, 2, 3], good]
    host.sync.handle_push("peer", FeedPush(feed.prefix, feed.revision, rows, [[], 3]))
    assert host.state.is_usable("d7")


def test_rejections_are_logged_once_for_each_cause_and_bounded(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a writer that fills the log with one odd entry."""
    state = create_gateway_state(create_platform_wire_format())
    with caplog.at_level("WARNING"):
        for revision in range(2, 50):
            item = Item("servers/r", DEEP, 1, revision)
            state.apply_item(state.replica_feed, item, 0.0, "store")
        assert caplog.text.count("event=document_rejected") == 1
        for number in range(2000):
            item = Item(f"servers/r{number}", DEEP, 1, 50 + number)
            state.apply_item(state.replica_feed, item, 0.0, "store")
        assert caplog.text.count("event=document_rejected") <= 300


# Other borders.


@pytest.mark.parametrize(
    "change",
    [
        ("drainMs = 2000", "drainMs = inf"),
        ("10.0.0.1:7000", "10.0.0.1:70000"),
        ('zone = "a"', "zone = " + "[" * 50_000 + "]" * 50_000),
    ],
)
def test_odd_settings_are_settings_errors(tmp_path: Any, change: tuple) -> None:
    """Guards against a host that ends, or reloads half, because of its file."""
    path = tmp_path / "node.toml"
    assert change[0] in NODE_FILE
    path.write_text(NODE_FILE.replace(*change))
    with pytest.raises(SettingsError):
        load_node_file(path, 9464, "key")


def test_settings_that_are_not_unicode_are_a_settings_error(tmp_path: Any) -> None:
    path = tmp_path / "node.toml"
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(SettingsError):
        load_node_file(path, 9464, "key")


@pytest.mark.parametrize("value", [DEEP, b"\xff", b"9" * 5000, b'{"state": []}'])
def test_an_odd_record_of_a_call_is_no_record(value: bytes) -> None:
    assert decode_record(value) is None


@pytest.mark.parametrize("text", ["9" * 4200 + ",1,4", "\u0668,1,4", "-5,1,4", "1,1e5"])
def test_an_odd_load_header_is_no_load(text: str) -> None:
    """Guards against arithmetic that overflows while a replica is chosen."""
    head = create_platform_wire_format().read_response_head(
        200, [("Server-Load", text)]
    )
    assert (head.running, head.waiting) == (-1, 0)


def test_a_greenlet_survives_an_odd_peer_address(fleet: GatewayFleet) -> None:
    """Guards against a task that ends because a host's record has no valid address."""
    host = fleet.hosts[0]
    result = host.peers.send_one_way("not-an-address", FeedPush("x", 0, [], []))
    assert result.is_err()
    gevent.sleep(0)
