"""Requests through a whole host that prefers its availability zone."""

from collections.abc import Iterator

import pytest

from filbertyard.platform.standins import ReplicaStandin
from filbertyard.zonecosts import ZonePrice
from gatewayfleet import GatewayFleet
from gatewayfleet import wait_until


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet(zone_price=ZonePrice(5.0, 0.001))
    fleet.start(hosts=1)
    for zone in ("a", "b"):
        fleet.add_replica(
            ReplicaStandin(f"engine-{zone}", "engine", model="m0", zone=zone)
        )
        fleet.add_replica(ReplicaStandin(f"desk-{zone}", "desk", zone=zone))
    host = fleet.hosts[0]
    wait_until(lambda: host.state.configuration and len(host.state.replicas) == 4)
    fleet.await_owners()
    yield fleet
    fleet.stop()


def runs(fleet: GatewayFleet, replica: str) -> int:
    return next(len(item.runs) for item in fleet.replicas if item.id == replica)


def test_requests_stay_in_the_zone_until_its_replicas_leave(
    fleet: GatewayFleet,
) -> None:
    """Guards against a price that reaches no decision, or that refuses requests."""
    for number in range(8):
        assert fleet.text(f"a{number}").status == 200
        assert fleet.send("/order/x").status == 200
    assert runs(fleet, "engine-b") == runs(fleet, "desk-b") == 0
    metrics = fleet.hosts[0].metrics
    assert metrics.counter("filbertyard_zone_sends_total", scope="own") == 16
    assert metrics.counter("filbertyard_zone_sends_total", scope="other") == 0
    for replica in fleet.replicas:
        if replica.zone == "a":
            fleet.store.write(f"servers/{replica.id}", replica.entry("draining"))
    state = fleet.hosts[0].state
    wait_until(lambda: len(state.usable("engine")) == len(state.usable("desk")) == 1)
    for number in range(4):
        assert fleet.text(f"a{number}").status == 200
        assert fleet.send("/order/x").status == 200
    assert runs(fleet, "engine-b") == runs(fleet, "desk-b") == 4
    assert metrics.counter("filbertyard_zone_bytes_total", scope="other") > 0
