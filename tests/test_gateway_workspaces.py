"""API keys of callers: who may send a request, and what replicas and logs see."""

import math
import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from result import Err
from result import Ok

from filbertyard.exceptions import KeyValueUnavailableError
from filbertyard.exceptions import UpstreamError
from filbertyard.gateway import confirmer as confirmers
from filbertyard.gateway import entry
from filbertyard.gateway.confirmer import CONFIRMATION_WAIT_S
from filbertyard.gateway.confirmer import ConfigurationConfirmer
from filbertyard.gateway.messages import ConfigurationAge
from filbertyard.gateway.messages import ConfirmConfiguration
from filbertyard.gateway.state import create_gateway_state
from filbertyard.gateway.types import Configuration
from filbertyard.gateway.types import Route
from filbertyard.gateway.types import WeightedService
from filbertyard.gateway.types import Workspace
from filbertyard.gateway.types import create_configuration
from filbertyard.gateway.types import key_digest
from filbertyard.gateway.workspaces import UNKNOWN_KEY_MAX_AGE_S
from filbertyard.gateway.workspaces import create_access_policy
from filbertyard.httpcalls import create_http_peer
from filbertyard.keyvalue import Item
from filbertyard.keyvalue import RangeResult
from filbertyard.metrics import Metrics
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.platform.wireformat import create_platform_wire_format
from gatewayfleet import BOUNDS
from gatewayfleet import GatewayFleet
from gatewayfleet import Reply
from gatewayfleet import configuration
from gatewayfleet import read_reply
from gatewayfleet import route
from gatewayfleet import wait_until

NORTH = Workspace("north", rank=0)

OPEN = create_access_policy(rejects_unconfirmed=False, max_unconfirmed_s=5.0)
CLOSED = create_access_policy(rejects_unconfirmed=True, max_unconfirmed_s=5.0)

PLAIN_ROUTE = Route(
    name="order",
    host="fleet.example",
    prefix="/order/",
    kind="non_idempotent",
    timeout_s=10.0,
    objective_s=1.0,
    rank=3,
    services=(WeightedService("desk", 1.0),),
    max_replicas=1,
)
PUBLIC_ROUTE = replace(PLAIN_ROUTE, is_public=True)


def with_keys(*keys: str) -> Configuration:
    workspaces = {key_digest(key): NORTH for key in keys}
    return create_configuration(1, 1, (PLAIN_ROUTE,), {}, None, workspaces)


# Decisions.


def test_a_known_key_is_accepted_however_old_the_configuration_is() -> None:
    """Guards against an outage of the store that stops callers without need."""
    access = OPEN.decide(with_keys("k1"), PLAIN_ROUTE, key_digest("k1"), math.inf)
    assert (access.verdict, access.workspace) == ("allowed", NORTH)


@pytest.mark.parametrize("key", [key_digest("k2"), b""])
def test_an_unknown_key_is_rejected_only_by_a_confirmed_configuration(
    key: bytes,
) -> None:
    """Guards against 401 for a key that this host has not heard of yet."""
    known = with_keys("k1")
    for age_s, verdict in (
        (0.0, "unknown_key"),
        (UNKNOWN_KEY_MAX_AGE_S, "unknown_key"),
        (UNKNOWN_KEY_MAX_AGE_S + 0.01, "unconfirmed"),
        (math.inf, "unconfirmed"),
    ):
        access = OPEN.decide(known, PLAIN_ROUTE, key, age_s)
        assert access.verdict == verdict
        assert access.workspace is None


def test_a_closed_deployment_rejects_known_keys_once_they_are_unconfirmed() -> None:
    """Guards against a revoked key that a host cut off from the store accepts on."""
    known = with_keys("k1")
    digest = key_digest("k1")
    assert CLOSED.decide(known, PLAIN_ROUTE, digest, 5.0).verdict == "allowed"
    access = CLOSED.decide(known, PLAIN_ROUTE, digest, 5.1)
    assert (access.verdict, access.max_age_s) == ("unconfirmed", 5.0)
    # What needs no key is no matter of revoked ones.
    assert CLOSED.decide(known, PUBLIC_ROUTE, digest, 99.0).verdict == "allowed"


def test_public_routes_need_no_key_and_still_name_the_workspace_of_one() -> None:
    known = with_keys("k1")
    for key, workspace in ((b"", None), (key_digest("k9"), None)):
        access = OPEN.decide(known, PUBLIC_ROUTE, key, math.inf)
        assert (access.verdict, access.workspace) == ("allowed", workspace)
    access = OPEN.decide(known, PUBLIC_ROUTE, key_digest("k1"), math.inf)
    assert access.workspace is NORTH


