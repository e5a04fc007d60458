"""Where a gateway host would send a request, asked without sending it."""

import json
from collections.abc import Iterator

import pytest
from gevent.pywsgi import WSGIServer

from filbertyard import ctlqueries
from filbertyard.gateway.previews import PreviewApplication
from filbertyard.gateway.previews import parse_query
from filbertyard.gateway.previews import preview_request
from filbertyard.platform.standins import ReplicaStandin
from filbertyard.zonecosts import ZonePrice
from gatewayfleet import GatewayFleet
from gatewayfleet import configuration
from gatewayfleet import wait_until

API_KEY = "a-key-of-north"
HEADERS = {"Authorization": f"Bearer {API_KEY}"}


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(zone_price=ZonePrice(0.05))
    fleet.start(hosts=1)
    tenants = [{"name": "north", "apiKeys": [API_KEY], "priority": 0}]
    fleet.store.write("op/config", {**configuration(2), "tenants": tenants})
    for zone in ("a", "b"):
        fleet.add_replica(
            ReplicaStandin(f"engine-{zone}", "engine", model="m0", zone=zone)
        )
        fleet.add_replica(ReplicaStandin(f"desk-{zone}", "desk", zone=zone))
    state = fleet.hosts[0].state
    wait_until(lambda: state.configuration and state.configuration.version == 2)
    wait_until(lambda: len(state.replicas) == 4)
    fleet.await_owners()
    yield fleet
    fleet.stop()


def preview(fleet: GatewayFleet, **parameters: str) -> dict:
    text = "&".join(f"{name}={value}" for name, value in parameters.items())
    query = parse_query(f"host=fleet.example&{text}")
    return preview_request(fleet.hosts[0].entry, query)


@pytest.mark.parametrize("number", range(3))
def test_a_preview_names_the_replica_that_gets_the_request(
    fleet: GatewayFleet, number: int
) -> None:
    """Guards against an explanation that differs from the decision."""
    adapter, request = f"a{number}", f"q{number}"
    value = preview(fleet, path="/text/a", adapter=f"m0/{adapter}", request=request)
    assert all(not replica.runs for replica in fleet.replicas)
    assert fleet.text(adapter, Request_Id=request, **HEADERS).status == 200
    chosen = next(item for item in fleet.replicas if item.id == value["chosen"])
    assert len(chosen.runs) == 1
    assert {row["replica"] for row in value["candidates"]} == {"engine-a", "engine-b"}
    prices = {row["zone"]: row["crossing_s"] for row in value["candidates"]}
    assert prices["a"] == 0.0
    assert prices["b"] == pytest.approx(0.05)


def test_a_preview_sends_and_counts_nothing(fleet: GatewayFleet) -> None:
    host = fleet.hosts[0]
    before = dict(host.metrics.counters)
    for path in ("/text/a", "/order/x"):
        assert preview(fleet, path=path, adapter="m0/a1")["chosen"]
    assert host.metrics.counters == before
    assert not host.entry.sender.in_flight
    assert not host.budget.windows
    assert all(not replica.runs for replica in fleet.replicas)


def test_a_preview_tells_why_replicas_are_left_out(fleet: GatewayFleet) -> None:
    leaving = next(item for item in fleet.replicas if item.id == "desk-a")
    fleet.store.write("servers/desk-a", leaving.entry("draining"))
    state = fleet.hosts[0].state
    wait_until(lambda: len(state.usable("desk")) == 1)
    value = preview(fleet, path="/order/x", workspace="north")
    assert value["chosen"] == "desk-b"
    assert value["excluded"] == {"desk-a": "leaving"}
    assert value["workspace"] == "north"
    assert value["rank"] == 0


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("host=fleet.example&path=/nowhere", "404 Not Found"),
        ("host=fleet.example&path=/text/a&workspace=south", "404 Not Found"),
        ("host=fleet.example", "400 Bad Request"),
        ("host=fleet.example&path=/text/a&body_bytes=9999999999", "400 Bad Request"),
        ("host=fleet.example&path=/text/a&key=x", "400 Bad Request"),
    ],
)
def test_a_query_without_an_answer_is_rejected(
    fleet: GatewayFleet, query: str, status: str
) -> None:
    host = fleet.hosts[0]
    application = PreviewApplication(host.entry, host.directory)
    found = []
    environ = {"PATH_INFO": "/route", "QUERY_STRING": query}
    body = application(environ, lambda status, headers: found.append(status))
    assert found == [status]
    assert json.loads(body[0])["error"]


def test_callers_cannot_ask_for_previews(fleet: GatewayFleet) -> None:
    """Guards against loads of the fleet at the addresses that callers reach."""
    host = fleet.hosts[0]
    found = []
    environ = {"PATH_INFO": "/route", "QUERY_STRING": "host=fleet.example&path=/text/"}
    for server in host.servers[1:]:
        server.application(environ, lambda status, headers: found.append(status))
    assert found
    assert set(found) == {"404 Not Found"}


def test_the_command_prints_the_choice_and_no_api_key(
    fleet: GatewayFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    host = fleet.hosts[0]
    fleet.text("a1", **HEADERS)
    application = PreviewApplication(host.entry, host.directory)
    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    shown = ""
    for json_output in (False, True):
        status = ctlqueries.gateway_route(
            "fleet.example",
            "/text/a",
            adapter="m0/a1",
            workspace="north",
            json=json_output,
            address=address,
        )
        assert status == 0
        shown += capsys.readouterr().out
    assert "chosen" in shown
    assert json.loads(shown[shown.index("\n{") :])["candidates"]
    assert API_KEY not in shown
    digests = host.state.configuration.workspaces
    assert all(digest.hex() not in shown for digest in digests)
    assert ctlqueries.gateway_route("fleet.example", "/no", address=address) == 1
    server.stop(timeout=0)
