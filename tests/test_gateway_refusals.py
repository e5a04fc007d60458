"""Refusals that a faulty replica writes once more on a kept connection."""

from collections.abc import Iterator

import pytest

from gatewayfleet import GatewayFleet
from gatewayfleet import start_small_fleet


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    fleet = start_small_fleet()
    yield fleet
    fleet.stop()


def runs(fleet: GatewayFleet, request_id: str) -> int:
    return sum(
        run["id"] == request_id for replica in fleet.replicas for run in replica.runs
    )


@pytest.mark.parametrize("refused_id", ["", "another"], ids=["no id", "another id"])
@pytest.mark.parametrize("path", ["/order/x", "/text/a"])
def test_a_repeated_refusal_is_no_refusal_of_the_next_request(
    fleet: GatewayFleet, path: str, refused_id: str
) -> None:
    """Regression: a request was said not to have run, or ran at a second replica."""
    for replica in fleet.replicas:
        replica.faults.late_refusal = refused_id
    for number in range(12):
        request_id = f"own{number}"
        if path == "/text/a":
            reply = fleet.text("a1", Request_Id=request_id)
        else:
            reply = fleet.send(path, Request_Id=request_id)
        assert runs(fleet, request_id) == 1
        assert reply.status == 502 or reply.is_complete
        if reply.status == 502:
            break
    assert reply.status == 502


def test_a_repeated_refusal_is_no_refusal_of_the_same_request_sent_again(
    fleet: GatewayFleet,
) -> None:
    """Regression: a replica that had refused a request and then ran it."""
    desks = [replica for replica in fleet.replicas if replica.service == "desk"]
    for replica in desks:
        replica.faults.reject = 1
        replica.faults.late_refusal = "own"
    reply = fleet.send("/order/x", Request_Id="own")
    assert (reply.status, runs(fleet, "own")) == (200, 1)