def test_a_configuration_without_workspaces_asks_for_no_key() -> None:
    """Guards against deployments without workspaces that are no longer served."""
    without = create_configuration(1, 1, (PLAIN_ROUTE,), {}, None)
    assert CLOSED.decide(without, PLAIN_ROUTE, b"", math.inf).verdict == "allowed"
    # The last key of the last workspace may be removed; all are unknown then.
    access = OPEN.decide(with_keys(), PLAIN_ROUTE, key_digest("k1"), 0.0)
    assert access.verdict == "unknown_key"


# Confirmations.


class FakeStore:
    """Hold one configuration; fail or hang if told to."""

    def __init__(self) -> None:
        self.item = config_item(1)
        self.calls: list[str] = []
        self.is_away = False
        self.delay_s = 0.0

    def range(self, key: str, *, prefix: bool = False) -> RangeResult:
        self.calls.append(key)
        found = self.item
        gevent.sleep(self.delay_s)
        if self.is_away:
            raise KeyValueUnavailableError("away", step="test", peer="store")
        return RangeResult(found.mod_revision, [found])


class FakePeers:
    """Answer confirmations with a reply, or not at all."""

    def __init__(self, reply: ConfigurationAge | None = None) -> None:
        self.asked: list[str] = []
        self.reply = reply
        self.handlers: dict[type, Callable[..., Any]] = {}

    def handle(self, cls: type, handler: Callable[..., Any]) -> None:
        self.handlers[cls] = handler

    def call(self, host: str, message: object, timeout_s: float) -> Any:
        self.asked.append(host)
        return Err("silent") if self.reply is None else Ok(self.reply)


def config_item(version: int) -> Item:
    value = f'{{"version": {version}, "routes": [], "services": []}}'
    return Item("op/config", value.encode(), 1, version)


def confirmer(
    store: FakeStore, reply: ConfigurationAge | None = None, hub: str = ""
) -> ConfigurationConfirmer:
    """Return a confirmer of a host that knows version 1."""
    state = create_gateway_state(create_platform_wire_format())
    state.apply_item(state.operator_feed, config_item(1), 0.0, "store")
    peers: Any = FakePeers(reply)
    fetched = config_item(2)

    fetching: set[str] = set()

    def fetch(peer: str, feed: Any) -> bool:
        fetching.discard(feed.prefix)
        return state.apply_item(feed, fetched, 0.0, peer)

    sync: Any = SimpleNamespace(fetch=fetch, fetching=fetching)
    return ConfigurationConfirmer(
        state,
        store,
        sync,
        peers,
        lambda: hub,
        lambda: ["p1", "p2", "p3"],
        Metrics(),
    )


def test_a_newer_configuration_in_the_store_is_in_force_after_a_confirmation() -> None:
    store = FakeStore()
    found = confirmer(store)
    store.item = config_item(2)
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert found.state.configuration.version == 2
    assert found.state.operator_feed.revision == 2


def test_many_unknown_keys_share_one_call_of_the_store() -> None:
    """Guards against a flood of unknown keys that floods the store."""
    store = FakeStore()
    store.delay_s = 0.02
    found = confirmer(store)
    waiting = [gevent.spawn(found.confirm, UNKNOWN_KEY_MAX_AGE_S) for _ in range(50)]
    assert all(item.get(timeout=10) for item in waiting)
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert len(store.calls) == 1


def test_without_the_store_peers_confirm_and_bring_what_is_newer() -> None:
    """Guards against a host that only the store turns away and that rejects callers."""
    store = FakeStore()
    store.is_away = True
    found = confirmer(store, ConfigurationAge(2, 0.1))
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert found.state.configuration.version == 2
    assert 0.1 <= found.age_s() < 5.0
    assert found.peers.asked == ["p1"]


def test_the_feed_hub_of_the_zone_is_asked_before_the_store() -> None:
    """Guards against calls of the store that grow with the number of hosts."""
    store = FakeStore()
    found = confirmer(store, ConfigurationAge(2, 0.1), hub="p2")
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert found.state.configuration.version == 2
    assert (found.peers.asked, store.calls) == (["p2"], [])
    found = confirmer(store, None, hub="p2")
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert (found.peers.asked, len(store.calls)) == (["p2"], 1)


