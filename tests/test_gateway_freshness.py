"""No host answers 404 while it may be behind the newest configuration."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator

import pytest

from filbertyard.gateway.fleet import DIGEST_INTERVAL_S
from filbertyard.gateway.freshness import MAX_CONFIRMATION_AGE_S
from filbertyard.gateway.freshness import RevisionConfirmation
from filbertyard.gateway.host import STORE_TIMEOUT_S
from filbertyard.gateway.sync import WATCH_WAIT_S
from gatewayfleet import GatewayFleet
from gatewayfleet import wait_until


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    found = GatewayFleet()
    try:
        yield found
    finally:
        found.stop()


def test_a_route_that_never_existed_gets_404_at_once(fleet: GatewayFleet) -> None:
    fleet.start(2)
    wait_until(lambda: all(host.state.is_complete() for host in fleet.hosts))
    wait_until(lambda: all(host.fleet.reachable() for host in fleet.hosts))
    for host in fleet.hosts:
        assert host.state.is_configuration_current(time.monotonic())
        assert fleet.send("/nowhere/x", host=host).status == 404


def test_a_host_that_is_behind_answers_503_instead_of_404(fleet: GatewayFleet) -> None:
    """Regression: hosts refused new routes for 3.7 s and longer, by a false 404."""
    fleet.start()
    host = fleet.hosts[0]
    wait_until(host.state.is_complete)
    assert fleet.send("/nowhere/x").status == 404
    revision = host.state.operator_feed.revision + 3
    host.sync.compare_revisions("127.0.0.1:9", {"op/": revision}, 0.0)
    reply = fleet.send("/nowhere/x")
    assert reply.status == 503
    assert 0 < float(reply.headers["retry-after"]) <= 1.0
    host.state.operator_feed.revision = revision
    assert fleet.send("/nowhere/x").status == 404


def test_a_host_that_nobody_confirms_answers_503_instead_of_404(
    fleet: GatewayFleet,
) -> None:
    """Guards against false 404s of a host that is cut off from store and peers."""
    fleet.start()
    host = fleet.hosts[0]
    wait_until(host.state.is_complete)
    host.state.confirmation.confirmed_at -= MAX_CONFIRMATION_AGE_S + STORE_TIMEOUT_S
    assert fleet.send("/nowhere/x").status == 503


def test_an_idle_watch_confirms_the_configuration_on_all_hosts(
    fleet: GatewayFleet,
) -> None:
    """Guards against 503s for unknown routes while nothing changes."""
    fleet.start(3)
    wait_until(lambda: all(host.state.is_complete() for host in fleet.hosts))
    wait_until(lambda: sum(host.watchers[0].is_suspended for host in fleet.hosts) == 1)
    for host in fleet.hosts:
        host.state.confirmation.confirmed_at = -math.inf
    wait_until(
        lambda: all(
            host.state.is_configuration_current(time.monotonic())
            for host in fleet.hosts
        )
    )


def test_a_confirmation_lasts_until_the_next_one_is_due() -> None:
    """Guards against 503s between two answers to an idle watch."""
    digests_s = 3 * 1.1 * DIGEST_INTERVAL_S
    assert WATCH_WAIT_S + digests_s < MAX_CONFIRMATION_AGE_S


def test_hosts_without_the_store_do_not_confirm_each_other() -> None:
    """Guards against two hosts that keep an old confirmation alive between them."""
    hosts = [RevisionConfirmation(), RevisionConfirmation()]
    hosts[0].record_store(100.0)
    for tick in range(20):
        now = 100.0 + tick * 0.5
        for host, other in (hosts, hosts[::-1]):
            other.record_peer(5, 5, now - host.age_s(now))
    assert hosts[1].is_current(5, 100.0 + MAX_CONFIRMATION_AGE_S)
    assert not any(host.is_current(5, 109.5) for host in hosts)


def test_a_peer_that_is_behind_confirms_nothing() -> None:
    """Guards against trusting the watch of a hub that has not applied its changes."""
    confirmation = RevisionConfirmation()
    confirmation.record_peer(4, 5, 100.0)
    assert not confirmation.is_current(5, 100.0)
    confirmation.record_peer(5, 5, 100.0)
    assert confirmation.is_current(5, 100.0)
    confirmation.record_peer(6, 5, -math.inf)
    assert not confirmation.is_current(5, 100.0)
    assert confirmation.is_current(6, 100.0)
