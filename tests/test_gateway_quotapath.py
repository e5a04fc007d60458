"""Quotas of workspaces through whole hosts on stand-ins of the platform."""

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from filbertyard.gateway.host import GatewayHost
from filbertyard.gateway.quotahosts import OVER_QUOTA
from filbertyard.platform.standins import ReplicaStandin
from gatewayfleet import GatewayFleet
from gatewayfleet import Reply
from gatewayfleet import configuration
from gatewayfleet import wait_until

PER_S = 10.0
BURST = 10.0
FLOOD_S = 3.0


def write_quota(fleet: GatewayFleet, version: int, per_s: float) -> None:
    """Write a configuration with two workspaces, one of them without a quota."""
    tenants: list[dict[str, Any]] = [
        {
            "name": "limited",
            "apiKeys": ["key-1"],
            "ratePerS": per_s,
            "burst": per_s,
        },
        {"name": "free", "apiKeys": ["key-2"]},
    ]
    fleet.store.write("op/config", {**configuration(version), "tenants": tenants})
    wait_until(
        lambda: all(
            host.state.configuration is not None
            and host.state.configuration.version == version
            for host in fleet.hosts
        )
    )


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet()
    fleet.start(hosts=3)
    fleet.add_replica(ReplicaStandin("d0", "desk"))
    write_quota(fleet, 2, PER_S)
    wait_until(lambda: all(len(host.fleet.reachable()) == 2 for host in fleet.hosts))
    yield fleet
    fleet.stop()


def send(fleet: GatewayFleet, host: int, key: str = "key-1") -> Reply:
    return fleet.send("/order/a", host=fleet.hosts[host], Authorization=f"Bearer {key}")


def flood(fleet: GatewayFleet, seconds: float, hosts: list[int]) -> list[Reply]:
    """Have callers send requests to hosts without a pause."""
    replies: list[Reply] = []

    def run(host: int) -> None:
        while True:
            replies.append(send(fleet, host))
            gevent.sleep(0.01)

    callers = [gevent.spawn(run, host) for host in hosts]
    gevent.sleep(seconds)
    gevent.killall(callers)
    return replies


def count(replies: list[Reply], status: int) -> int:
    return sum(reply.status == status for reply in replies)


def counting_host(fleet: GatewayFleet) -> GatewayHost:
    name = fleet.hosts[0].quotas.order("limited")[0]
    return next(host for host in fleet.hosts if host.id == name)


def test_all_hosts_together_keep_to_the_quota_of_a_workspace(
    fleet: GatewayFleet,
) -> None:
    """Regression: each host let a workspace send as much as its callers wanted."""
    replies = flood(fleet, FLOOD_S, [0, 1, 2, 0, 1, 2])
    runs = len(fleet.replicas[0].runs)
    assert runs <= PER_S * (FLOOD_S + 0.5) + BURST + 1
    assert {reply.status for reply in replies} == {200, 429}
    refused = [reply for reply in replies if reply.status == 429]
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)
    ids = {run["id"] for run in fleet.replicas[0].runs}
    assert not ids & {reply.headers["request-id"] for reply in refused}


def test_one_host_uses_what_the_others_leave(fleet: GatewayFleet) -> None:
    """Guards against shares of the rate that stay with idle hosts."""
    replies = flood(fleet, FLOOD_S, [0, 0])
    assert count(replies, 200) >= 0.7 * PER_S * FLOOD_S


def test_a_workspace_without_a_quota_is_not_limited(fleet: GatewayFleet) -> None:
    flood(fleet, 1.0, [0, 1, 2])
    assert all(send(fleet, host % 3, "key-2").status == 200 for host in range(60))


def test_a_request_that_did_not_run_uses_nothing(fleet: GatewayFleet) -> None:
    """Guards against refused requests that use up the quota."""
    replica = fleet.replicas[0]
    replica.stop()
    replies = [send(fleet, number % 3) for number in range(3 * int(BURST))]
    assert not [reply for reply in replies if reply.status in (200, 429)]
    host = counting_host(fleet)
    wait_until(lambda: host.quotas.counter.buckets["limited"].bucket.tokens > 0)


def test_the_others_count_when_the_counting_host_ends(fleet: GatewayFleet) -> None:
    """Guards against a workspace without a host that counts it."""
    assert send(fleet, 0).status == 200
    ended = counting_host(fleet)
    ended.stop()
    fleet.hosts.remove(ended)
    fleet.replicas[0].runs.clear()
    replies = flood(fleet, FLOOD_S, [0, 1, 0, 1])
    assert count(replies, 200) >= 0.3 * PER_S * FLOOD_S
    assert len(fleet.replicas[0].runs) <= PER_S * (FLOOD_S + 0.5) + BURST + 1


def test_a_lower_quota_holds_on_all_hosts(fleet: GatewayFleet) -> None:
    flood(fleet, 0.5, [0, 1, 2])
    write_quota(fleet, 3, 2.0)
    fleet.replicas[0].runs.clear()
    flood(fleet, FLOOD_S, [0, 1, 2])
    assert len(fleet.replicas[0].runs) <= 2.0 * (FLOOD_S + 0.5) + 2.0 + 2


def test_a_caller_that_leaves_returns_its_amount(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against amounts that are lost with requests that were never sent."""
    counting = counting_host(fleet)
    other = next(item for item in fleet.hosts if item is not counting)
    returned: list[float] = []
    monkeypatch.setattr(
        counting.quotas.counter,
        "give_back",
        lambda name, amount, now: returned.append(amount),
    )
    ask = other.quotas.ask

    def ask_slowly(*arguments: Any) -> Any:
        found = ask(*arguments)
        gevent.sleep(0.5)
        return found

    monkeypatch.setattr(other.quotas, "ask", ask_slowly)
    caller = gevent.spawn(send, fleet, fleet.hosts.index(other))
    wait_until(lambda: other.quotas.pending)
    caller.kill()
    wait_until(lambda: returned == [1.0])
    assert not fleet.replicas[0].runs


def test_the_cause_of_a_refusal_is_logged(
    fleet: GatewayFleet, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    flood(fleet, 1.0, [0, 1, 2])
    assert f"causes={OVER_QUOTA}" in caplog.text
    assert caplog.text.count("event=quota_reached workspace=limited") == 1