def test_a_silent_store_is_not_waited_for_if_another_host_confirms() -> None:
    """Regression: in an outage for some hosts, they rejected what others served."""
    store = FakeStore()
    store.delay_s = 60.0
    found = confirmer(store, ConfigurationAge(2, 0.1))
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert found.state.configuration.version == 2


def test_an_outage_is_met_by_few_calls_and_no_wait() -> None:
    """Guards against every unknown key being held while nobody can confirm."""
    store = FakeStore()
    store.is_away = True
    found = confirmer(store, ConfigurationAge(2))
    for _ in range(20):
        assert not found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert len(store.calls) == 1
    assert found.peers.asked == ["p1", "p2"]
    found.retry_at = found.store_retry_at = -math.inf
    store.is_away = False
    assert found.confirm(UNKNOWN_KEY_MAX_AGE_S)


def test_a_silent_store_holds_a_request_for_a_short_time_only() -> None:
    store = FakeStore()
    store.delay_s = 60.0
    found = confirmer(store)
    started_at = time.monotonic()
    assert not found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert time.monotonic() - started_at >= CONFIRMATION_WAIT_S


def test_a_configuration_that_cannot_be_read_confirms_nothing() -> None:
    """Guards against 401 by an older version while the newest one is unreadable."""
    store = FakeStore()
    found = confirmer(store)
    store.item = Item("op/config", b'{"version": 3}', 1, 3)
    assert not found.confirm(UNKNOWN_KEY_MAX_AGE_S)
    assert found.state.configuration.version == 1


def test_a_host_without_the_store_confirms_nothing_to_others() -> None:
    store = FakeStore()
    found = confirmer(store, ConfigurationAge(2, 0.0))
    store.is_away = True
    assert found.handle_confirm("x", ConfirmConfiguration()).age_s is None
    # Two hosts that both lost the store must not take each other's word.
    assert not found.peers.asked
    # Many hosts that lost the store ask at once; a store that is away is asked once.
    assert len(store.calls) == 1
    assert found.handle_confirm("x", ConfirmConfiguration()).age_s is None
    assert len(store.calls) == 1
    found.store_retry_at = -math.inf
    store.is_away = False
    store.delay_s = 0.02
    asking = [
        gevent.spawn(found.handle_confirm, "x", ConfirmConfiguration())
        for _ in range(20)
    ]
    assert all(item.get(timeout=10).age_s < 5.0 for item in asking)
    assert len(store.calls) == 2


# Whole hosts on stand-ins of the platform.


def workspaces(**keys: list[str]) -> list[dict[str, Any]]:
    ranks = {"north": {"priority": 0}}
    return [
        {"name": name, "apiKeys": found, **ranks.get(name, {})}
        for name, found in keys.items()
    ]


def with_workspaces(version: int, **keys: list[str]) -> dict[str, Any]:
    found = configuration(
        version, open=route("open", "/open/", "idempotent", "desk", public=True)
    )
    return {**found, "tenants": workspaces(**keys)}


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[GatewayFleet]:
    # A busy machine may take longer than the time that callers are made to wait.
    monkeypatch.setattr(confirmers, "CONFIRMATION_WAIT_S", 20.0)
    fleet = GatewayFleet()
    fleet.store.start()
    content = with_workspaces(1, north=["secret-k1"], south=["secret-k2"])
    fleet.store.write("op/config", content)
    fleet.start_host()
    fleet.add_replica(ReplicaStandin("d1", "desk"))
    await_version(fleet, 1)
    wait_until(lambda: fleet.hosts[0].state.usable("desk"))
    yield fleet
    fleet.stop()


def await_version(fleet: GatewayFleet, version: int) -> None:
    wait_until(
        lambda: all(
            host.state.configuration and host.state.configuration.version == version
            for host in fleet.hosts
        )
    )


def stop_feeds(fleet: GatewayFleet) -> None:
    """Let no change reach the hosts by the feeds, as behind a store that hangs."""
    for host in fleet.hosts:
        for task in host.tasks[: len(host.watchers)]:
            task.kill()


def last_run(fleet: GatewayFleet) -> dict[str, Any]:
    headers: dict[str, Any] = fleet.replicas[0].runs[-1]["headers"]
    return headers


