"""Calls of the store at starts and in outages: they grow with what a host serves."""

from collections.abc import Iterator

import gevent
import pytest

from filbertyard.backoff import Backoff
from filbertyard.gateway import fleet as fleets
from filbertyard.gateway.host import GatewayHost
from filbertyard.gateway.hubs import select_feed_hubs
from filbertyard.platform.standins import ReplicaStandin
from gatewayfleet import MODEL
from gatewayfleet import GatewayFleet
from gatewayfleet import configuration
from gatewayfleet import wait_until

WATCH = "/api/kv-watch"
RANGE = "/api/kv-range"
KEEP = "/api/kv-keep"


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet()
    fleet.start(hosts=6)
    for number in range(2):
        fleet.add_replica(ReplicaStandin(f"e{number}", "engine", model=MODEL))
    fleet.await_owners()
    for host in fleet.hosts:
        wait_until(lambda host=host: len(host.fleet.reachable()) == 5)
    yield fleet
    fleet.stop()


def is_feed_hub(fleet: GatewayFleet, host: GatewayHost) -> bool:
    return host.id in select_feed_hubs([other.id for other in fleet.hosts])


def test_a_host_that_joins_leaves_the_feeds_to_the_feed_hubs(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hosts that all watch the store while they know no other host."""
    # The first heartbeats may come late on a busy machine.
    monkeypatch.setattr(fleets, "STARTUP_DISCOVERY_S", 60.0)
    earlier = [host.id for host in fleet.hosts]
    joined: list[GatewayHost] = []
    while len(joined) < 2:
        host = fleet.start_host()
        # It knows the earlier hosts from the store, if not those that join with it.
        if host.id not in select_feed_hubs([*earlier, host.id]):
            joined.append(host)
    for host in joined:
        wait_until(lambda host=host: host.fleet.reachable() >= set(earlier))
    fleet.store.write("op/config", configuration(2))
    for host in joined:
        wait_until(lambda host=host: host.state.configuration.version == 2)
        calls = host.store.calls
        assert calls[RANGE] == len(host.state.feeds)
        assert not calls[WATCH]


def test_a_host_without_claims_calls_a_failing_store_ever_less_often(
    fleet: GatewayFleet,
) -> None:
    """Guards against a store that is flooded by the hosts that it rejects."""
    idle = [
        host
        for host in fleet.hosts
        if not host.claim_table.claims and not is_feed_hub(fleet, host)
    ]
    assert idle
    fleet.store.faults.unavailable = True
    for host in idle:
        wait_until(lambda host=host: not host.registrar.is_registered)
    before = {host.id: host.store.calls.total() for host in idle}
    gevent.sleep(4.0)
    for host in idle:
        assert host.store.calls.total() - before[host.id] <= 6
    fleet.store.faults.unavailable = False
    for host in idle:
        wait_until(lambda host=host: host.registrar.is_registered, limit_s=4.0)


def test_delays_double_up_to_the_limit_and_start_anew_after_a_success() -> None:
    backoff = Backoff(0.25, 1.0)
    limits = (0.25, 0.5, 1.0, 1.0, 1.0)
    for limit_s in limits:
        assert limit_s / 2 <= backoff.next_delay_s() <= limit_s
    backoff.reset()
    assert backoff.next_delay_s() <= 0.25
