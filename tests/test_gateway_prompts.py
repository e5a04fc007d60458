"""Prompts that crash replicas, through whole hosts on stand-ins of the platform."""

from collections.abc import Iterator

import gevent
import pytest
from gevent.event import Event

from filbertyard.gateway.messages import PromptCrash
from filbertyard.platform.standins import ReplicaStandin
from gatewayfleet import GatewayFleet
from gatewayfleet import Reply
from gatewayfleet import wait_until

HARMFUL = "dead"


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = GatewayFleet()
    fleet.start(hosts=2)
    for number in range(3):
        replica = ReplicaStandin(f"e{number}", "engine", model="m0")
        replica.faults.harmful_part = HARMFUL
        fleet.add_replica(replica)
    fleet.await_owners()
    yield fleet
    fleet.stop()


def crashes(fleet: GatewayFleet) -> int:
    return sum(replica.crashes for replica in fleet.replicas)


def send(fleet: GatewayFleet, *parts: str, host: int = 0, **options: str) -> Reply:
    """Send a request with these prompt parts and one of its own."""
    prefix = ",".join([*(f"{part}:10" for part in parts), f"own{fleet.count}:5"])
    return fleet.text(
        "a1", host=fleet.hosts[host], Prompt_Prefix=prefix, limit_s=60.0, **options
    )


def reject_harmful_part(fleet: GatewayFleet) -> None:
    """Send requests with the harmful part until both hosts reject them."""
    for number in range(8):
        send(fleet, "system", "session", HARMFUL, host=number % 2)
    wait_until(
        lambda: all(
            host.state.quarantine.find_rejection([HARMFUL, "system", "session"], 0.0)
            for host in fleet.hosts
        )
    )


@pytest.mark.parametrize("path", ["/text/a", "/note/a"])
def test_a_prompt_part_that_crashes_replicas_ends_two_of_them_at_most(
    fleet: GatewayFleet, path: str
) -> None:
    """Regression: requests with one part ended one replica after the other."""
    replies = [
        send(fleet, "system", "session", HARMFUL, host=number % 2, path=path)
        for number in range(8)
    ]
    assert crashes(fleet) == 2
    assert {reply.status for reply in replies} == {502, 503}
    assert replies[-1].status == 503
    assert b"prompt_crashes_replicas" in replies[-1].body
    assert float(replies[-1].headers["retry-after"]) > 1.0


def test_sound_prompts_beside_a_harmful_part_are_served(fleet: GatewayFleet) -> None:
    reject_harmful_part(fleet)
    before = crashes(fleet)
    for number in range(4):
        assert send(fleet, "system", "session", host=number % 2).status == 200
    assert send(fleet, "system", HARMFUL, host=1).status == 503
    assert crashes(fleet) == before


def test_a_host_that_starts_later_knows_the_rejected_parts(
    fleet: GatewayFleet,
) -> None:
    """Guards against a verdict that ends with the hosts that reached it."""
    reject_harmful_part(fleet)
    before = crashes(fleet)
    wait_until(lambda: any("/prompts/" in key for key in fleet.store.items))
    host = fleet.start_host()
    wait_until(lambda: host.state.quarantine.rejections)
    wait_until(lambda: len(host.loads.views) == 3)
    reply = send(fleet, "system", "session", HARMFUL, host=2)
    assert reply.status == 503
    assert crashes(fleet) == before


def test_replicas_that_are_killed_make_no_prompt_rejected(
    fleet: GatewayFleet,
) -> None:
    """Guards against blaming the requests that ran on a killed replica."""
    for _ in range(2):
        for replica in fleet.replicas:
            replica.faults.hang_s = 30.0
        calls = [gevent.spawn(send, fleet, "system", "session") for _ in range(4)]
        wait_until(lambda: any(replica.runs for replica in fleet.replicas))
        for replica in fleet.replicas:
            replica.faults.hang_s = 0.0
            if replica.runs:
                replica.crash()
            replica.runs.clear()
        gevent.joinall(calls, timeout=30.0)
        wait_until(lambda: send(fleet, "system", "session", host=1).status == 200, 60.0)
    assert not any(host.state.quarantine.rejections for host in fleet.hosts)
    assert not any(host.state.quarantine.suspicions for host in fleet.hosts)


def test_waiting_requests_are_rejected_as_soon_as_their_prompt_is(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against holding a request that cannot be served until its admission."""
    host = fleet.hosts[0]
    monkeypatch.setattr(host, "request_admission", lambda *_: Event().wait())
    waiting = gevent.spawn(send, fleet, "system", HARMFUL)
    wait_until(lambda: host.entry.awaiting_admission)
    host.guard.publish(PromptCrash("e0/1", [], [HARMFUL], 60.0))
    reply = waiting.get(timeout=60.0)
    assert reply.status == 503
    assert b"prompt_crashes_replicas" in reply.body
    assert not any(replica.runs for replica in fleet.replicas)