def test_replicas_get_the_workspace_whatever_the_caller_states(
    fleet: GatewayFleet,
) -> None:
    """Guards against keys at replicas and workspaces of the caller's own choice."""
    cases: list[dict[str, str]] = [
        {"Authorization": "Bearer secret-k1"},
        {"Authorization": "Bearer secret-k1", "Tenant": "south"},
        {"AUTHORIZATION": "bearer  secret-k1", "tEnAnT": "south", "Tenant": "x"},
        {"authorization": "Bearer secret-k1", "Connection": "authorization, tenant"},
    ]
    for headers in cases:
        reply = fleet.send("/order/x?q=secret-q", **headers)
        assert reply.status == 200
        run = last_run(fleet)
        assert run["HTTP_TENANT"] == "north"
        assert "secret-k1" not in repr(run)
        assert fleet.replicas[0].runs[-1]["path"] == "/order/x?q=secret-q"


def test_a_key_in_a_trailer_neither_counts_nor_reaches_a_replica(
    fleet: GatewayFleet,
) -> None:
    """Guards against headers after the body that replace those before it."""
    connection = OpenConnection(fleet)
    lines = ["POST /order/x HTTP/1.1", "Host: fleet.example", "Request-Id: t1"]
    lines += ["Transfer-Encoding: chunked", "Trailer: Authorization", "", "2", "{}"]
    lines += ["0", "Authorization: Bearer secret-k2", "Tenant: south", "", ""]
    lines.insert(1, "Authorization: Bearer secret-k1")
    connection.sock.sendall("\r\n".join(lines).encode())
    assert read_reply(connection.sock).status == 200
    run = last_run(fleet)
    assert run["HTTP_TENANT"] == "north"
    assert "secret-k" not in repr(fleet.replicas[0].runs)
    assert connection.send("secret-k2").status == 200
    assert last_run(fleet)["HTTP_TENANT"] == "south"


def test_two_keys_in_one_request_are_rejected(fleet: GatewayFleet) -> None:
    """Guards against a request that two servers count for two workspaces."""
    reply = fleet.send(
        "/order/x", Authorization="Bearer secret-k1", authorization="Bearer secret-k2"
    )
    assert reply.status == 401
    assert not fleet.replicas[0].runs


def test_a_public_route_needs_no_key(fleet: GatewayFleet) -> None:
    for headers in ({}, {"Authorization": "Bearer unknown", "Tenant": "north"}):
        assert fleet.send("/open/x", **headers).status == 200
        assert "HTTP_TENANT" not in last_run(fleet)
        assert "HTTP_AUTHORIZATION" not in last_run(fleet)
    fleet.send("/open/x", Authorization="Bearer secret-k2")
    assert last_run(fleet)["HTTP_TENANT"] == "south"


def test_unknown_keys_are_rejected_and_never_run(
    fleet: GatewayFleet, capsys: pytest.CaptureFixture[str], caplog: Any
) -> None:
    """Guards against keys in logs, metrics and responses."""
    with caplog.at_level("INFO"):
        for headers in ({}, {"Authorization": "Bearer secret-k9"}):
            reply = fleet.send("/order/x", **headers)
            assert reply.status == 401
            assert reply.headers["www-authenticate"] == "Bearer"
        assert fleet.send("/order/x", Authorization="Bearer secret-k1").status == 200
    assert not [run for run in fleet.replicas[0].runs if run["id"] != "r3"]
    host = fleet.hosts[0]
    metrics = host.metrics.render()
    assert 'filbertyard_key_rejections_total{cause="unknown_key"} 2' in metrics
    assert (
        'filbertyard_workspace_requests_total{workspace="north",outcome="served"} 1'
        in metrics
    )
    assert "event=key_rejected request=r2 status=401 cause=unknown_key" in caplog.text
    seen = [caplog.text, metrics, *capsys.readouterr(), repr(host.state.configuration)]
    assert "secret-k" not in "".join(seen)


