"""Tests of the platform's settings, wire format, documents and store client."""

import json
import math
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from filbertyard.exceptions import DocumentError
from filbertyard.exceptions import KeyValueRejectedError
from filbertyard.exceptions import KeyValueUnavailableError
from filbertyard.exceptions import LeaseEndedError
from filbertyard.exceptions import RequestError
from filbertyard.exceptions import RevisionCompactedError
from filbertyard.exceptions import SettingsError
from filbertyard.gateway.process import reload
from filbertyard.gateway.types import AdapterName
from filbertyard.gateway.types import Quota
from filbertyard.gateway.types import Workspace
from filbertyard.gateway.wire import Order
from filbertyard.keyvalue import Compare
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import Put
from filbertyard.platform.factory import create_platform_host
from filbertyard.platform.settings import load_node_file
from filbertyard.platform.standins import PlatformStoreStandin
from filbertyard.platform.store import PlatformStore
from filbertyard.platform.wireformat import create_platform_wire_format

WIRE_FORMAT = create_platform_wire_format()

NODE_FILE = """
nodeName = "n1"
ip = "10.0.0.1"
zone = "a"
region = "r"
seeds = ["10.0.0.2:7000"]
unknownField = 1
[listen]
front = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
control = "10.0.0.1:7000"
directory = "10.0.0.1:8003"
[bounds]
drainMs = 2000
graceS = 8
leaseMs = 3000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
[provider]
address = "10.200.0.1:9000"
"""


def item(key: str, value: object) -> Item:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Item(key, data, 1, 7)


def request(target: str = "/x/1", **headers: str) -> object:
    pairs = [(key.replace("_", "-"), value) for key, value in headers.items()]
    return WIRE_FORMAT.read_request("POST", target, pairs, b"body", 100.0)


def test_settings_are_read_and_unknown_fields_ignored(tmp_path) -> None:  # noqa: ANN001
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE)
    settings = load_node_file(path, 9464, "key")
    assert settings.peers == "10.0.0.1:7000"
    assert settings.bounds.order_gap_s == 3.0
    assert settings.metrics == "10.0.0.1:9464"


def test_keys_are_accepted_without_the_store_unless_the_settings_deny_it(
    tmp_path: Path,
) -> None:
    """Guards against settings files without these fields that are no longer read."""
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE)
    host = create_platform_host(load_node_file(path, 9464, ""))
    assert host.entry.access_policy.max_unconfirmed_s == math.inf
    closed = "[bounds]\nrevokeClosed = true\nrevokeMs = 2500\n"
    path.write_text(NODE_FILE.replace("[bounds]\n", closed))
    reload(host, partial(load_node_file, path, 9464, ""))
    assert host.entry.access_policy.max_unconfirmed_s == 2.5


def test_reload_applies_bounds_and_names_settings_that_need_a_restart(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE)
    read_settings = partial(load_node_file, path, 9464, "")
    host = create_platform_host(read_settings())
    path.write_text(
        NODE_FILE.replace("budgetSlack = 58", "budgetSlack = 9").replace(
            'zone = "a"', 'zone = "b"'
        )
    )
    with caplog.at_level("INFO"):
        reload(host, read_settings)
    assert host.budget.slack == 9
    assert host.settings.availability_zone == "a"
    assert "needs_restart=availability_zone" in caplog.text
    path.write_text("nodeName = 5")
    reload(host, read_settings)
    assert "event=reload_failed" in caplog.text
    assert host.budget.slack == 9


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (("leaseMs = 3000\n", ""), "bounds.leaseMs"),
        (('front = "10.0.0.1:8000"', 'front = "nowhere"'), "listen.front"),
        (('zone = "a"', "zone = 5"), "zone"),
    ],
)
def test_bad_settings_name_the_field(tmp_path, change, field: str) -> None:  # noqa: ANN001
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE.replace(*change))
    with pytest.raises(SettingsError) as caught:
        load_node_file(path, 0, "")
    assert caught.value.path == field
    assert str(path) in caught.value.message


def test_requests_are_decoded_without_internal_headers() -> None:
    found = request(
        Host="Fleet.Example:80",
        Request_Id="r1",
        Model="m0/a1",
        Token_Usage="1460,80",
        Length_Hint="30",
        Deadline_Ms="4000",
        Kv_From="10.0.0.1:1/x",
        Connection="close, X-Hop",
        X_Hop="1",
        X_Kept="1",
    )
    assert found.host == "fleet.example"
    assert found.adapter == AdapterName("m0", "a1")
    assert (found.prompt_tokens, found.output_tokens) == (1460, 30)
    assert found.deadline == 104.0
    names = {name.lower() for name, _ in found.headers}
    assert "kv-from" not in names
    assert "x-hop" not in names
    assert "x-kept" in names
    sent = WIRE_FORMAT.request_headers(found, "i-1", 1.5, 0, 2, "")
    assert sent["Deadline-Ms"] == "1500"
    assert sent["Target-Instance"] == "i-1"
    assert sent["Expected-Version"] == "2"


def test_bad_numbers_in_headers_name_the_header() -> None:
    with pytest.raises(RequestError) as caught:
        request(Deadline_Ms="soon")
    assert caught.value.field == "Deadline-Ms"


def test_response_heads_tell_whether_a_request_ran() -> None:
    ran = WIRE_FORMAT.read_response_head(
        500, [("Response-Signature", "s"), ("Request-Id", "r1")]
    )
    assert ran.is_signed
    assert not ran.is_not_run
    assert WIRE_FORMAT.read_response_head(503, [("Not-Executed", "1")]).is_not_run
    assert WIRE_FORMAT.read_response_head(421, []).is_adapter_absent
    assert not WIRE_FORMAT.read_response_head(503, []).is_not_run
    assert WIRE_FORMAT.read_response_head(200, [("Server-Load", "3,2,8")]).running == 3
    assert WIRE_FORMAT.read_response_head(200, [("Server-Load", "odd")]).running == -1


def test_orders_carry_sequence_holder_and_fence() -> None:
    message = WIRE_FORMAT.order(Order("load", "m0", "a1", 2, 5, "h1", 41), "i-1")
    assert json.loads(message.body) == {
        "operation": "load",
        "model": "m0",
        "adapter": "a1",
        "version": 2,
        "expected": 5,
        "holder": "h1",
        "fence": 41,
    }
    assert WIRE_FORMAT.order_result(202) == "accepted"
    assert WIRE_FORMAT.order_result(409) == "busy"
    assert WIRE_FORMAT.order_result(503) is None


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        [],
        {"service": "s", "address": "10.0.0.1:1"},
        {"service": "s", "address": "here", "state": "ready"},
        {"service": "s", "address": "10.0.0.1:1", "state": "asleep"},
        {"service": 5, "address": "10.0.0.1:1", "state": "ready"},
    ],
)
def test_invalid_replica_entries_are_rejected(value: object) -> None:
    with pytest.raises(DocumentError):
        WIRE_FORMAT.read_replica(item("servers/x", value))


def test_reports_list_resident_and_pending_adapters_with_versions() -> None:
    body = {
        "sequence": 3,
        "models": [{"name": "m0", "version": 1, "adapters": ["a1@2", "a3"]}],
        "pending": ["m0/a4@5"],
        "born": 9,
    }
    report = WIRE_FORMAT.read_report(json.dumps(body).encode(), "i-1")
    assert report.adapters == {AdapterName("m0", "a1"): 2, AdapterName("m0", "a3"): 1}
    assert report.pending == {AdapterName("m0", "a4"): 5}


def test_the_longest_matching_prefix_wins() -> None:
    def route(name: str, prefix: str) -> dict:
        return {
            "name": name,
            "host": "H.example",
            "prefix": prefix,
            "kind": "idempotent",
            "timeoutMs": 100,
            "service": "s",
        }

    value = {
        "version": 3,
        "routes": [route("a", "/x/"), route("b", "/x/y/")],
        "services": [],
    }
    found = WIRE_FORMAT.read_configuration(item("op/config", value))
    assert found.find_route("h.example", "/x/y/z").name == "b"
    assert found.find_route("h.example", "/x/z").name == "a"
    assert found.find_route("h.example", "/other/") is None


@pytest.fixture
def store() -> Iterator[PlatformStoreStandin]:
    standin = PlatformStoreStandin()
    standin.start()
    yield standin
    standin.stop()


def test_range_reads_all_pages(store: PlatformStoreStandin) -> None:
    store.page_items = 2
    for number in range(5):
        store.write(f"k/{number}", number)
    found = PlatformStore(store.address).range("k/", prefix=True)
    assert [entry.key for entry in found.items] == [f"k/{n}" for n in range(5)]


def test_failed_transactions_return_the_compared_keys(
    store: PlatformStoreStandin,
) -> None:
    client = PlatformStore(store.address)
    first = client.txn([Compare("k", 0)], [Put("k", b"1")])
    assert first.succeeded
    second = client.txn([Compare("k", 0)], [Put("k", b"2")])
    assert not second.succeeded
    assert second.items[0].mod_revision == first.revision
    with pytest.raises(LeaseEndedError):
        client.txn([], [Put("k", b"3", lease=99)])


def test_rejected_writes_differ_from_unanswered_ones(
    store: PlatformStoreStandin,
) -> None:
    """Guard against treating a write without a response as one without effect."""
    client = PlatformStore(store.address)
    store.faults.drop_writes = 1
    with pytest.raises(KeyValueRejectedError):
        client.txn([], [Put("k", b"1")])
    store.faults.lose_responses = 1
    with pytest.raises(KeyValueUnavailableError) as caught:
        client.txn([], [Put("k", b"1")])
    assert not isinstance(caught.value, KeyValueRejectedError)
    assert client.range("k").items