def test_an_unreadable_configuration_shows_no_key(
    fleet: GatewayFleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against the log line that shows the beginning of a bad document."""
    with caplog.at_level("INFO"):
        fleet.store.write("op/config", b'{"tenants":[{"apiKeys":["secret-k3"')
        wait_until(lambda: "event=document_rejected" in caplog.text)
        state = fleet.hosts[0].state
        fleet.hosts[0].sync.reject_row("p", state.operator_feed, [b"secret-k3"])
    assert "secret-k3" not in caplog.text


def test_an_unreadable_answer_of_the_store_shows_no_key() -> None:
    """Guards against the log line that shows the beginning of a broken answer."""
    peer = create_http_peer("127.0.0.1:1")
    response: Any = SimpleNamespace(status=200)
    with pytest.raises(UpstreamError) as caught:
        peer.parse_json(response, b"secret-k1", is_secret=True)
    assert "secret-k1" not in str(caught.value)


class OpenConnection:
    """One connection of a caller that sends several requests."""

    def __init__(self, fleet: GatewayFleet) -> None:
        ip, _, port = fleet.hosts[0].settings.callers.rpartition(":")
        self.sock = gevent.socket.create_connection((ip, int(port)), 5.0)
        self.sock.settimeout(20.0)
        self.count = 0

    def send(self, key: str) -> Reply:
        self.count += 1
        lines = ["POST /order/x HTTP/1.1", "Host: fleet.example", "Content-Length: 0"]
        lines += [f"Request-Id: c{self.count}", f"Authorization: Bearer {key}"]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())
        return read_reply(self.sock)


def test_new_and_removed_keys_take_effect_on_open_connections(
    fleet: GatewayFleet,
) -> None:
    """Guards against a key that is judged once for a whole connection."""
    connection = OpenConnection(fleet)
    assert connection.send("secret-k1").status == 200
    assert connection.send("secret-k3").status == 401
    fleet.store.write("op/config", with_workspaces(2, north=["secret-k3"]))
    await_version(fleet, 2)
    assert connection.send("secret-k3").status == 200
    assert last_run(fleet)["HTTP_TENANT"] == "north"
    assert connection.send("secret-k1").status == 401
    assert connection.send("secret-k2").status == 401


def test_a_new_key_is_served_before_the_feed_has_brought_it(
    fleet: GatewayFleet,
) -> None:
    """Guards against 401 by a host that a change has not reached."""
    stop_feeds(fleet)
    fleet.store.write("op/config", with_workspaces(2, north=["secret-k3"]))
    assert fleet.send("/order/x", Authorization="Bearer secret-k3").status == 200
    assert fleet.hosts[0].state.configuration.version == 2
    # The confirmation brought the removal, too.
    assert fleet.send("/order/x", Authorization="Bearer secret-k1").status == 401


def test_an_outage_rejects_unknown_keys_as_not_run_and_serves_known_ones(
    fleet: GatewayFleet,
) -> None:
    """Guards against a false 401, and against an outage that stops known callers."""
    fleet.store.faults.unavailable = True
    reply = fleet.send("/order/x", Authorization="Bearer secret-k3")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert fleet.send("/order/x", Authorization="Bearer secret-k1").status == 200
    fleet.store.faults.unavailable = False
    wait_until(
        lambda: fleet.send("/order/x", Authorization="Bearer secret-k3").status == 401
    )


def test_a_host_that_has_just_started_knows_the_keys_or_answers_503(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 401 for each first request of a host that restarts."""
    fleet.store.faults.delay_s = 0.05
    known = {"Authorization": "Bearer secret-k1"}
    unknown = {"Authorization": "Bearer secret-k9"}
    with monkeypatch.context() as patched:
        patched.setattr(entry, "MAX_START_WAIT_S", 20.0)
        assert fleet.send("/order/x", host=fleet.start_host(), **known).status == 200
        assert fleet.send("/order/x", host=fleet.start_host(), **unknown).status == 401
    fleet.store.faults.unavailable = True
    late = GatewayFleet(store=fleet.store).start_host()
    try:
        assert fleet.send("/order/x", host=late, **known).status == 503
        assert fleet.send("/order/x", host=late, **unknown).status == 503
    finally:
        late.stop()


def test_a_closed_deployment_rejects_all_keys_while_the_store_is_away() -> None:
    """Guards against keys that are accepted although their removal may be missed."""
    bounds = replace(BOUNDS, rejects_unconfirmed=True, max_unconfirmed_s=0.5)
    fleet = GatewayFleet(bounds=bounds)
    fleet.store.start()
    fleet.store.write("op/config", with_workspaces(1, north=["secret-k1"]))
    fleet.start_host()
    try:
        fleet.add_replica(ReplicaStandin("d1", "desk"))
        await_version(fleet, 1)
        wait_until(lambda: fleet.hosts[0].state.usable("desk"))
        known = {"Authorization": "Bearer secret-k1"}
        assert fleet.send("/order/x", **known).status == 200
        fleet.store.faults.unavailable = True
        wait_until(lambda: fleet.send("/order/x", **known).status == 503)
        assert fleet.send("/open/x").status == 200
        fleet.store.faults.unavailable = False
        wait_until(lambda: fleet.send("/order/x", **known).status == 200)
    finally:
        fleet.stop()


def test_a_host_that_the_store_turns_away_is_confirmed_by_another_one(
    fleet: GatewayFleet,
) -> None:
    """Guards against false answers by the hosts that only the store turns away."""
    cut = fleet.hosts[0]
    other = fleet.start_host()
    await_version(fleet, 1)
    wait_until(lambda: other.id in cut.fleet.connected_hosts())
    stop_feeds(fleet)
    cut.store.peer.client.close()
    cut.store.range = other_is_away  # type: ignore[method-assign]
    fleet.store.write("op/config", with_workspaces(2, north=["secret-k3"]))
    new = {"Authorization": "Bearer secret-k3"}
    assert fleet.send("/order/x", host=cut, **new).status == 200
    old = {"Authorization": "Bearer secret-k1"}
    wait_until(lambda: fleet.send("/order/x", host=cut, **old).status == 401)


def test_unknown_keys_at_many_hosts_cause_calls_of_one_host_only(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls of the store that grow with the number of hosts."""
    monkeypatch.setattr(confirmers, "PEER_TIMEOUT_S", 20.0)
    for _ in range(3):
        fleet.start_host()
    await_version(fleet, 1)
    hubs = wait_until(lambda: agreed_hubs(fleet))
    for host in fleet.hosts:
        reply = fleet.send("/order/x", host=host, Authorization="Bearer secret-k9")
        assert reply.status == 401
    asking = {host.id for host in fleet.hosts if host.store.calls["/api/kv-key"]}
    assert asking == hubs


def agreed_hubs(fleet: GatewayFleet) -> set[str] | None:
    """Return the one host that confirms for all, None while they do not agree."""
    if any(len(host.fleet.connected_hosts()) < 3 for host in fleet.hosts):
        return None
    hubs = {host.fleet.feed_hub() or host.id for host in fleet.hosts}
    return hubs if len(hubs) == 1 else None


def other_is_away(key: str, **options: Any) -> RangeResult:
    raise KeyValueUnavailableError("turned away", step="test", peer="store")


def test_the_rank_of_the_workspace_goes_before_that_of_the_route() -> None:
    """Guards against routes that overrule the rank that an operator gave a customer."""
    fleet = GatewayFleet()
    fleet.store.start()
    content = with_workspaces(1, north=["secret-k1"], south=["secret-k2"])
    fleet.store.write("op/config", content)
    fleet.start_host()
    try:
        fleet.add_replica(ReplicaStandin("e1", "engine", model="m0"))
        fleet.await_owners()
        for key, rank in (("secret-k1", "0"), ("secret-k2", "1")):
            reply = fleet.text("a1", Authorization=f"Bearer {key}")
            assert reply.status == 200
            assert last_run(fleet)["HTTP_REQUEST_PRIORITY"] == rank
    finally:
        fleet.stop()


def test_a_request_repeated_elsewhere_keeps_its_workspace(fleet: GatewayFleet) -> None:
    """Guards against a second attempt in another workspace, or with the key."""
    fleet.add_replica(ReplicaStandin("d2", "desk"))
    wait_until(lambda: len(fleet.hosts[0].state.usable("desk")) == 2)
    for replica in fleet.replicas:
        replica.faults.reset = 1
    fleet.send("/stock/x", Authorization="Bearer secret-k2", Tenant="north")
    runs = [run for replica in fleet.replicas for run in replica.runs]
    assert len(runs) == 2
    assert {run["headers"]["HTTP_TENANT"] for run in runs} == {"south"}
    assert "secret-k2" not in repr(runs)


def test_a_stream_resumed_elsewhere_keeps_its_workspace() -> None:
    """Guards against a second run in another workspace, or with the caller's key."""
    fleet = GatewayFleet()
    fleet.store.start()
    fleet.store.write("op/config", with_workspaces(1, north=["secret-k1"]))
    fleet.start_host()
    try:
        for number in range(2):
            fleet.add_replica(ReplicaStandin(f"e{number}", "engine", model="m0"))
        fleet.await_owners()
        for replica in fleet.replicas:
            replica.faults.reset_midway = 1
        reply = fleet.text(
            "a1", path="/note/x", Authorization="Bearer secret-k1", Tenant="south"
        )
        runs = [run for replica in fleet.replicas for run in replica.runs]
        assert len(runs) > 1
        assert {run["headers"]["HTTP_TENANT"] for run in runs} == {"north"}
        assert "secret-k1" not in repr(runs)
        assert reply.status == 200
    finally:
        fleet.stop()