def test_watches_yield_changes_and_report_lost_history(
    store: PlatformStoreStandin,
) -> None:
    client = PlatformStore(store.address)
    revision = store.write("k/1", 1)
    store.write("k/2", 2)
    store.delete("k/1")
    changes = client.watch("k/", revision + 1, 1.0)
    events = next(changes)
    assert [(event.kind, event.item.key) for event in events] == [
        ("put", "k/2"),
        ("delete", "k/1"),
    ]
    store.write("k/3", 3)
    store.compact()
    store.write("k/4", 4)
    with pytest.raises(RevisionCompactedError):
        next(client.watch("k/", revision + 1, 1.0))


def test_leases_end_when_they_are_not_renewed(store: PlatformStoreStandin) -> None:
    client = PlatformStore(store.address)
    lease = client.lease_grant(3)
    client.txn([], [Put("k", b"1", lease)])
    assert client.lease_keepalive(lease) > 0
    store.leases[lease] = (3, 0.0)
    assert client.lease_keepalive(lease) == 0
    assert not client.range("k").items


def test_the_last_part_of_a_prompt_is_its_own() -> None:
    shared = request(Prompt_Prefix="5c1e07a2:800, 91bd3f06:410,e4402b7d:250")
    assert shared.prompt_parts == ("5c1e07a2", "91bd3f06")
    assert request(Prompt_Prefix="e4402b7d:250").prompt_parts == ()
    assert request().prompt_parts == ()


def workspace_configuration(**changes: object) -> Item:
    value = {
        "version": 3,
        "routes": [],
        "services": [],
        "tenants": [
            {
                "name": "north",
                "apiKeys": ["k1", "k2"],
                "priority": 0,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 500,
                "burst": 900,
            },
            {"name": "south", "apiKeys": ["k3"]},
        ],
    }
    return item("op/config", {**value, **changes})


def test_api_keys_are_kept_as_digests_of_their_workspaces() -> None:
    """Guards against keys that a dump of the configuration would show."""
    found = WIRE_FORMAT.read_configuration(workspace_configuration())
    caller = request(Authorization="Bearer k2")
    north = found.workspaces[caller.key_digest]
    assert (north.name, north.rank) == ("north", 0)
    assert north.quota == Quota(500.0, 900.0, "tokens", 200)
    south = found.workspaces[request(Authorization="Bearer k3").key_digest]
    assert south == Workspace("south")
    assert request(Authorization="Basic k2").key_digest == b""
    assert "k1" not in repr(found)
    assert found.has_workspaces
    without = WIRE_FORMAT.read_configuration(workspace_configuration(tenants=None))
    assert not without.has_workspaces


def test_a_configuration_that_lost_its_last_workspace_still_asks_for_keys() -> None:
    """Guards against routes that are open to all once the last customer is removed."""
    empty = WIRE_FORMAT.read_configuration(workspace_configuration(tenants=[]))
    assert empty.has_workspaces
    assert not empty.workspaces


def test_replicas_get_the_workspace_and_never_the_key() -> None:
    """Guards against a caller that names a workspace of its own choice."""
    found = request(Authorization="Bearer k2", Tenant="other")
    sent = WIRE_FORMAT.request_headers(found, "i-1", 1.0, 0, 0, "", "north")
    names = {name.lower() for name in sent}
    assert "authorization" not in names
    assert sent["Tenant"] == "north"
    assert "k2" not in repr(sent)
    public = WIRE_FORMAT.request_headers(found, "i-1", 1.0, 0, 0, "", "")
    assert not {"authorization", "tenant"} & {name.lower() for name in public}


def test_replicas_report_their_slots_and_how_slow_they_are() -> None:
    head = WIRE_FORMAT.read_response_head(200, [("Server-Load", "3,1,8,250")])
    assert (head.running, head.waiting, head.slots, head.slowdown) == (3, 1, 8, 2.5)
    head = WIRE_FORMAT.read_response_head(200, [("Server-Load", "3,1,8")])
    assert (head.slots, head.slowdown) == (8, 1.0)
    assert WIRE_FORMAT.read_response_head(200, []).running == -1


def test_names_and_keys_may_hold_any_text() -> None:
    """Regression: with such a name, replicas counted as unreachable."""
    content = workspace_configuration(
        tenants=[{"name": "株式会社", "apiKeys": ["clé"]}]
    )
    found = WIRE_FORMAT.read_configuration(content)
    # As a server decodes the bytes of a header.
    key = "clé".encode().decode("latin-1")
    caller = request(Authorization=f"Bearer {key}")
    workspace = found.workspaces[caller.key_digest]
    sent = WIRE_FORMAT.request_headers(caller, "i", 1.0, 0, 0, "", workspace.name)
    assert sent["Tenant"].encode("latin-1").decode() == "株式会社"
